#define CATCH_CONFIG_RUNNER
#include "daemon/log_func.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <glog/logging.h>

int main(int Count, char **Arguments) {
  hickorycrank::daemon::initialiseLogging(Arguments[0]);
  // One JSON line per query would hide the results.
  FLAGS_minloglevel = google::GLOG_FATAL;
  // Fixed, so that a failure comes again; the environment may override both.
  setenv("RC_PARAMS", "seed=20261204 max_success=500", 0);
  return Catch::Session().run(Count, Arguments);
}
