#ifndef HICKORYCRANK_CONFIG_SETTINGS_FUNC_H
#define HICKORYCRANK_CONFIG_SETTINGS_FUNC_H

#include "base/error_type.h"
#include "config/settings_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorycrank::config {

/**
 * Reads the settings of a process.
 * @param Text TOML text.
 * @param File Name shown in errors.
 * @param Errors Receives each error with file, line, key and remedy.
 * @return The settings; incomplete if there is any error.
 */
Settings parseSettings(std::string_view Text, const std::string &File,
                       std::vector<base::Error> &Errors);

/**
 * Reads "address:port".
 * @param Text Text such as "127.0.0.1:8080" or "[::1]:8080".
 * @return The endpoint, or nothing if it is not valid.
 */
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/**
 * Writes an endpoint.
 * @param Target The endpoint.
 * @return "address:port"; IPv6 numbers in brackets.
 */
std::string toString(const Endpoint &Target);

/**
 * Lists all settings with type, range, default and meaning, for --help.
 * @return One line a setting.
 */
std::string describeSettings();

} // namespace hickorycrank::config

#endif
