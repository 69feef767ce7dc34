// Tests that instances share what they learn of requests that crash servers.
#include "forward_harness.h"
#include "net/fleet_codec_func.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;
using forward::AttemptFailure;
using forward::SendAttempt;

namespace {

constexpr size_t InstanceCount = 30;
constexpr int ServerCount = 20;
constexpr uint64_t CrashingContent = 77;
constexpr auto RestartTime = 3s; ///< Of a crashed server.
constexpr size_t TargetsPerHeartbeat = 12;
constexpr int MaxCalls = 1'000'000;

/** Instances that exchange heartbeats, and servers that end when they run one
 * certain request, on virtual time. */
class CrashFleet {
public:
  CrashFleet() {
    for (size_t I = 0; I < InstanceCount; ++I) {
      this->Instances.push_back(this->makeInstance(I));
    }
  }

  void restart(size_t Index) {
    this->Instances[Index] = this->makeInstance(Index);
    // The new process counts its calls from the start again.
    std::erase_if(this->CrashingCalls,
                  [Index](const auto &Call) { return Call.first == Index; });
  }

  /** Runs for a time; the crashing request comes each 400 ms. */
  void run(base::Duration Time) {
    for (base::Duration Step{}; Step < Time; Step += 10ms) {
      this->Elapsed += 10ms;
      if (this->Elapsed % 400ms == 0ms) {
        this->request(this->pickReachable(), CrashingContent);
      }
      if (this->Elapsed % 30ms == 0ms) {
        this->request(this->Random.below(InstanceCount), ++this->LastContent);
      }
      if (this->Elapsed % 250ms == 0ms) {
        this->exchangeHeartbeats();
      }
      for (auto &Instance : this->Instances) {
        Instance.advanceTime(10ms);
        Instance.Engine.probeServers(Instance.Now, Instance.Out);
        this->execute(Instance);
      }
    }
  }

  std::vector<base::Duration> Crashes; ///< When servers crashed.
  std::optional<size_t> CutOff;        ///< Instance that gets no heartbeats.
  /** Callers of the crashing request leave before the servers crash. */
  bool CallersLeave = false;

private:
  ForwardHarness makeInstance(size_t Index) {
    ForwardHarness Instance({0.2, 50}, Index + 1);
    Instance.Now += this->Elapsed;
    Instance.publish({ForwardHarness::singleServiceRoute(true)});
    for (int I = 0; I < ServerCount; ++I) {
      Instance.addServer("one", "i-" + std::to_string(I), "a");
    }
    Instance.announce();
    return Instance;
  }

  size_t pickReachable() {
    size_t Index = this->Random.below(InstanceCount);
    return Index == this->CutOff ? (Index + 1) % InstanceCount : Index;
  }

  void request(size_t Index, uint64_t Content) {
    ForwardHarness &Instance = this->Instances[Index];
    auto Id = Instance.sendRequest("one.example", "/one/x", 4s, Content);
    if (Content == CrashingContent) {
      this->CrashingCalls.insert({Index, Id.Value});
    }
  }

  void exchangeHeartbeats() {
    for (size_t From = 0; From < InstanceCount; ++From) {
      for (size_t I = 0; I < TargetsPerHeartbeat; ++I) {
        size_t To = this->Random.below(InstanceCount);
        if (From != this->CutOff && To != this->CutOff) {
          this->exchange(this->Instances[From], this->Instances[To]);
        }
      }
    }
  }

  static void exchange(const ForwardHarness &From, ForwardHarness &To) {
    for (const auto &Report : From.Engine.crashes().reports(From.Now)) {
      To.Engine.onCrashReport(To.Now, Report);
    }
  }

  void breakAttempt(ForwardHarness &Instance, const SendAttempt &Sent) const {
    if (!this->CallersLeave) {
      Instance.failAttempt(Sent, AttemptFailure::Broken);
      return;
    }
    Instance.Engine.onCallerGone(Instance.Now, forward::CallId(Sent.Ref.Call),
                                 Instance.Out);
    Instance.takeActions<forward::AbandonAttempt>();
    Instance.Engine.onAbandonedAttemptEnded(Instance.Now, Sent.Ref, Sent.Server,
                                            AttemptFailure::Broken,
                                            Instance.Out);
  }

  bool isDown(const std::string &Server) const {
    auto Found = this->DownUntil.find(Server);
    return Found != this->DownUntil.end() && this->Elapsed < Found->second;
  }

  void execute(ForwardHarness &Instance) {
    size_t Index = static_cast<size_t>(&Instance - this->Instances.data());
    for (const auto &Sent : Instance.takeActions<SendAttempt>()) {
      if (this->isDown(Sent.ServerId.Value)) {
        Instance.failAttempt(Sent, AttemptFailure::NotSent);
      } else if (this->CrashingCalls.count({Index, Sent.Ref.Call}) != 0) {
        this->Crashes.push_back(this->Elapsed);
        this->DownUntil[Sent.ServerId.Value] = this->Elapsed + RestartTime;
        this->breakAttempt(Instance, Sent);
      } else {
        Instance.reply(Sent, ForwardHarness::successReply("sig"));
      }
    }
    for (const auto &Probe : Instance.takeActions<forward::ProbeConnection>()) {
      std::string Id = this->serverAt(Instance, Probe.Address);
      Instance.Engine.onProbeResult(Instance.Now, Probe.Server,
                                    !this->isDown(Id));
    }
    Instance.takeActions<forward::RespondCall>();
  }

  static std::string serverAt(const ForwardHarness &Instance,
                              const std::string &Address) {
    for (const auto &Entry : Instance.Listed) {
      if (Entry.Address == Address) {
        return Entry.Id.Value;
      }
    }
    return "";
  }

  std::vector<ForwardHarness> Instances;
  base::Random Random{5};
  base::Duration Elapsed{};
  uint64_t LastContent = MaxCalls;
  std::set<std::pair<size_t, uint64_t>> CrashingCalls;
  std::map<std::string, base::Duration> DownUntil;
};

} // namespace

// Guards against refusing innocent requests on all instances because one of
// them has lost its links to all servers at once.
TEST_CASE("crashes are not reported if all links are lost", "[forward]") {
  forward::CrashRecord Record;
  base::TimePoint Now{1h};
  for (uint64_t Call = 1; Call <= 2; ++Call) {
    Record.recordBroken(Now, forward::ServerKey(Call), Call,
                        base::Fingerprint(9));
    Record.recordUnreachable(Now + 50ms, forward::ServerKey(Call));
  }
  CHECK(Record.isQuarantined(Now + 100ms, base::Fingerprint(9)));
  CHECK(Record.reports(Now + 1s).empty());
  Record.setLinksLost(Now + 1s, true);
  CHECK_FALSE(Record.isQuarantined(Now + 1s, base::Fingerprint(9)));
  CHECK(Record.reports(Now + 3s).empty());
}

// Guards against a quarantine without end: each instance would learn of it
// again from one whose quarantine ends a little later.
TEST_CASE("a quarantine ends on instances that report it to each other",
          "[forward]") {
  std::array<forward::CrashRecord, 3> Records;
  base::TimePoint Now{1h};
  for (uint64_t Call = 1; Call <= 2; ++Call) {
    Records[0].recordBroken(Now, forward::ServerKey(Call), Call,
                            base::Fingerprint(9));
    Records[0].recordUnreachable(Now, forward::ServerKey(Call));
  }
  size_t Quarantined = 0;
  for (base::Duration Step{}; Step < 6min; Step += 250ms) {
    for (size_t From = 0; From < Records.size(); ++From) {
      auto Reports = Records[From].reports(Now + Step);
      auto &To = Records[(From + 1) % Records.size()];
      for (const auto &Report : Reports) {
        To.merge(Now + Step + 40ms, Report);
      }
    }
    Quarantined = 0;
    for (auto &Record : Records) {
      Record.expire(Now + Step);
      Quarantined +=
          Record.isQuarantined(Now + Step, base::Fingerprint(9)) ? 1 : 0;
    }
    if (Step == 4min) {
      CHECK(Quarantined == Records.size());
    }
  }
  CHECK(Quarantined == 0);
}

// Guards against heartbeats that the others discard, because they name more
// content than fits or is accepted.
TEST_CASE("a heartbeat with many crash reports is decoded", "[forward]") {
  forward::CrashRecord Record;
  base::TimePoint Now{1h};
  for (uint64_t Content = 1; Content <= 1'000; ++Content) {
    Record.merge(Now, {base::Fingerprint(Content * 0x9e3779b97f4a7c15),
                       {Content << 40, Content << 41},
                       std::chrono::milliseconds(Content)});
  }
  fleet::Heartbeat Message;
  Message.Address = "10.0.0.1:7";
  Message.ControlAddress = "10.0.0.1:8";
  Message.Crashes = Record.reports(Now);
  Message.QuarantinedFingerprints = Record.quarantined(Now);
  std::string Bytes = net::encodeHeartbeat(Message);
  CHECK(Bytes.size() < 8'192);
  auto Decoded = net::decodeHeartbeat(Bytes);
  REQUIRE(Decoded);
  REQUIRE(Decoded.value().Crashes);
  CHECK(Decoded.value().Crashes->size() == forward::CrashRecord::MaxReports);
  CHECK(Decoded.value().Crashes->front().Age == 1ms);
}

// Guards against a request that crashes servers and goes on doing so at each
// instance that has not yet seen it twice itself, also at those that were cut
// off from the others or have restarted since.
TEST_CASE("a request that crashed three servers is stopped on all instances",
          "[forward]") {
  CrashFleet Fleet;
  Fleet.CallersLeave = GENERATE(false, true);
  Fleet.CutOff = 5;
  Fleet.run(8s);
  Fleet.restart(7);
  Fleet.run(2s);
  Fleet.CutOff.reset();
  Fleet.run(20s);
  REQUIRE(Fleet.Crashes.size() >= 3);
  // Five seconds after the third crash at most three retries are allowed.
  base::Duration Until = Fleet.Crashes[2] + 5s;
  auto Late = std::count_if(Fleet.Crashes.begin(), Fleet.Crashes.end(),
                            [&](auto At) { return At > Until; });
  CAPTURE(Fleet.Crashes.size());
  CHECK(Late <= 3);
}
