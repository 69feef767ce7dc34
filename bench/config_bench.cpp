// Building a whole configuration from its documents.
#include "config/document_func.h"

#include <benchmark/benchmark.h>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace hickorycrank;

/**
 * Writes documents of one service with many templates.
 * @param Templates Number of templates.
 * @return Text by document name.
 */
std::map<std::string, std::string> makeDocuments(int64_t Templates) {
  std::map<std::string, std::string> Documents;
  Documents["service/stock"] = "kind = \"service\"\nname = \"stock\"\n"
                               "connections_per_server = 30\nslots = 3\n"
                               "planned_instances = 4\nconnect_ms = 6\n";
  for (int64_t I = 0; I < Templates; ++I) {
    std::string Name = "search-" + std::to_string(I);
    Documents["template/" + Name] =
        "kind = \"template\"\nname = \"" + Name +
        "\"\nservice = \"stock\"\nshards = \"all\"\ndeadline_ms = 500\n"
        "coverage_goal = 0.98\ncoverage_floor = 0.9\norder_by = \"stock\"\n"
        "limit = 100\n\n[parameters.colour]\ntype = \"text\"\n";
  }
  return Documents;
}

/** @param State Argument 0: number of templates. */
void buildConfiguration(benchmark::State &State) {
  config::ConfigurationTexts Texts =
      config::assembleTexts(base::Revision(1), makeDocuments(State.range(0)));
  for (auto Iteration : State) {
    std::vector<base::Error> Errors;
    auto Built = config::buildConfiguration(Texts, Errors);
    if (!Built) {
      State.SkipWithError(Errors.front().Message.c_str());
      return;
    }
    benchmark::DoNotOptimize(Built);
  }
}

} // namespace

BENCHMARK(buildConfiguration)->Arg(10)->Arg(100)->Arg(1'000);
