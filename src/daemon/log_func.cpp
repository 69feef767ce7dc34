#include "daemon/log_func.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

namespace hickorycrank::daemon {

void initialiseLogging(const char *Program) {
  // The JSON line already contains time and level.
  FLAGS_log_prefix = false;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

void setNonBlockingLog() {
  FLAGS_logtostderr = false;
  FLAGS_logtostdout = true;
  // Without line buffering, a pipe would receive lines in blocks, seconds late.
  setvbuf(stdout, nullptr, _IOLBF, 0);
  int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK) < 0) {
    logEvent(LogLevel::Warning, "log.blocking",
             {{"remedy", "start the process with an open standard output"}});
  }
}

void logEvent(LogLevel Level, const std::string &Event,
              const LogFields &Fields) {
  static constexpr const char *Names[] = {"info", "warning", "error"};
  auto Now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  boost::json::object Line;
  Line["time_ms"] = Now.time_since_epoch().count();
  Line["level"] = Names[static_cast<size_t>(Level)];
  Line["event"] = Event;
  for (const auto &[Key, Value] : Fields) {
    Line[Key] = Value;
  }
  std::string Text = boost::json::serialize(Line);
  switch (Level) {
  case LogLevel::Info:
    LOG(INFO) << Text;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Text;
    break;
  case LogLevel::Error:
    LOG(ERROR) << Text;
    break;
  }
}

} // namespace hickorycrank::daemon
