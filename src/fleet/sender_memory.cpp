#include "fleet/sender_memory_base.h"

#include <algorithm>

namespace hickorycrank::fleet {

namespace {

/** Pause between two calls of members() after which heartbeats may have been
 * missed. */
constexpr base::Duration MaxPause = std::chrono::seconds(1);

} // namespace

void SenderMemory::record(base::TimePoint Now, const std::string &Address,
                          bool Heard) {
  base::TimePoint &Known = this->Until[Address];
  Known = std::max(Known, Now + Memory);
  this->HasHeard = this->HasHeard || Heard;
}

void SenderMemory::recordLeaving(base::TimePoint Now,
                                 const std::string &Address) {
  this->Until[Address] = Now + LeavingMemory;
  this->HasHeard = true;
}

limits::ColdMembers SenderMemory::members(base::TimePoint Now,
                                          const std::string &OwnAddress) {
  if (Now - this->LastAskedAt > MaxPause) {
    this->ListensSince = Now;
  }
  this->LastAskedAt = Now;
  std::erase_if(this->Until,
                [Now](const auto &Entry) { return Entry.second < Now; });
  limits::ColdMembers Result;
  Result.Own = limits::coldKey(OwnAddress);
  for (const auto &[Address, End] : this->Until) {
    if (Address != OwnAddress) {
      Result.Others.push_back(limits::coldKey(Address));
    }
  }
  bool Heard = this->HasHeard || Result.Others.empty();
  Result.Settled = Heard && Now - this->ListensSince >= ListenTime;
  Result.MostKnown = Heard && Now - this->ListensSince >= FirstListenTime;
  return Result;
}

} // namespace hickorycrank::fleet
