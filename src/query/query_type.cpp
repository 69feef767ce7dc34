#include "query/query_type.h"

namespace hickorycrank::query {

const char *toString(RefusalKind Kind) {
  static constexpr std::array<const char *, RefusalKindCount> Names = {
      "bad_request",   "unknown_template",   "unauthorised",
      "too_large",     "deadline_passed",    "deadline_exceeded",
      "overloaded",    "queue_full",         "coverage_too_low",
      "no_snapshot",   "no_server",          "backend_error",
      "quarantined",   "ticket_required",    "ticket_unknown",
      "ticket_reused", "issuer_unreachable", "shutting_down",
      "not_ready"};
  return Names[static_cast<size_t>(Kind)];
}

const char *toString(ExecutionState Ran) {
  return Ran == ExecutionState::NotRun ? "not_run" : "may_have_run";
}

} // namespace hickorycrank::query
