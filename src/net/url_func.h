#ifndef HICKORYCRANK_NET_URL_FUNC_H
#define HICKORYCRANK_NET_URL_FUNC_H

#include <map>
#include <string>
#include <string_view>

namespace hickorycrank::net {

/**
 * Decodes percent escapes.
 * @param Text Encoded text.
 * @return Decoded text; malformed escapes stay as they are.
 */
std::string decodePercent(std::string_view Text);

/**
 * Encodes everything but unreserved characters.
 * @param Text Any text.
 * @return Text that is safe in a path segment or query value.
 */
std::string encodePercent(std::string_view Text);

/**
 * Splits a request target into path and query parameters.
 * @param Target Target of the request line.
 * @param Query Receives decoded parameters.
 * @return The decoded path.
 */
std::string splitTarget(std::string_view Target,
                        std::map<std::string, std::string> &Query);

} // namespace hickorycrank::net

#endif
