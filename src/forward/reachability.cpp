#include "forward/reachability_base.h"

#include "forward/placement_func.h"
#include "forward/replica_func.h"

#include <algorithm>

namespace hickorycrank::forward {

namespace {

/** Time from an attempt without any reply after which the links may be lost;
 * servers pause for up to 250 ms, each at its own time. */
constexpr base::Duration SilenceTime = std::chrono::milliseconds(600);
/** Fraction of the servers that must be silent. Fewer may have failed while
 * this instance has sent nothing to the others. */
constexpr double SilentShare = 0.5;

/** Bounds of the interval between idempotent requests that test lost links. It
 * grows with the time since the loss: a failed test is relayed, and the budgets
 * of its services pay for that. */
constexpr base::Duration MinTestInterval = std::chrono::milliseconds(500);
constexpr base::Duration MaxTestInterval = std::chrono::seconds(2);
constexpr int TestIntervalDivisor = 2; ///< Of the time since the loss.
/** Time without a test after which a request that is not idempotent is one. If
 * it fails, its caller gets no answer. */
constexpr base::Duration OtherTestInterval = std::chrono::seconds(4);

bool isSilent(base::TimePoint Now, const Server &Backend) {
  auto IsOverdue = [Now](const OutstandingAttempt &Entry) {
    return Now - Entry.SentAt >= OverdueTime;
  };
  return Backend.Unreachable || Backend.Unanswered || Backend.Failures > 0 ||
         std::any_of(Backend.Outstanding.begin(), Backend.Outstanding.end(),
                     IsOverdue);
}

} // namespace

bool Reachability::tryTest(base::TimePoint Now, bool Idempotent) {
  base::Duration Interval =
      std::clamp((Now - this->LostSince) / TestIntervalDivisor, MinTestInterval,
                 MaxTestInterval);
  Interval = Idempotent ? Interval : OtherTestInterval;
  base::TimePoint Last =
      Idempotent ? this->LastTest : std::max(this->LastTest, this->LostSince);
  if (!this->Lost || this->Connectable == 0 || Now - Last < Interval) {
    return false;
  }
  this->LastTest = Now;
  return true;
}

bool Reachability::update(base::TimePoint Now, const ServerSet &Servers) {
  this->Usable = 0;
  this->Silent = 0;
  this->Connectable = 0;
  for (const auto &[Id, Backend] : Servers.all()) {
    if (!isUsable(*Backend, nullptr)) {
      continue;
    }
    ++this->Usable;
    this->Silent += isSilent(Now, *Backend) ? 1 : 0;
    this->Connectable += Backend->Unreachable ? 0 : 1;
  }
  bool Before = this->Lost;
  this->Lost = this->areLinksLost(Now);
  if (this->Lost && !Before) {
    this->LostSince = Now;
  }
  return this->Lost != Before;
}

bool Reachability::areLinksLost(base::TimePoint Now) const {
  if (this->Usable == 0) {
    return false;
  }
  if (this->Lost) {
    return this->LastReply <= this->LostSince;
  }
  return this->UnansweredSince && Now - *this->UnansweredSince >= SilenceTime &&
         static_cast<double>(this->Silent) >=
             SilentShare * static_cast<double>(this->Usable);
}

} // namespace hickorycrank::forward
