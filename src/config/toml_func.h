#ifndef HICKORYCRANK_CONFIG_TOML_FUNC_H
#define HICKORYCRANK_CONFIG_TOML_FUNC_H

#include "base/error_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace hickorycrank::config {

/**
 * Parses TOML text.
 * @param Text Text to parse.
 * @param File Name shown in errors.
 * @param Errors Receives a syntax error.
 * @return The table; empty after an error.
 */
toml::table parseToml(std::string_view Text, const std::string &File,
                      std::vector<base::Error> &Errors);

/**
 * Finds a table header that does not begin with a key, such as "[.a]" or "[=".
 * toml++ 3.3 asserts that there is none, and lets some compilers assume it
 * when built with NDEBUG.
 * @param Text TOML text, valid or not.
 * @return Line of the first such header, from 1; nothing if there is none.
 */
std::optional<size_t> findHeaderWithoutKey(std::string_view Text);

} // namespace hickorycrank::config

#endif
