#ifndef HICKORYCRANK_STANDIN_DEMO_FUNC_H
#define HICKORYCRANK_STANDIN_DEMO_FUNC_H

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/** What the demo is told. */
struct DemoOptions {
  std::string Examples = "examples"; ///< Folder of the example documents.
  std::chrono::milliseconds Length{18'000}; ///< Time under load, all phases.
};

/**
 * Runs both example deployments on loopback in this process: platform,
 * backend servers and four entry instances each, under load, with one fault a
 * phase.
 * @param Options Folder and length.
 * @param Out Receives progress and tables.
 * @return Expectations that did not hold; empty on success.
 */
std::vector<std::string> runDemo(const DemoOptions &Options, std::ostream &Out);

} // namespace hickorycrank::standin

#endif
