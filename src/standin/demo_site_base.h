#ifndef HICKORYCRANK_STANDIN_DEMO_SITE_BASE_H
#define HICKORYCRANK_STANDIN_DEMO_SITE_BASE_H

#include "daemon/instance_base.h"
#include "standin/deployment_base.h"
#include "standin/load_generator_base.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/** What distinguishes one demo deployment from another. */
struct DemoPlan {
  std::string Name; ///< Also the folder of its documents.
  DeploymentBuilder Shape;
  std::vector<Workload> Load;
  size_t Example = 0;   ///< Workload whose answer is shown, in Load.
  std::string Wide;     ///< Service that gets the faults.
  std::string Document; ///< Document that the configuration change edits.
};

/** Receives whole blocks of text from several threads. */
using DemoPrinter = std::function<void(const std::string &)>;

/** One deployment of the demo: stand-ins, entry instances and callers. */
class DemoSite {
public:
  /**
   * Starts everything; ready after waitUntilReady().
   * @param Context Runs everything; must outlive it.
   * @param Plan What to start.
   * @param Documents Text by document name.
   * @param Print Receives progress and tables.
   */
  DemoSite(boost::asio::io_context &Context, DemoPlan Plan,
           std::map<std::string, std::string> Documents, DemoPrinter Print);

  /**
   * Runs all phases.
   * @param Length Time under load, all phases together.
   * @return Expectations that did not hold.
   */
  std::vector<std::string> run(std::chrono::milliseconds Length);

private:
  bool waitUntilReady();
  void showAnswer();
  void runPhase(const std::string &Name, const std::string &Event);
  void changeConfiguration();
  void runStop();
  void checkDrain(base::TimePoint Announced);
  void expect(bool Holds, const std::string &What);

  boost::asio::io_context &Context;
  DemoPlan Plan;
  std::map<std::string, std::string> Documents;
  DemoPrinter Print;
  Deployment Stand;
  std::vector<std::shared_ptr<daemon::Instance>> Instances;
  std::unique_ptr<LoadGenerator> Callers;
  std::chrono::milliseconds PhaseLength{0};
  std::vector<std::string> Broken;
};

} // namespace hickorycrank::standin

#endif
