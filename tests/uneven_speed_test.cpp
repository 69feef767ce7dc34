// Tests of servers whose speeds differ and change, on virtual time.
#include "forward/server_speed_func.h"
#include "forward_harness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace hickorycrank::tests;
using namespace std::chrono_literals;

namespace {

/** Records replies at the given interval. */
void observe(forward::ServerSpeed &Speed, base::TimePoint &Now, double Ratio,
             int Count, base::Duration Interval) {
  for (int I = 0; I < Count; ++I) {
    Now += Interval;
    forward::observeSpeed(Speed, Now, Ratio, /*LowerBound=*/false);
  }
}

/** @return Execution time of a part: 11 ms with a spread of 0.35, and five
 * times as long for one in a hundred. */
double drawWorkMs(base::Random &Source) {
  double Normal = -6; // Sum of uniform draws.
  for (int I = 0; I < 12; ++I) {
    Normal += Source.unit();
  }
  double Ms = 11 * std::exp(0.35 * Normal - 0.06);
  return Source.below(100) == 0 ? Ms * 5 : Ms;
}

/** Slowness of a server at a time; 1 is the mean of all. */
using SlownessFunction = double (*)(size_t Server, base::TimePoint Now);

/** Slow for a seventh of the time by turns of 600 ms, 2.5 times. */
double noisy(size_t Server, base::TimePoint Now) {
  auto Turn = static_cast<uint64_t>(Now.time_since_epoch() / 600ms);
  base::Random Draw(Turn * 1'000 + Server);
  constexpr double Mean = 1 + 1.5 / 7;
  return (Draw.below(7) == 0 ? 2.5 : 1) / Mean;
}

/** The servers of a shard have speeds of 0.8, 1 and 1.3, and noise. */
double mixed(size_t Server, base::TimePoint Now) {
  static const double Times[] = {1 / 0.8, 1, 1 / 1.3};
  constexpr double Mean = (1 / 0.8 + 1 + 1 / 1.3) / 3;
  return noisy(Server, Now) * Times[Server % 3] / Mean;
}

double even(size_t, base::TimePoint) { return 1; }

/** Executes attempts in slots and replies when their time is over. */
class Servers {
public:
  Servers(ForwardHarness &Harness, SlownessFunction Slowness)
      : Harness(Harness), Slowness(Slowness) {}

  void step() {
    for (auto &Sent : this->Harness.takeActions<forward::SendAttempt>()) {
      this->Queues[Sent.ServerId.Value].Waiting.push_back(Sent);
    }
    size_t Index = 0;
    for (auto &[Id, Queue] : this->Queues) {
      this->finish(Queue);
      this->start(Queue, Index++);
    }
  }

private:
  struct Running {
    forward::SendAttempt Sent;
    base::TimePoint EndsAt;
  };
  struct Queue {
    std::deque<forward::SendAttempt> Waiting;
    std::vector<Running> Active;
  };

  void finish(Queue &From) {
    std::vector<Running> Active = std::move(From.Active);
    From.Active.clear();
    for (Running &Entry : Active) {
      if (Entry.EndsAt > this->Harness.Now) {
        From.Active.push_back(std::move(Entry));
        continue;
      }
      forward::Reply Received = ForwardHarness::successReply("sig");
      Received.Load = forward::LoadReport{
          static_cast<uint32_t>(Active.size() - 1),
          static_cast<uint32_t>(From.Waiting.size()), Slots};
      this->Harness.reply(Entry.Sent, std::move(Received));
    }
  }

  void start(Queue &From, size_t Index) {
    while (From.Active.size() < Slots && !From.Waiting.empty()) {
      double Ms =
          drawWorkMs(this->Source) * this->Slowness(Index, this->Harness.Now);
      From.Active.push_back({From.Waiting.front(),
                             this->Harness.Now + base::fromMilliseconds(Ms)});
      From.Waiting.pop_front();
    }
  }

  static constexpr uint32_t Slots = 4;
  ForwardHarness &Harness;
  SlownessFunction Slowness;
  base::Random Source{11};
  std::map<std::string, Queue> Queues;
};

/** @return The 99th percentile of the times of wide calls to 36 shards, 25 a
 * second for a minute. */
base::Duration wideP99(SlownessFunction Slowness) {
  ForwardHarness Harness({0.2, 50}, 7);
  Harness.publish({ForwardHarness::fanOutRoute(36, 1)});
  for (int I = 0; I < 36; ++I) {
    Harness.addReplicas("s" + std::to_string(I));
  }
  Harness.announce();
  Servers Backends(Harness, Slowness);
  std::map<uint64_t, base::TimePoint> Started;
  std::vector<base::Duration> Times;
  for (int Ms = 0; Ms < 60'000; ++Ms) {
    if (Ms % 40 == 0) {
      auto Id = Harness.sendRequest("wide.example", "/wide/x");
      Started[Id.Value] = Harness.Now;
    }
    Backends.step();
    for (const auto &Answer : Harness.takeActions<forward::RespondCall>()) {
      Times.push_back(Harness.Now - Started[Answer.Id.Value]);
    }
    Harness.takeActions<forward::AbandonAttempt>();
    Harness.advanceTime(1ms);
  }
  // The first seconds, in which the speeds are not known yet, count as well.
  std::sort(Times.begin(), Times.end());
  REQUIRE(Times.size() > 1'400);
  return Times[Times.size() * 99 / 100];
}

} // namespace

// Load: 25 wide calls a second to 36 shards; each server is 2.5 times slower
// for a seventh of the time. Guards against noise that is taken for a lasting
// speed, so that the other servers of a shard get too much.
TEST_CASE("noise of servers costs wide calls little", "[uneven]") {
  double EvenMs = base::toMilliseconds(wideP99(even));
  double NoisyMs = base::toMilliseconds(wideP99(noisy));
  CAPTURE(EvenMs, NoisyMs);
  CHECK(NoisyMs <= 1.15 * EvenMs);
}

// Load: the same, and the servers of a shard have speeds of 0.8, 1 and 1.3.
// Guards against a slow server that gets as much as a fast one.
TEST_CASE("servers of different speeds cost wide calls little", "[uneven]") {
  double EvenMs = base::toMilliseconds(wideP99(even));
  double MixedMs = base::toMilliseconds(wideP99(mixed));
  CAPTURE(EvenMs, MixedMs);
  CHECK(MixedMs <= 1.15 * EvenMs);
}

// Load: a server that takes 0.77 of the typical time has a turn of noise of
// 600 ms. Guards against a fast server that is avoided after it.
TEST_CASE("a turn of noise does not change a lasting speed", "[uneven]") {
  forward::ServerSpeed Speed;
  base::TimePoint Now(1h);
  observe(Speed, Now, 0.77, 100, 100ms);
  CHECK(Speed.Lasting == Approx(0.77).margin(0.05));
  observe(Speed, Now, 0.77 * 2.5, 6, 100ms);
  CHECK(forward::currentSlowness(Speed, Now) > 1.2);
  CHECK(Speed.Lasting < 0.9);
  Now += 700ms;
  CHECK(forward::currentSlowness(Speed, Now) < 1.15);
}

// Load: a server is five times slower for 6 s. Guards against its use while
// that lasts, and against one that is avoided for minutes afterwards.
TEST_CASE("a server that stays slow is avoided for about as long", "[uneven]") {
  forward::ServerSpeed Speed;
  base::TimePoint Now(1h);
  observe(Speed, Now, 1, 50, 100ms);
  observe(Speed, Now, 5, 12, 500ms);
  CHECK(forward::currentSlowness(Speed, Now + 1s) > 2);
  CHECK(forward::currentSlowness(Speed, Now + 20s) < 1.6);
}

// Guards against a paused server whose speed is learned anew after the pause.
TEST_CASE("a lasting speed is kept through a pause", "[uneven]") {
  forward::ServerSpeed Speed;
  base::TimePoint Now(1h);
  observe(Speed, Now, 1.25, 200, 100ms);
  Now += 5s;
  CHECK(forward::currentSlowness(Speed, Now) == Approx(1.25).margin(0.06));
}
