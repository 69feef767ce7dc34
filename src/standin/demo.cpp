#include "standin/demo_func.h"

#include "standin/demo_site_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace hickorycrank::standin {

namespace {

constexpr size_t ThreadCount = 4;

/**
 * Draws one of some texts.
 * @param Generator Source of randomness.
 * @param Texts The texts.
 * @return One of them.
 */
std::string pick(base::Random &Generator,
                 const std::vector<std::string> &Texts) {
  return Texts[Generator.below(Texts.size())];
}

/**
 * Describes a service of the demo.
 * @param Name Name of the service.
 * @param Replicas Backend servers of each of its 10 groups.
 * @param Slots Slots of each backend server.
 * @param Time Mean service time.
 * @return The shape.
 */
ServiceShape shape(const std::string &Name, uint32_t Replicas, uint32_t Slots,
                   std::chrono::microseconds Time) {
  ServiceShape Shape;
  Shape.Name = Name;
  Shape.Replicas = Replicas;
  Shape.Behaviour.Slots = Slots;
  Shape.Behaviour.ServiceTime = Time;
  return Shape;
}

/** @return The consortium: stock and permits. */
DemoPlan planConsortium() {
  std::vector<std::string> Keys{"nube-rosa:nube-rosa-demo-key",
                                "algodon-azul:algodon-azul-demo-key"};
  DemoPlan Plan;
  Plan.Name = "consortium";
  Plan.Wide = "stock";
  Plan.Document = "template/cart-search";
  Plan.Shape.service(shape("stock", 3, 3, std::chrono::microseconds(2'000)))
      .service(shape("permits", 2, 3, std::chrono::microseconds(1'000)));
  Plan.Load.push_back({"cart-search", Keys, 20, [](base::Random &Generator) {
                         return R"({"colour":")" +
                                pick(Generator, {"pink", "blue", "white"}) +
                                R"(","max_km":)" +
                                std::to_string(Generator.unit() * 50) + "}";
                       }});
  Plan.Load.push_back({"stock-sweep", Keys, 3, [](base::Random &Generator) {
                         return R"({"week":)" +
                                std::to_string(1 + Generator.below(53)) + "}";
                       }});
  Plan.Load.push_back({"permit-lookup", Keys, 60, [](base::Random &Generator) {
                         return R"({"permit":"VC-)" +
                                std::to_string(Generator.below(100'000)) +
                                "\"}";
                       }});
  Plan.Load.push_back({"stock-reorder", Keys, 5, [](base::Random &Generator) {
                         return R"({"key":"order-)" +
                                std::to_string(Generator.next()) +
                                R"(","amount":)" +
                                std::to_string(1 + Generator.below(500)) + "}";
                       }});
  Plan.Example = 2;
  return Plan;
}

/** @return The co-operative: portal and courier. */
DemoPlan planCooperative() {
  std::vector<std::string> Keys{"fjord-members:fjord-members-demo-key",
                                "highland-members:highland-members-demo-key"};
  DemoPlan Plan;
  Plan.Name = "cooperative";
  Plan.Wide = "portal";
  Plan.Document = "template/member-search";
  Plan.Shape.service(shape("portal", 3, 3, std::chrono::microseconds(2'000)))
      .service(shape("courier", 3, 2, std::chrono::microseconds(1'000)));
  Plan.Load.push_back({"member-search", Keys, 20, [](base::Random &Generator) {
                         return R"({"text":"wool )" +
                                std::to_string(Generator.below(100'000)) +
                                "\"}";
                       }});
  Plan.Load.push_back({"packing-lookup", Keys, 80, [](base::Random &Generator) {
                         return R"({"order":)" +
                                std::to_string(1 + Generator.below(1'000'000)) +
                                "}";
                       }});
  Plan.Load.push_back({"address-check", Keys, 10, [](base::Random &Generator) {
                         return R"({"key":"address-)" +
                                std::to_string(Generator.next()) + "\"}";
                       }});
  Plan.Example = 1;
  return Plan;
}

} // namespace

std::vector<std::string> runDemo(const DemoOptions &Options,
                                 std::ostream &Out) {
  std::mutex OutMutex;
  DemoPrinter Print = [&](const std::string &Text) {
    std::lock_guard Lock(OutMutex);
    Out << Text << std::flush;
  };
  boost::asio::io_context Context(static_cast<int>(ThreadCount));
  auto Guard = boost::asio::make_work_guard(Context);
  std::vector<std::thread> Threads;
  std::vector<std::unique_ptr<DemoSite>> Sites;
  std::vector<std::string> Broken;
  for (const DemoPlan &Plan : {planConsortium(), planCooperative()}) {
    Sites.push_back(std::make_unique<DemoSite>(
        Context, Plan, readDocuments(Options.Examples + "/" + Plan.Name),
        Print));
  }
  for (size_t I = 0; I < ThreadCount; ++I) {
    Threads.emplace_back([&Context] { Context.run(); });
  }
  std::vector<std::future<std::vector<std::string>>> Runs;
  Runs.reserve(Sites.size());
  for (const auto &Site : Sites) {
    Runs.push_back(std::async(std::launch::async, [&Options, &Site] {
      return Site->run(Options.Length);
    }));
  }
  for (auto &Run : Runs) {
    for (std::string &Expectation : Run.get()) {
      Broken.push_back(std::move(Expectation));
    }
  }
  // The stand-ins must outlive the threads that run their timers.
  Context.stop();
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
  return Broken;
}

} // namespace hickorycrank::standin
