#ifndef HICKORYCRANK_STANDIN_LOAD_REPORT_FUNC_H
#define HICKORYCRANK_STANDIN_LOAD_REPORT_FUNC_H

#include "standin/load_type.h"

#include <map>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/**
 * Finds a quantile by the nearest rank.
 * @param Values Any values.
 * @param Share From 0 to 1.
 * @return The quantile; 0 if there are no values.
 */
double quantileOf(std::vector<double> Values, double Share);

/**
 * Writes results as a table with one line a template.
 * @param Results Results by template.
 * @return Text with a heading and a line break at its end.
 */
std::string formatLoad(const std::map<std::string, LoadResult> &Results);

} // namespace hickorycrank::standin

#endif
