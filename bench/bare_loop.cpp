#include "bare_loop.h"

#include "base/digest_func.h"
#include "net/backend_codec_func.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace hickorycrank::bench {

BareLoop::BareLoop(boost::asio::io_context &Context,
                   const std::vector<config::Endpoint> &Addresses)
    : Context(Context) {
  for (const config::Endpoint &Address : Addresses) {
    this->Pools.push_back(
        std::make_shared<net::HttpPool>(Context, Address, net::PoolLimits{}));
  }
  auto Template = std::make_shared<config::TemplateDoc>();
  Template->Name = base::TemplateId("bare");
  Template->Service = base::ServiceId("stock");
  Template->OrderBy = "stock";
  auto Built = std::make_shared<query::Request>();
  Built->Template = std::move(Template);
  Built->Parameters.Json = R"({"colour":"pink"})";
  this->Source = std::move(Built);
}

void BareLoop::run(uint32_t FanOut, std::function<void(uint32_t)> Done) {
  auto Running = std::make_shared<Query>();
  Running->Open = FanOut;
  Running->Done = std::move(Done);
  boost::asio::post(this->Context,
                    [this, FanOut, Running] { this->start(FanOut, Running); });
}

void BareLoop::start(uint32_t FanOut, const std::shared_ptr<Query> &Running) {
  base::TimePoint Deadline = base::Clock::now() + std::chrono::seconds(5);
  for (uint32_t Shard = 0; Shard < FanOut; ++Shard) {
    query::SendAttempt Attempt;
    Attempt.Id = base::randomAttemptId();
    Attempt.Shard = "stock-shard-" + std::to_string(Shard);
    Attempt.Version = base::VersionId(1);
    Attempt.Source = this->Source;
    net::HttpRequest Request;
    Request.Method = "POST";
    Request.Path = "/v1/search";
    Request.Body = net::encodeSearch(Attempt, std::chrono::seconds(5));
    uint64_t Server = uint64_t{Shard / GroupShards} * ReplicaCount +
                      this->Generator.below(ReplicaCount);
    this->Pools[Server]->send(
        std::move(Request), Deadline, false,
        [this, Running, Id = Attempt.Id](const net::ExchangeResult &Result) {
          this->take(Running, Id, Result);
        });
  }
}

void BareLoop::take(const std::shared_ptr<Query> &Running,
                    base::AttemptId Expected,
                    const net::ExchangeResult &Result) {
  if (const auto *Response = std::get_if<net::HttpResponse>(&Result)) {
    auto Decoded =
        net::decodeReply(Response->Body, this->Source->Template->OrderBy);
    if (Decoded.has_value() && Decoded.value().Echo == Expected &&
        Decoded.value().Status == query::ReplyStatus::Ok) {
      ++Running->Answered;
      for (query::Row &Entry : Decoded.value().Rows) {
        Running->Rows.push_back(std::move(Entry));
      }
    }
  }
  if (--Running->Open == 0) {
    Running->Done(Running->Answered);
  }
}

} // namespace hickorycrank::bench
