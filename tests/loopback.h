#ifndef HICKORYCRANK_TESTS_LOOPBACK_H
#define HICKORYCRANK_TESTS_LOOPBACK_H

#include "config/settings_func.h"
#include "daemon/instance_base.h"
#include "net/http_pool_base.h"
#include "standin/deployment_base.h"
#include "standin/load_generator_base.h"
#include "standin/runner_base.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cerrno>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <utility>
#include <vector>

namespace hickorycrank::tests {

using standin::Runner;

/** A response as received by a caller. */
struct CallerResponse {
  unsigned Status = 0; ///< HTTP status; 0 if no response arrived.
  boost::json::object Body;
};

/** Sends one request and waits for the response. */
inline CallerResponse call(boost::asio::io_context &Context,
                           const config::Endpoint &Target,
                           net::HttpRequest Request) {
  auto Pool =
      std::make_shared<net::HttpPool>(Context, Target, net::PoolLimits{});
  auto Promise = std::make_shared<std::promise<CallerResponse>>();
  auto Future = Promise->get_future();
  Pool->send(std::move(Request), base::Clock::now() + std::chrono::seconds(10),
             false, [Promise, Pool](const net::ExchangeResult &Result) {
               CallerResponse Response;
               if (const auto *Received =
                       std::get_if<net::HttpResponse>(&Result)) {
                 Response.Status = Received->Status;
                 boost::system::error_code Failure;
                 auto Parsed = boost::json::parse(Received->Body, Failure);
                 if (!Failure && Parsed.is_object()) {
                   Response.Body = Parsed.get_object();
                 }
               }
               Promise->set_value(Response);
             });
  return Future.get();
}

/** Sends one query as an organisation of the example configuration. */
inline CallerResponse query(boost::asio::io_context &Context,
                            const config::Endpoint &Target,
                            const std::string &Organisation,
                            const std::string &Template,
                            const std::string &Parameters) {
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/query/" + Template;
  Request.Headers["Authorization"] =
      "Bearer " + Organisation + ":" + Organisation + "-demo-key";
  Request.Body = Parameters;
  return call(Context, Target, std::move(Request));
}

/** Polls a condition until it holds. @return Whether it held in time. */
template <typename Condition>
bool eventually(Condition Predicate,
                std::chrono::milliseconds Limit = std::chrono::seconds(5)) {
  auto End = base::Clock::now() + Limit;
  while (base::Clock::now() < End) {
    if (Predicate()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return Predicate();
}

/** @return Kind of a refusal; empty if the response is not a refusal. */
inline std::string kindOf(const CallerResponse &Response) {
  const auto *Error = Response.Body.if_contains("error");
  return Error == nullptr
             ? std::string()
             : std::string(Error->as_object().at("kind").as_string());
}

/** @return Run state of a refusal; empty if the response is not a refusal. */
inline std::string ranOf(const CallerResponse &Response) {
  const auto *Error = Response.Body.if_contains("error");
  return Error == nullptr
             ? std::string()
             : std::string(Error->as_object().at("ran").as_string());
}

/** @return Whether a response is an answer to which every shard contributed. */
inline bool hasFullCoverage(const CallerResponse &Response) {
  if (Response.Status != 200) {
    return false;
  }
  const auto &Coverage = Response.Body.at("coverage").as_object();
  return Coverage.at("expected") == Coverage.at("answered");
}

/** A caller that writes raw bytes to a socket. */
class RawCaller {
public:
  explicit RawCaller(const config::Endpoint &Target) : Socket(Context) {
    this->Socket.connect(
        {boost::asio::ip::make_address(Target.Address), Target.Port});
  }

  /** Sends bytes; errors are ignored, as the peer may have closed. */
  void write(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(this->Socket, boost::asio::buffer(Bytes), Ignored);
  }

  /** Reads until the peer closes. @return All bytes; nothing on a timeout. */
  std::optional<std::string> readAll(std::chrono::seconds Limit) {
    timeval Timeout{};
    Timeout.tv_sec = Limit.count();
    setsockopt(this->Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Timeout,
               sizeof(Timeout));
    std::string Bytes;
    std::array<char, 4096> Part{};
    while (true) {
      ssize_t Count =
          recv(this->Socket.native_handle(), Part.data(), Part.size(), 0);
      if (Count > 0) {
        Bytes.append(Part.data(), static_cast<size_t>(Count));
        continue;
      }
      bool TimedOut = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      return TimedOut ? std::nullopt : std::optional<std::string>(Bytes);
    }
  }

  void close() { this->Socket.close(); }

private:
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
};

/** @return A query as HTTP text, for RawCaller. */
inline std::string queryText(const std::string &Template,
                             const std::string &Parameters) {
  return "POST /v1/query/" + Template +
         " HTTP/1.1\r\nHost: tier\r\nAuthorization: Bearer "
         "nube-rosa:nube-rosa-demo-key\r\nContent-Length: " +
         std::to_string(Parameters.size()) + "\r\n\r\n" + Parameters;
}

/** Runs the example deployment with some entry instances on loopback. */
class Loopback {
public:
  explicit Loopback(
      size_t InstanceCount, uint32_t Groups = 3,
      const std::function<void(config::Settings &)> &Adjust = nullptr)
      : Running(4), Deployment(Running.Context, plan(Groups)),
        Documents(standin::readDocuments(std::string(HICKORYCRANK_SOURCE_DIR) +
                                         "/examples/consortium")) {
    this->Deployment.platform().publish(1, this->Documents);
    for (size_t I = 0; I < InstanceCount; ++I) {
      this->addInstance(Adjust);
    }
  }

  /** Starts one more entry instance. */
  void
  addInstance(const std::function<void(config::Settings &)> &Adjust = nullptr) {
    size_t Index = this->Instances.size();
    config::Settings Settings =
        this->Deployment.entrySettings("entry-" + std::to_string(Index), Index);
    if (Adjust) {
      Adjust(Settings);
    }
    this->Instances.push_back(
        std::make_shared<daemon::Instance>(this->Running.Context, Settings));
    this->Instances.back()->start();
  }

  ~Loopback() { this->Running.join(); }
  Loopback(const Loopback &) = delete;
  Loopback &operator=(const Loopback &) = delete;

  static standin::DeploymentBuilder plan(uint32_t Groups) {
    standin::BackendBehaviour Behaviour;
    Behaviour.ServiceTime = std::chrono::microseconds(1'000);
    return standin::DeploymentBuilder()
        .service({"stock", Groups, 3, 3, Behaviour})
        .service({"permits", 2, 3, 2, Behaviour});
  }

  /** Waits until an instance answers a cart search with full coverage. */
  bool waitUntilServing(size_t Index) {
    return eventually([&] {
      return hasFullCoverage(
          this->ask(Index, "cart-search", R"({"colour":"pink"})"));
    });
  }

  CallerResponse ask(size_t Index, const std::string &Template,
                     const std::string &Parameters,
                     const std::string &Organisation = "nube-rosa") {
    return query(this->Running.Context,
                 this->Instances[Index]->callerEndpoint(), Organisation,
                 Template, Parameters);
  }

  /** Changes the behaviour of all backend servers of the stock service. */
  void
  changeStock(const std::function<void(standin::BackendBehaviour &)> &Change) {
    for (size_t I = 0; I < this->Deployment.serverCount("stock"); ++I) {
      this->Deployment.server("stock", I).change(Change);
    }
  }

  /** @return One instance's status of the stock service. */
  daemon::ServiceStatus stockStatus(size_t Index) {
    for (daemon::ServiceStatus &Status :
         this->Instances[Index]->tier().status()) {
      if (Status.Service == "stock") {
        return std::move(Status);
      }
    }
    return {};
  }

  /** @return One instance's engine counters of the stock service. */
  query::EngineCounters stockCounters(size_t Index) {
    return this->stockStatus(Index).Counters;
  }

  /** @return A load generator that sends queries to all instances. */
  std::unique_ptr<standin::LoadGenerator> callers(uint64_t Seed) {
    std::vector<config::Endpoint> Targets;
    for (const auto &Entry : this->Instances) {
      Targets.push_back(Entry->callerEndpoint());
    }
    return std::make_unique<standin::LoadGenerator>(this->Running.Context,
                                                    Targets, Seed);
  }

  static standin::Workload cartSearch(double PerSecond) {
    return {"cart-search",
            {"nube-rosa:nube-rosa-demo-key"},
            PerSecond,
            [](base::Random &Generator) {
              return R"({"colour":"c)" +
                     std::to_string(Generator.below(1'000'000'000)) + "\"}";
            }};
  }

  Runner Running;
  standin::Deployment Deployment;
  std::map<std::string, std::string> Documents; ///< Published at the start.
  std::vector<std::shared_ptr<daemon::Instance>> Instances;
};

} // namespace hickorycrank::tests

#endif
