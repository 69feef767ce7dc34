#include "standin/demo_site_base.h"

#include "config/settings_func.h"
#include "standin/load_report_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <future>
#include <sstream>
#include <thread>
#include <utility>

namespace hickorycrank::standin {

using base::Clock;

namespace {

constexpr size_t InstanceCount = 4;
constexpr int PhaseCount = 6;
constexpr double StragglerSlowdown = 20;
constexpr std::chrono::milliseconds StartLimit(10'000);
constexpr std::chrono::milliseconds PollPeriod(20);
/** Requirement 6 of the design page: no new work later than this. */
constexpr std::chrono::milliseconds DrainLimit(3'000);
/** A configuration must be in force everywhere within this time. */
constexpr std::chrono::milliseconds ConfigurationLimit(15'000);
/** Backend servers that get the faults, one for each kind. */
constexpr size_t StragglerIndex = 4;
constexpr size_t DrainedIndex = 10;
constexpr size_t KilledIndex = 16;

/**
 * Waits for a condition.
 * @param Limit Longest wait.
 * @param Holds The condition.
 * @return Whether it came true in time.
 */
template <typename Condition>
bool waitFor(std::chrono::milliseconds Limit, Condition Holds) {
  base::TimePoint End = Clock::now() + Limit;
  while (!Holds()) {
    if (Clock::now() >= End) {
      return false;
    }
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

/**
 * Tells whether a response is an answer with full coverage.
 * @param Body Body of the response.
 * @return Whether every shard answered.
 */
bool isWhole(const std::string &Body) {
  boost::system::error_code Failure;
  boost::json::value Parsed = boost::json::parse(Body, Failure);
  if (Failure || !Parsed.is_object()) {
    return false;
  }
  const boost::json::value *Covered =
      Parsed.get_object().if_contains("coverage");
  return Covered != nullptr && Covered->as_object().at("expected") ==
                                   Covered->as_object().at("answered");
}

} // namespace

DemoSite::DemoSite(boost::asio::io_context &Context, DemoPlan Given,
                   std::map<std::string, std::string> Texts,
                   DemoPrinter Printer)
    : Context(Context), Plan(std::move(Given)), Documents(std::move(Texts)),
      Print(std::move(Printer)), Stand(Context, this->Plan.Shape) {
  this->Stand.platform().publish(1, this->Documents);
  std::vector<config::Endpoint> Addresses;
  std::vector<ListedInstance> Listed;
  for (size_t I = 0; I < InstanceCount; ++I) {
    std::string Name = "entry-" + std::to_string(I);
    config::Settings Own = this->Stand.entrySettings(Name, I);
    auto Started = std::make_shared<daemon::Instance>(Context, Own);
    Started->start();
    Addresses.push_back(Started->callerEndpoint());
    Listed.push_back({Name, "entry", "",
                      config::toString(Started->peerEndpoint()),
                      Own.Domain.Value, 1, false});
    this->Instances.push_back(std::move(Started));
  }
  this->Stand.listEntries(Listed);
  this->Callers = std::make_unique<LoadGenerator>(Context, Addresses, 1);
}

void DemoSite::expect(bool Holds, const std::string &What) {
  if (!Holds) {
    this->Broken.push_back(this->Plan.Name + ": " + What);
  }
}

bool DemoSite::waitUntilReady() {
  return waitFor(StartLimit, [this] {
    for (size_t I = 0; I < InstanceCount; ++I) {
      for (const Workload &Source : this->Plan.Load) {
        std::string Body = this->Callers->sendOne(Source);
        // A ready instance refuses a request without a ticket by that kind.
        bool Ready =
            isWhole(Body) || Body.find("ticket_required") != std::string::npos;
        if (!Ready) {
          return false;
        }
      }
    }
    return true;
  });
}

void DemoSite::showAnswer() {
  const Workload &Source = this->Plan.Load[this->Plan.Example];
  this->Print(this->Plan.Name + ": an answer to " + Source.Template + "\n  " +
              this->Callers->sendOne(Source) + "\n");
}

void DemoSite::runPhase(const std::string &Name, const std::string &Event) {
  this->Print(this->Plan.Name + ": " + Name + ": " + Event + "\n");
  auto Results = this->Callers->run(this->Plan.Load, this->PhaseLength);
  this->Print(this->Plan.Name + ": " + Name + "\n" + formatLoad(Results));
  for (const auto &[Template, Result] : Results) {
    std::ostringstream Text;
    Text << Name << ": " << Template << ": " << Result.Answers << " answers, "
         << Result.Unanswered << " queries without a response";
    bool SomeAnswered = Result.Answers != 0 || Result.Queries == 0;
    this->expect(Result.Unanswered == 0 && SomeAnswered, Text.str());
  }
}

void DemoSite::changeConfiguration() {
  constexpr uint64_t NewRevision = 2;
  this->Documents[this->Plan.Document] +=
      "\n# Edited by the demo, so that the digest changes.\n";
  base::TimePoint Published = Clock::now();
  this->Stand.platform().publish(NewRevision, this->Documents);
  bool InForce = waitFor(ConfigurationLimit, [this] {
    for (const auto &Entry : this->Instances) {
      if (Entry->tier().configurationVersion().Number.Value != NewRevision) {
        return false;
      }
    }
    return true;
  });
  std::ostringstream Text;
  Text << this->Plan.Name << ": revision " << NewRevision
       << (InForce ? " in force on every instance after "
                   : " not in force on every instance after ")
       << std::chrono::ceil<std::chrono::milliseconds>(Clock::now() - Published)
              .count()
       << " ms\n";
  this->Print(Text.str());
  this->expect(InForce, "revision 2 not in force on every instance");
}

void DemoSite::runStop() {
  auto Promise = std::make_shared<std::promise<base::TimePoint>>();
  std::future<base::TimePoint> Ended = Promise->get_future();
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  auto Begun = std::make_shared<base::TimePoint>();
  Timer->expires_after(this->PhaseLength / 2);
  Timer->async_wait([Last = this->Instances.back(), Timer, Promise,
                     Begun](boost::system::error_code) {
    *Begun = Clock::now();
    Last->stop([Promise] { Promise->set_value(Clock::now()); });
  });
  this->runPhase("graceful stop", "entry-3 is told to stop half-way");
  bool Stopped = Ended.wait_for(StartLimit) == std::future_status::ready;
  this->expect(Stopped, "the instance did not stop");
  if (Stopped) {
    std::ostringstream Text;
    Text << this->Plan.Name << ": entry-3 stopped after "
         << std::chrono::ceil<std::chrono::milliseconds>(Ended.get() - *Begun)
                .count()
         << " ms\n";
    this->Print(Text.str());
  }
}

void DemoSite::checkDrain(base::TimePoint Announced) {
  auto AnnouncedMs = std::chrono::floor<std::chrono::milliseconds>(
                         Announced.time_since_epoch())
                         .count();
  auto LastMs =
      static_cast<int64_t>(this->Stand.server(this->Plan.Wide, DrainedIndex)
                               .counters()
                               .LastSearchMs);
  int64_t After = std::max<int64_t>(LastMs - AnnouncedMs, 0);
  this->Print(this->Plan.Name + ": the draining server got its last search " +
              std::to_string(After) + " ms after it began to drain\n");
  // Until its next report, at most a second later, no instance knows.
  this->expect(After <= DrainLimit.count(), "work for a draining server");
}

std::vector<std::string> DemoSite::run(std::chrono::milliseconds Length) {
  this->PhaseLength = Length / PhaseCount;
  base::TimePoint Begun = Clock::now();
  if (!this->waitUntilReady()) {
    this->expect(false, "not every instance answered with full coverage");
    return this->Broken;
  }
  this->Print(this->Plan.Name + ": " + std::to_string(InstanceCount) +
              " instances ready after " +
              std::to_string(std::chrono::ceil<std::chrono::milliseconds>(
                                 Clock::now() - Begun)
                                 .count()) +
              " ms\n");
  this->showAnswer();
  this->runPhase("steady", "no fault");
  BackendServer &Straggler =
      this->Stand.server(this->Plan.Wide, StragglerIndex);
  Straggler.change(
      [](BackendBehaviour &How) { How.Slowdown = StragglerSlowdown; });
  this->runPhase("straggler", Straggler.id() + " is 20 times slower");
  Straggler.change([](BackendBehaviour &How) { How.Slowdown = 1; });
  BackendServer &Drained = this->Stand.server(this->Plan.Wide, DrainedIndex);
  base::TimePoint Announced = Clock::now();
  Drained.change([](BackendBehaviour &How) { How.Leaving = true; });
  this->runPhase("drain", Drained.id() + " reports that it is leaving");
  BackendServer &Killed = this->Stand.server(this->Plan.Wide, KilledIndex);
  Killed.crash();
  this->runPhase("crash", Killed.id() + " closes its port and connections");
  this->changeConfiguration();
  this->runPhase("configuration", "revision 2 with one changed document");
  this->runStop();
  this->checkDrain(Announced);
  return this->Broken;
}

} // namespace hickorycrank::standin
