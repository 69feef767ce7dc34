#ifndef HICKORYCRANK_CONFIG_TABLE_READER_BASE_H
#define HICKORYCRANK_CONFIG_TABLE_READER_BASE_H

#include "base/error_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace hickorycrank::config {

/**
 * Reads typed values of one TOML table and collects an error, with file, line,
 * key and remedy, for each value that is missing, mistyped, out of range or
 * unknown.
 */
class TableReader {
public:
  /**
   * Starts to read a table.
   * @param Source Table to read; must outlive the reader.
   * @param File Name shown in errors.
   * @param Prefix Key path of the table, empty for the root.
   * @param Errors Receives the errors.
   */
  TableReader(const toml::table &Source, std::string File, std::string Prefix,
              std::vector<base::Error> &Errors);

  /**
   * Reads a string.
   * @param Key Key in the table.
   * @param Default Used when absent; without one the key is required.
   * @return The string, or the default, or an empty string after an error.
   */
  std::string text(std::string_view Key,
                   const std::optional<std::string> &Default = std::nullopt);

  /**
   * Reads an integer.
   * @param Key Key in the table.
   * @param Min Smallest accepted value.
   * @param Max Largest accepted value.
   * @param Default Used when absent; without one the key is required.
   * @return The value, or the default, or Min after an error.
   */
  int64_t integer(std::string_view Key, int64_t Min, int64_t Max,
                  std::optional<int64_t> Default = std::nullopt);

  /**
   * Reads a number that may be written as integer or real.
   * @param Key Key in the table.
   * @param Min Smallest accepted value.
   * @param Max Largest accepted value.
   * @param Default Used when absent; without one the key is required.
   * @return The value, or the default, or Min after an error.
   */
  double number(std::string_view Key, double Min, double Max,
                std::optional<double> Default = std::nullopt);

  /**
   * Reads a Boolean.
   * @param Key Key in the table.
   * @param Default Used when absent.
   * @return The value, or the default.
   */
  bool boolean(std::string_view Key, bool Default);

  /**
   * Reads an array of strings.
   * @param Key Key in the table.
   * @return The strings; empty when absent or after an error.
   */
  std::vector<std::string> textArray(std::string_view Key);

  /**
   * Reads a subtable.
   * @param Key Key in the table.
   * @return The subtable, or nullptr when absent or after an error.
   */
  const toml::table *table(std::string_view Key);

  /**
   * Reads a node of any type.
   * @param Key Key in the table.
   * @return The node, or nullptr when absent.
   */
  const toml::node *node(std::string_view Key);

  /** Reports each key that was not read as unknown. */
  void finish();

  /**
   * Adds an error about one key.
   * @param Kind Kind of error.
   * @param Key Key in the table.
   * @param Remedy What is wrong and what to do.
   */
  void fail(base::ErrorKind Kind, std::string_view Key,
            const std::string &Remedy);

private:
  /** @return Whether the key is present; reports it when it is required. */
  bool present(std::string_view Key, bool Required);

  const toml::table &Source;
  std::string File;
  std::string Prefix;
  std::vector<base::Error> &Errors;
  std::set<std::string, std::less<>> Known;
};

} // namespace hickorycrank::config

#endif
