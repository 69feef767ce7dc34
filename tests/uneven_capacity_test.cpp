// Tests of common limits that instances of different sizes share.
#include "fleet/capacity_func.h"
#include "fleet/roster_base.h"
#include "net/fleet_codec_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <string>
#include <vector>

using namespace hickorycrank;
using namespace std::chrono_literals;

namespace {

/** @return Capacities of 85 instances: eight have half of a core. */
std::vector<uint32_t> mixedSizes() {
  std::vector<uint32_t> Sizes(85, 120);
  std::fill(Sizes.begin(), Sizes.begin() + 8, 500);
  return Sizes;
}

/** @return Sum of the parts of all instances, each of which knows those whose
 * index has the same remainder; 1 is the whole limit. */
double sumOfParts(const std::vector<uint32_t> &Sizes, size_t Modulus) {
  double Sum = 0;
  for (size_t I = 0; I < Sizes.size(); ++I) {
    std::vector<uint32_t> Known;
    for (size_t J = 0; J < Sizes.size(); ++J) {
      if (J != I && J % Modulus == I % Modulus) {
        Known.push_back(Sizes[J]);
      }
    }
    size_t Unheard = Sizes.size() - 1 - Known.size();
    double Weight = fleet::weighCapacity(Sizes[I], Known, Unheard);
    Sum += 1 / std::ceil(static_cast<double>(Sizes.size()) / Weight);
  }
  return Sum;
}

} // namespace

// Guards against common limits that are exceeded, or left unused, because
// instances take parts by their size.
TEST_CASE("the parts of instances of two sizes sum up to the limit",
          "[uneven]") {
  double Sum = sumOfParts(mixedSizes(), 1);
  CHECK(Sum <= 1);
  CHECK(Sum > 0.97);
  std::vector<uint32_t> Others = mixedSizes();
  Others.erase(Others.begin());
  CHECK(fleet::weighCapacity(500, Others, 0) == Approx(3.21).margin(0.02));
}

// Load: views that hold a half, a fifth or a tenth of the instances. Guards
// against an instance that takes more because it knows smaller ones only.
TEST_CASE("the parts stay within the limit with incomplete views", "[uneven]") {
  size_t Modulus = GENERATE(2, 5, 10, 85);
  CAPTURE(Modulus);
  CHECK(sumOfParts(mixedSizes(), Modulus) <= 1);
}

// Guards against other parts than before where all machines are alike.
TEST_CASE("instances of about equal size take equal parts", "[uneven]") {
  std::vector<uint32_t> Known{480, 500, 520};
  CHECK(fleet::weighCapacity(500, Known, 20) == 1);
  CHECK(fleet::weighCapacity(500, {}, 20) == 1);
  CHECK_FALSE(fleet::toCapacity(0));
  CHECK(fleet::toCapacity(0.12) == 120U);
}

// Load: some instances run an older release. Guards against an instance that
// takes their parts because they state no capacity.
TEST_CASE("instances that state no capacity count as average ones",
          "[uneven]") {
  base::TimePoint Now(1h);
  fleet::Roster Members(Now, "own", base::FailureDomainId("a"), 1);
  for (int I = 0; I < 8; ++I) {
    fleet::Heartbeat Received;
    Received.Address = "peer-" + std::to_string(I);
    Received.Domain = base::FailureDomainId("a");
    if (I % 2 == 0) {
      Received.Capacity = I == 0 ? 500 : 120;
    }
    Members.onHeartbeat(Now, Received);
  }
  // Known with this one: 500, 120, 120, 120 and 500. Their mean is 272, and the
  // small ones count as half of it.
  double Mean = (2 * 500 + 3 * 136) / 5.0;
  CHECK(Members.capacityWeight(Now, 500) == Approx(500 / Mean).margin(0.01));
  CHECK(Members.capacityWeight(Now, std::nullopt) == 1);
}

// Guards against a capacity that is lost on the way, and against one that an
// older release does not send and that is read as 0.
TEST_CASE("a heartbeat carries the capacity", "[uneven]") {
  fleet::Heartbeat Sent;
  Sent.Address = "127.0.0.1:1000";
  Sent.ControlAddress = "127.0.0.1:1001";
  Sent.Domain = base::FailureDomainId("a");
  auto Unstated = net::decodeHeartbeat(net::encodeHeartbeat(Sent));
  REQUIRE(Unstated);
  CHECK_FALSE(Unstated.value().Capacity);
  Sent.Capacity = 120;
  auto Stated = net::decodeHeartbeat(net::encodeHeartbeat(Sent));
  REQUIRE(Stated);
  CHECK(Stated.value().Capacity == 120U);
  Sent.Capacity = 0;
  CHECK_FALSE(net::decodeHeartbeat(net::encodeHeartbeat(Sent)));
}
