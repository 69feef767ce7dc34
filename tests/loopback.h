#ifndef HICKORYCRANK_TESTS_LOOPBACK_H
#define HICKORYCRANK_TESTS_LOOPBACK_H

#include "config/settings_func.h"
#include "daemon/instance_base.h"
#include "net/http_pool_base.h"
#include "standin/deployment_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hickorycrank::tests {

/** Runs an io_context on some threads until it is destroyed. */
class Runner {
public:
  explicit Runner(size_t Count) : Guard(Context.get_executor()) {
    for (size_t I = 0; I < Count; ++I) {
      this->Threads.emplace_back([this] { this->Context.run(); });
    }
  }
  ~Runner() { this->join(); }
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;

  /** Stops the threads; objects on the context may be destroyed after it. */
  void join() {
    this->Guard.reset();
    this->Context.stop();
    for (std::thread &Thread : this->Threads) {
      Thread.join();
    }
    this->Threads.clear();
  }

  boost::asio::io_context Context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::vector<std::thread> Threads;
};

/** A caller's view of one response. */
struct CallerResponse {
  unsigned Status = 0; ///< 0: no response.
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
               if (const auto *Got = std::get_if<net::HttpResponse>(&Result)) {
                 Response.Status = Got->Status;
                 boost::system::error_code Failure;
                 auto Parsed = boost::json::parse(Got->Body, Failure);
                 if (!Failure && Parsed.is_object()) {
                   Response.Body = Parsed.get_object();
                 }
               }
               Promise->set_value(Response);
             });
  return Future.get();
}

/** Sends one query as an organisation of the example documents. */
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

/** Waits for a condition. @return Whether it came true in time. */
template <typename Condition>
bool eventually(Condition Holds,
                std::chrono::milliseconds Limit = std::chrono::seconds(5)) {
  auto End = base::Clock::now() + Limit;
  while (base::Clock::now() < End) {
    if (Holds()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return Holds();
}

/** A deployment of the consortium with some entry instances. */
class Loopback {
public:
  explicit Loopback(size_t InstanceCount, uint32_t Groups = 3)
      : Running(4), Stand(Running.Context, plan(Groups)) {
    this->Stand.platform().publish(
        1, standin::readDocuments(std::string(HICKORYCRANK_SOURCE_DIR) +
                                  "/examples/consortium"));
    for (size_t I = 0; I < InstanceCount; ++I) {
      this->Instances.push_back(std::make_shared<daemon::Instance>(
          this->Running.Context,
          this->Stand.entrySettings("entry-" + std::to_string(I), I)));
      this->Instances.back()->start();
    }
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
      auto Response = this->ask(Index, "cart-search", R"({"colour":"pink"})");
      if (Response.Status != 200) {
        return false;
      }
      const auto &Covered = Response.Body.at("coverage").as_object();
      return Covered.at("expected") == Covered.at("answered");
    });
  }

  CallerResponse ask(size_t Index, const std::string &Template,
                     const std::string &Parameters,
                     const std::string &Organisation = "nube-rosa") {
    return query(this->Running.Context, this->Instances[Index]->callers(),
                 Organisation, Template, Parameters);
  }

  Runner Running;
  standin::Deployment Stand;
  std::vector<std::shared_ptr<daemon::Instance>> Instances;
};

} // namespace hickorycrank::tests

#endif
