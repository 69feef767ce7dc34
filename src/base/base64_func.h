#ifndef HICKORYCRANK_BASE_BASE64_FUNC_H
#define HICKORYCRANK_BASE_BASE64_FUNC_H

#include <optional>
#include <string>
#include <string_view>

namespace hickorycrank::base {

/**
 * Decodes standard base64 with padding, using OpenSSL.
 * @param Text Encoded bytes without line breaks.
 * @return The bytes, or nothing if the text is not valid.
 */
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace hickorycrank::base

#endif
