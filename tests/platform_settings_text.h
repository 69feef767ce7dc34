#ifndef HICKORYCRANK_TESTS_PLATFORM_SETTINGS_TEXT_H
#define HICKORYCRANK_TESTS_PLATFORM_SETTINGS_TEXT_H

#include <string>

namespace hickorycrank::tests {

/**
 * Writes a settings file as the platform does.
 * @param MoreSeeds Further entries of the list of seeds, each after a comma.
 * @param MoreKeys Further lines of the top level.
 * @return The text.
 */
inline std::string platformSettings(const std::string &MoreSeeds = "",
                                    const std::string &MoreKeys = "") {
  return R"(node = "front-1"
zone = "zone-a"
ip-address = "10.1.0.39"
internal-port-range = [7740, 7755]
seeds = ["10.1.0.39:8224")" +
         MoreSeeds + "]\n" + MoreKeys + R"([listen-addresses]
front = "10.1.0.39:8226"
readiness-address = "10.1.0.39:8227"
control = "10.1.0.39:8224"
[bounds]
grace-period-s = 6
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 54
[platform]
address = "10.200.1.7:8229"
)";
}

} // namespace hickorycrank::tests

#endif
