#include "config/table_reader_base.h"

#include <sstream>
#include <utility>

namespace hickorycrank::config {

using base::ErrorKind;

TableReader::TableReader(const toml::table &Source, std::string File,
                         std::string Prefix, std::vector<base::Error> &Errors)
    : Source(Source), File(std::move(File)), Prefix(std::move(Prefix)),
      Errors(Errors) {}

void TableReader::fail(ErrorKind Kind, std::string_view Key,
                       const std::string &Remedy) {
  const toml::node *Node = this->Source.get(Key);
  uint32_t Line = Node != nullptr ? Node->source().begin.line
                                  : this->Source.source().begin.line;
  std::ostringstream Text;
  Text << this->File << ':' << Line << ": " << this->Prefix << Key << ": "
       << Remedy;
  this->Errors.push_back({Kind, Text.str()});
}

bool TableReader::present(std::string_view Key, bool Required) {
  this->Known.emplace(Key);
  if (this->Source.contains(Key)) {
    return true;
  }
  if (Required) {
    this->fail(ErrorKind::MissingKey, Key, "is required; add it");
  }
  return false;
}

std::string TableReader::text(std::string_view Key,
                              const std::optional<std::string> &Default) {
  if (!this->present(Key, !Default)) {
    return Default.value_or("");
  }
  if (auto Value = this->Source[Key].value_exact<std::string>()) {
    return *Value;
  }
  this->fail(ErrorKind::WrongType, Key, "must be a string in quotes");
  return Default.value_or("");
}

int64_t TableReader::integer(std::string_view Key, int64_t Min, int64_t Max,
                             std::optional<int64_t> Default) {
  if (!this->present(Key, !Default)) {
    return Default.value_or(Min);
  }
  auto Value = this->Source[Key].value_exact<int64_t>();
  if (!Value) {
    this->fail(ErrorKind::WrongType, Key, "must be an integer");
    return Default.value_or(Min);
  }
  if (*Value < Min || *Value > Max) {
    std::ostringstream Remedy;
    Remedy << "must be from " << Min << " to " << Max << ", not " << *Value;
    this->fail(ErrorKind::OutOfRange, Key, Remedy.str());
    return Default.value_or(Min);
  }
  return *Value;
}

double TableReader::number(std::string_view Key, double Min, double Max,
                           std::optional<double> Default) {
  if (!this->present(Key, !Default)) {
    return Default.value_or(Min);
  }
  const toml::node *Node = this->Source.get(Key);
  if (!Node->is_number()) {
    this->fail(ErrorKind::WrongType, Key, "must be a number");
    return Default.value_or(Min);
  }
  double Value = Node->value<double>().value_or(Min);
  if (!(Value >= Min && Value <= Max)) {
    std::ostringstream Remedy;
    Remedy << "must be from " << Min << " to " << Max << ", not " << Value;
    this->fail(ErrorKind::OutOfRange, Key, Remedy.str());
    return Default.value_or(Min);
  }
  return Value;
}

bool TableReader::boolean(std::string_view Key, bool Default) {
  if (!this->present(Key, false)) {
    return Default;
  }
  if (auto Value = this->Source[Key].value_exact<bool>()) {
    return *Value;
  }
  this->fail(ErrorKind::WrongType, Key, "must be true or false");
  return Default;
}

std::vector<std::string> TableReader::textArray(std::string_view Key) {
  std::vector<std::string> Values;
  if (!this->present(Key, false)) {
    return Values;
  }
  const toml::array *Array = this->Source[Key].as_array();
  if (Array == nullptr) {
    this->fail(ErrorKind::WrongType, Key, "must be an array of strings");
    return Values;
  }
  for (const toml::node &Node : *Array) {
    auto Value = Node.value_exact<std::string>();
    if (!Value) {
      this->fail(ErrorKind::WrongType, Key, "must hold only strings");
      return {};
    }
    Values.push_back(*Value);
  }
  return Values;
}

const toml::table *TableReader::table(std::string_view Key) {
  if (!this->present(Key, false)) {
    return nullptr;
  }
  const toml::table *Table = this->Source[Key].as_table();
  if (Table == nullptr) {
    this->fail(ErrorKind::WrongType, Key, "must be a table");
  }
  return Table;
}

const toml::node *TableReader::node(std::string_view Key) {
  return this->present(Key, false) ? this->Source.get(Key) : nullptr;
}

void TableReader::finish() {
  for (const auto &[Key, Node] : this->Source) {
    if (this->Known.count(Key.str()) == 0) {
      this->fail(ErrorKind::UnknownKey, Key.str(),
                 "is not a known key; correct its spelling or remove it");
    }
  }
}

} // namespace hickorycrank::config
