#include "standin/load_generator_base.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <future>
#include <thread>
#include <utility>

namespace hickorycrank::standin {

namespace json = boost::json;
using base::Clock;

namespace {

constexpr std::chrono::milliseconds ResponseTimeout(10'000);
constexpr uint32_t ConnectionsPerInstance = 256;
constexpr uint32_t OpeningPerInstance = 64;

/**
 * Finds the kind of a refusal.
 * @param Body Body of a response.
 * @return The kind; empty if the body is no refusal.
 */
std::string refusalKind(const json::object &Body) {
  const json::value *Error = Body.if_contains("error");
  if (Error == nullptr || !Error->is_object()) {
    return {};
  }
  const json::value *Kind = Error->get_object().if_contains("kind");
  return Kind != nullptr && Kind->is_string() ? std::string(Kind->get_string())
                                              : std::string("unknown");
}

/**
 * Parses the body of a response.
 * @param Body JSON text.
 * @return The object; empty if it is none.
 */
json::object parseBody(const std::string &Body) {
  boost::system::error_code Failure;
  json::value Parsed = json::parse(Body, Failure);
  return !Failure && Parsed.is_object() ? std::move(Parsed.get_object())
                                        : json::object();
}

} // namespace

LoadGenerator::LoadGenerator(boost::asio::io_context &Context,
                             const std::vector<config::Endpoint> &Addresses,
                             uint64_t Seed)
    : Generator(Seed) {
  net::PoolLimits Limits;
  Limits.MaxConnections = ConnectionsPerInstance;
  Limits.MaxOpening = OpeningPerInstance;
  for (const config::Endpoint &Address : Addresses) {
    this->Targets.push_back(
        {std::make_shared<net::HttpPool>(Context, Address, Limits), false});
  }
}

net::HttpRequest LoadGenerator::makeRequest(const Workload &Source) {
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/query/" + Source.Template;
  Request.Headers["Authorization"] =
      "Bearer " +
      Source.Credentials[this->Generator.below(Source.Credentials.size())];
  Request.Body = Source.Parameters(this->Generator);
  return Request;
}

std::vector<LoadGenerator::Arrival>
LoadGenerator::planArrivals(const std::vector<Workload> &Plan,
                            std::chrono::milliseconds Length) {
  std::vector<Arrival> Planned;
  base::TimePoint Start = Clock::now();
  for (const Workload &Source : Plan) {
    double Offset = 0;
    while (true) {
      Offset -= std::log(1 - this->Generator.unit()) * 1000 / Source.PerSecond;
      if (Offset >= static_cast<double>(Length.count())) {
        break;
      }
      Planned.push_back({Start + base::fromMilliseconds(Offset),
                         this->makeRequest(Source), Source.Template});
    }
  }
  std::stable_sort(Planned.begin(), Planned.end(),
                   [](const Arrival &Left, const Arrival &Right) {
                     return Left.When < Right.When;
                   });
  return Planned;
}

std::map<std::string, LoadResult>
LoadGenerator::run(const std::vector<Workload> &Plan,
                   std::chrono::milliseconds Length) {
  std::vector<Arrival> Planned = this->planArrivals(Plan, Length);
  {
    std::lock_guard Lock(this->Mutex);
    this->Results.clear();
    for (const Workload &Source : Plan) {
      this->Results[Source.Template];
    }
  }
  for (Arrival &Next : Planned) {
    std::this_thread::sleep_until(Next.When);
    {
      std::lock_guard Lock(this->Mutex);
      ++this->InProgress;
      ++this->Results[Next.Template].Queries;
    }
    this->send(std::make_shared<Arrival>(std::move(Next)));
  }
  std::unique_lock Lock(this->Mutex);
  this->Changed.wait(Lock, [this] { return this->InProgress == 0; });
  return std::exchange(this->Results, {});
}

size_t LoadGenerator::nextTarget() {
  std::lock_guard Lock(this->Mutex);
  size_t Chosen = this->Turn++ % this->Targets.size();
  for (size_t I = 0; I < this->Targets.size(); ++I) {
    size_t Candidate = (Chosen + I) % this->Targets.size();
    if (!this->Targets[Candidate].Stopping) {
      return Candidate;
    }
  }
  return Chosen;
}

void LoadGenerator::send(const std::shared_ptr<Arrival> &Sent) {
  size_t To = this->nextTarget();
  // The pool list is never resized, so it may be read without the lock.
  this->Targets[To].Pool->send(
      Sent->Request, Clock::now() + ResponseTimeout, false,
      [this, Sent, To](const net::ExchangeResult &Result) {
        this->onResult(Sent, To, Result);
      });
}

void LoadGenerator::onResult(const std::shared_ptr<Arrival> &Sent, size_t From,
                             const net::ExchangeResult &Result) {
  const auto *Response = std::get_if<net::HttpResponse>(&Result);
  const auto *Failure = std::get_if<net::ExchangeError>(&Result);
  json::object Body =
      Response != nullptr ? parseBody(Response->Body) : json::object();
  const json::value *Ticket = Body.if_contains("ticket");
  bool IsFirst = Sent->Request.Headers.count("X-Ticket") == 0;
  if (Ticket != nullptr && Ticket->is_string() && IsFirst) {
    Sent->Request.Headers["X-Ticket"] = std::string(Ticket->get_string());
    this->send(Sent);
    return;
  }
  // Neither a stopping instance nor one that cannot be reached ran it.
  bool Elsewhere =
      refusalKind(Body) == "shutting_down" ||
      (Failure != nullptr && Failure->Stage == net::ExchangeStage::Connecting);
  if (Elsewhere) {
    bool Forward = false;
    {
      std::lock_guard Lock(this->Mutex);
      this->Targets[From].Stopping = true;
      Forward = ++Sent->Forwards < this->Targets.size();
    }
    if (Forward) {
      this->send(Sent);
      return;
    }
  }
  this->record(*Sent, Response != nullptr ? Response->Body : std::string());
}

void LoadGenerator::record(const Arrival &Sent, const std::string &Body) {
  double LatencyMs = base::toMilliseconds(Clock::now() - Sent.When);
  json::object Parsed = parseBody(Body);
  std::string Kind = refusalKind(Parsed);
  const json::value *Covered = Parsed.if_contains("coverage");
  std::lock_guard Lock(this->Mutex);
  LoadResult &Result = this->Results[Sent.Template];
  if (!Kind.empty()) {
    ++Result.Refusals[Kind];
  } else if (Covered == nullptr) {
    ++Result.Unanswered;
  } else {
    auto Expected = Covered->as_object().at("expected").to_number<uint64_t>();
    auto Attempts = Parsed.at("attempts").to_number<uint64_t>();
    ++Result.Answers;
    Result.ShardsExpected += Expected;
    Result.ShardsAnswered +=
        Covered->as_object().at("answered").to_number<uint64_t>();
    Result.ExtraAttempts += Attempts > Expected ? Attempts - Expected : 0;
    Result.LatenciesMs.push_back(LatencyMs);
  }
  --this->InProgress;
  this->Changed.notify_all();
}

std::string LoadGenerator::sendOne(const Workload &Source) {
  auto Promise = std::make_shared<std::promise<std::string>>();
  std::future<std::string> Future = Promise->get_future();
  this->Targets[this->nextTarget()].Pool->send(
      this->makeRequest(Source), Clock::now() + ResponseTimeout, false,
      [Promise](const net::ExchangeResult &Result) {
        const auto *Response = std::get_if<net::HttpResponse>(&Result);
        Promise->set_value(Response != nullptr ? Response->Body
                                               : std::string());
      });
  return Future.get();
}

} // namespace hickorycrank::standin
