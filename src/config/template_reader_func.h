#ifndef HICKORYCRANK_CONFIG_TEMPLATE_READER_FUNC_H
#define HICKORYCRANK_CONFIG_TEMPLATE_READER_FUNC_H

#include "base/error_type.h"
#include "config/document_type.h"

#include <optional>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace hickorycrank::config {

/**
 * Converts a TOML node to a value of a declared type.
 * @param Node Node to convert.
 * @param Type Declared type.
 * @return The value, or nothing if the types differ.
 */
std::optional<Value> toValue(const toml::node &Node, ValueType Type);

/**
 * Reads a template document.
 * @param Table Its table.
 * @param File Name shown in errors.
 * @param Errors Receives errors.
 * @return The template.
 */
TemplateDoc readTemplate(const toml::table &Table, const std::string &File,
                         std::vector<base::Error> &Errors);

} // namespace hickorycrank::config

#endif
