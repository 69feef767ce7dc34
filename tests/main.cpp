#define CATCH_CONFIG_RUNNER
#include "daemon/log_func.h"

#include <catch2/catch.hpp>
#include <glog/logging.h>

int main(int Count, char **Arguments) {
  hickorycrank::daemon::initialiseLogging(Arguments[0]);
  // One JSON line per query would hide the results.
  FLAGS_minloglevel = google::GLOG_FATAL;
  return Catch::Session().run(Count, Arguments);
}
