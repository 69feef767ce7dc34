#ifndef HICKORYCRANK_FLEET_CAPACITY_FUNC_H
#define HICKORYCRANK_FLEET_CAPACITY_FUNC_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace hickorycrank::fleet {

/**
 * Converts a processor share to the unit of heartbeats.
 * @param CpuCores Share of a core; 0 if unknown.
 * @return Thousandths of a core, at least 1; nothing if unknown.
 */
std::optional<uint32_t> toCapacity(double CpuCores);

/**
 * Computes the part of common limits that an instance takes.
 * @param Own Capacity of this instance.
 * @param Known Capacities of the other instances that state one.
 * @param Unheard Number of other instances that are not known yet; they count
 *   as the largest known one.
 * @return The part relative to an equal part: 1 if the capacities are about
 *   equal, otherwise about the ratio of Own to the mean.
 */
double weighCapacity(uint32_t Own, std::span<const uint32_t> Known,
                     size_t Unheard);

} // namespace hickorycrank::fleet

#endif
