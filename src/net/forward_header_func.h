#ifndef HICKORYCRANK_NET_FORWARD_HEADER_FUNC_H
#define HICKORYCRANK_NET_FORWARD_HEADER_FUNC_H

#include "base/time_type.h"
#include "forward/call_type.h"

#include <boost/beast/http/fields.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hickorycrank::net {

/**
 * Copies the header fields that are not limited to one connection.
 * @param Source Fields of a message.
 * @return The others than those of RFC 9110, section 7.6.1, those that
 *   Connection names, and those that frame the body.
 */
forward::HeaderFields endToEndFields(const boost::beast::http::fields &Source);

/**
 * Copies all header fields.
 * @param Source Fields of a message.
 * @return Values by name in lower case; of equal names the last one.
 */
std::map<std::string, std::string>
lowerCaseFields(const boost::beast::http::fields &Source);

/**
 * Reads a Keep-Alive field.
 * @param Text Value of the field.
 * @return Idle time that the sender allows, at most ten minutes, or nothing.
 */
std::optional<base::Duration> parseKeepAlive(std::string_view Text);

/**
 * Reads a load report.
 * @param Text Running, waiting and slots, separated by commas; optionally the
 *   execution time as a percentage of the usual one.
 * @return The report, or nothing if it cannot be read.
 */
std::optional<forward::LoadReport> parseLoad(std::string_view Text);

/**
 * Reads a rate limit.
 * @param Text Requests per second, a decimal number.
 * @return The limit, or nothing unless it is a finite number of at least 0.
 */
std::optional<double> parseRateLimit(std::string_view Text);

/**
 * Reads a time in milliseconds.
 * @param Text A decimal number.
 * @return The time, at most ten minutes, or nothing unless the number is finite
 *   and at least 0.
 */
std::optional<std::chrono::milliseconds>
parseMilliseconds(std::string_view Text);

/**
 * Reads a Retry-After field.
 * @param Text Seconds, a decimal number.
 * @return The time, at most ten minutes, or nothing unless the number is finite
 *   and at least 0.
 */
std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view Text);

} // namespace hickorycrank::net

#endif
