#include "fleet/view_freshness_func.h"

#include <algorithm>

namespace hickorycrank::fleet {

namespace {

/** Shares of the time within which a change must be in force. A watch is as
 * long as they allow, since each call is billed: about a tenth passes between
 * its end and the last heartbeat about it, and a fifth is left for an
 * instance's own call. */
constexpr double WatchShare = 0.4;
constexpr double ReaderAgeShare = 0.55;
constexpr double TakeoverShare = 0.06;
constexpr double MaxViewAgeShare = 0.8;
/** More instances than any deployment has; bounds the memory for claims of
 * made-up senders. */
constexpr size_t MaxPendingClaims = 2'048;

} // namespace

ReadTiming makeReadTiming(std::chrono::milliseconds ApplyBound) {
  auto Share = [ApplyBound](double Part) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(ApplyBound *
                                                                 Part);
  };
  return {Share(WatchShare), Share(ReaderAgeShare), Share(TakeoverShare),
          Share(MaxViewAgeShare)};
}

void recordOwnRead(ViewFreshness &Freshness, base::TimePoint VerifiedAt) {
  Freshness.VerifiedAt =
      std::max(Freshness.VerifiedAt.value_or(VerifiedAt), VerifiedAt);
}

void recordClaim(ViewFreshness &Freshness, base::TimePoint Now,
                 const Heartbeat &Received,
                 const discovery::StorePosition &OwnLastChange) {
  if (!Received.ViewAge) {
    return; // An older release, or an instance without a view.
  }
  FreshnessClaim Claim{Received.LastChange, Now - *Received.ViewAge};
  if (Claim.LastChange <= OwnLastChange) {
    Freshness.PendingClaims.erase(Received.Address);
    recordOwnRead(Freshness, Claim.VerifiedAt);
    return;
  }
  if (Freshness.PendingClaims.size() < MaxPendingClaims ||
      Freshness.PendingClaims.count(Received.Address) != 0) {
    Freshness.PendingClaims[Received.Address] = Claim;
  }
}

void applyPendingClaims(ViewFreshness &Freshness,
                        const discovery::StorePosition &OwnLastChange) {
  std::erase_if(Freshness.PendingClaims, [&](const auto &Entry) {
    if (Entry.second.LastChange > OwnLastChange) {
      return false;
    }
    recordOwnRead(Freshness, Entry.second.VerifiedAt);
    return true;
  });
}

base::Duration viewAge(const ViewFreshness &Freshness, base::TimePoint Now) {
  return Freshness.VerifiedAt ? Now - *Freshness.VerifiedAt
                              : base::Duration::max();
}

} // namespace hickorycrank::fleet
