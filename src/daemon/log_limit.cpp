#include "daemon/log_limit_base.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hickorycrank::daemon {

void LogLimit::log(base::TimePoint Now, LogLevel Level,
                   const std::string &Event, LogFields Fields) {
  double Seconds =
      std::chrono::duration<double>(Now - this->LastRefill).count();
  this->LastRefill = Now;
  this->Tokens = std::min(
      LinesPerSecond, this->Tokens + std::max(0.0, Seconds) * LinesPerSecond);
  if (this->Tokens < 1) {
    ++this->Omitted;
    return;
  }
  this->Tokens -= 1;
  if (this->Omitted > 0) {
    Fields["omitted_before"] = std::to_string(std::exchange(this->Omitted, 0));
  }
  logEvent(Level, Event, Fields);
}

} // namespace hickorycrank::daemon
