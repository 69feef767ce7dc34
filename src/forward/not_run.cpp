#include "forward/not_run_func.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hickorycrank::forward {

namespace {

constexpr std::array<uint32_t, 4> NotRunStatuses = {408, 421, 429, 503};

/** @return The refusal, stating whether the request may have run. */
Refusal stateExecution(const Call &CurrentCall, Refusal Refused) {
  Refused.MayHaveRun = mayHaveRun(CurrentCall);
  if (!Refused.MayHaveRun) {
    return Refused;
  }
  // Other reasons stand for requests that no server has run.
  if (Refused.Reason != RefusalReason::Timeout) {
    Refused.Reason = RefusalReason::BackendFailed;
  }
  Refused.RetryAfter.reset();
  return Refused;
}

} // namespace

bool statesNotRun(uint32_t Status) {
  return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), Status) !=
         NotRunStatuses.end();
}

bool isRejection(const Reply &Received) {
  return Received.Signature.empty() &&
         (Received.NotExecuted || Received.Misdirected);
}

bool isPeerRefusal(const Reply &Received) {
  bool OwnStatus = Received.Status == 503 ||
                   (Received.Status >= 400 && Received.Status < 500);
  return OwnStatus && Received.Signature.empty() && !Received.Merged;
}

bool mayHaveRun(const Call &CurrentCall) {
  return CurrentCall.PeerMayHaveSent ||
         std::any_of(CurrentCall.Parts.begin(), CurrentCall.Parts.end(),
                     [](const Part &Entry) { return Entry.PossiblyRun > 0; });
}

CallResult stateExecution(const Call &CurrentCall, CallResult &&Result) {
  if (const auto *Refused = std::get_if<Refusal>(&Result)) {
    return stateExecution(CurrentCall, *Refused);
  }
  const auto *Received = std::get_if<Reply>(&Result);
  if (Received == nullptr || !statesNotRun(Received->Status)) {
    return std::move(Result);
  }
  // A reply that is passed on bears the signature of a server that ran it.
  Refusal Withheld{RefusalReason::BackendFailed, true, std::nullopt};
  Withheld.WithheldStatus = Received->Status;
  return Withheld;
}

} // namespace hickorycrank::forward
