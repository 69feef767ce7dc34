#include "query/state_type.h"

namespace hickorycrank::query {

const char *toString(RetryReason Reason) {
  static constexpr std::array<const char *, RetryReasonCount> Names = {
      "shed",    "version_gone", "error",    "reset",
      "timeout", "connect",      "bad_reply"};
  return Names[static_cast<size_t>(Reason)];
}

} // namespace hickorycrank::query
