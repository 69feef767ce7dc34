#include "config/template_reader_func.h"

#include "config/table_reader_base.h"

#include <map>

namespace hickorycrank::config {

using base::Error;
using base::ErrorKind;

namespace {

constexpr int64_t MaxDeadlineMs = 60'000;
constexpr int64_t MaxLimit = 10'000;
constexpr int64_t MaxTextBytes = 4'096;

/**
 * Reads the declaration of one parameter.
 * @param Table Its table.
 * @param File Name shown in errors.
 * @param Prefix Key path shown in errors.
 * @param Errors Receives errors.
 * @return The declaration.
 */
ParameterSpec readParameter(const toml::table &Table, const std::string &File,
                            const std::string &Prefix,
                            std::vector<Error> &Errors) {
  ParameterSpec Spec;
  TableReader Reader(Table, File, Prefix, Errors);
  std::string Type = Reader.text("type");
  if (Type == "integer") {
    Spec.Type = ValueType::Integer;
  } else if (Type == "real") {
    Spec.Type = ValueType::Real;
  } else if (Type == "boolean") {
    Spec.Type = ValueType::Boolean;
  } else if (Type != "text") {
    Reader.fail(ErrorKind::OutOfRange, "type",
                "must be \"integer\", \"real\", \"boolean\" or \"text\"");
  }
  if (Spec.Type == ValueType::Integer || Spec.Type == ValueType::Real) {
    constexpr double Largest = 9e15; // Exact in a double.
    Spec.Min = Reader.number("min", -Largest, Largest);
    Spec.Max = Reader.number("max", Spec.Min, Largest);
  }
  if (Spec.Type == ValueType::Text) {
    Spec.MaxLength = static_cast<uint32_t>(
        Reader.integer("max_length", 1, MaxTextBytes, 256));
  }
  if (const toml::node *Default = Reader.node("default")) {
    Spec.Default = toValue(*Default, Spec.Type);
    if (!Spec.Default) {
      Reader.fail(ErrorKind::WrongType, "default",
                  "must have the type " + Type);
    }
  }
  Spec.Required = Reader.boolean("required", !Spec.Default.has_value());
  Reader.finish();
  return Spec;
}

/**
 * Reads a table of parameter declarations.
 * @param Reader Reader of the template.
 * @param Key Key of the table.
 * @param File Name shown in errors.
 * @param Errors Receives errors.
 * @return Declarations by name.
 */
std::map<std::string, ParameterSpec>
readParameters(TableReader &Reader, const std::string &Key,
               const std::string &File, std::vector<Error> &Errors) {
  std::map<std::string, ParameterSpec> Specs;
  const toml::table *Table = Reader.table(Key);
  if (Table == nullptr) {
    return Specs;
  }
  for (const auto &[Name, Node] : *Table) {
    const toml::table *Parameter = Node.as_table();
    std::string Path = Key + "." + std::string(Name.str());
    if (Parameter == nullptr) {
      Reader.fail(ErrorKind::WrongType, Key, Path + " must be a table");
      continue;
    }
    Specs.emplace(Name.str(),
                  readParameter(*Parameter, File, Path + ".", Errors));
  }
  return Specs;
}

/**
 * Reads which shards a template touches.
 * @param Reader Reader of the template.
 * @param Doc Receives the selection.
 */
void readSelection(TableReader &Reader, TemplateDoc &Doc) {
  const toml::node *Shards = Reader.node("shards");
  if (Shards == nullptr) {
    return;
  }
  if (Shards->is_array()) {
    Doc.Selection = ShardSelection::Listed;
    Doc.ShardNames = Reader.textArray("shards");
    if (Doc.ShardNames.empty()) {
      Reader.fail(ErrorKind::OutOfRange, "shards", "must name a shard");
    }
    return;
  }
  std::string Name = Reader.text("shards");
  if (Name == "by_key") {
    Doc.Selection = ShardSelection::ByKey;
    Doc.KeyParameter = Reader.text("key_parameter");
  } else if (Name != "all") {
    Reader.fail(ErrorKind::OutOfRange, "shards",
                "must be \"all\", \"by_key\" or an array of shard names");
  }
}

/**
 * Checks what the members of a template require of each other.
 * @param Reader Reader of the template.
 * @param Doc The template.
 */
void checkTemplate(TableReader &Reader, const TemplateDoc &Doc) {
  if (Doc.CoverageFloor > Doc.CoverageGoal) {
    Reader.fail(ErrorKind::Inconsistent, "coverage_floor",
                "must not exceed coverage_goal");
  }
  if (!Doc.Idempotent && Doc.Selection != ShardSelection::ByKey) {
    Reader.fail(ErrorKind::Inconsistent, "idempotent",
                "a template that is not idempotent must touch one shard; set "
                "shards = \"by_key\"");
  }
  if (Doc.Selection == ShardSelection::ByKey) {
    auto Caller = Doc.Parameters.find(Doc.KeyParameter);
    bool Known = Caller != Doc.Parameters.end()
                     ? Caller->second.Required
                     : Doc.OrganisationParameters.count(Doc.KeyParameter) != 0;
    if (!Known) {
      Reader.fail(ErrorKind::Inconsistent, "key_parameter",
                  "must name a required parameter of the template");
    }
  }
  for (const auto &[Name, Spec] : Doc.OrganisationParameters) {
    if (Doc.Parameters.count(Name) != 0) {
      Reader.fail(ErrorKind::Inconsistent, "organisation_parameters",
                  Name + " is also a caller's parameter; rename one of them");
    }
  }
}

} // namespace

std::optional<Value> toValue(const toml::node &Node, ValueType Type) {
  switch (Type) {
  case ValueType::Integer:
    if (auto Integer = Node.value_exact<int64_t>()) {
      return Value(*Integer);
    }
    break;
  case ValueType::Real:
    if (Node.is_number()) {
      return Value(Node.value<double>().value_or(0));
    }
    break;
  case ValueType::Boolean:
    if (auto Boolean = Node.value_exact<bool>()) {
      return Value(*Boolean);
    }
    break;
  case ValueType::Text:
    if (auto Text = Node.value_exact<std::string>()) {
      return Value(*Text);
    }
    break;
  }
  return std::nullopt;
}

TemplateDoc readTemplate(const toml::table &Table, const std::string &File,
                         std::vector<Error> &Errors) {
  TemplateDoc Doc;
  TableReader Reader(Table, File, "", Errors);
  Reader.text("kind");
  Doc.Name = base::TemplateId(Reader.text("name"));
  Doc.Service = base::ServiceId(Reader.text("service"));
  readSelection(Reader, Doc);
  Doc.Deadline = std::chrono::milliseconds(
      Reader.integer("deadline_ms", 1, MaxDeadlineMs));
  Doc.CoverageGoal = Reader.number("coverage_goal", 0, 1, 1.0);
  Doc.CoverageFloor = Reader.number("coverage_floor", 0, 1, Doc.CoverageGoal);
  Doc.Priority = static_cast<uint32_t>(Reader.integer("priority", 0, 9, 5));
  Doc.Idempotent = Reader.boolean("idempotent", true);
  std::string Snapshot = Reader.text("snapshot", "complete");
  if (Snapshot == "newest") {
    Doc.Snapshot = SnapshotRule::Newest;
  } else if (Snapshot != "complete") {
    Reader.fail(ErrorKind::OutOfRange, "snapshot",
                "must be \"complete\" or \"newest\"");
  }
  std::string Canary = Reader.text("canary", "shape");
  if (Canary == "content") {
    Doc.Canary = CanaryRule::Content;
  } else if (Canary != "shape") {
    Reader.fail(ErrorKind::OutOfRange, "canary",
                "must be \"shape\" or \"content\"");
  }
  Doc.OrderBy = Reader.text("order_by", "");
  Doc.Descending = Reader.boolean("descending", false);
  Doc.Limit = static_cast<uint32_t>(Reader.integer("limit", 1, MaxLimit, 100));
  Doc.Parameters = readParameters(Reader, "parameters", File, Errors);
  Doc.OrganisationParameters =
      readParameters(Reader, "organisation_parameters", File, Errors);
  checkTemplate(Reader, Doc);
  Reader.finish();
  return Doc;
}

} // namespace hickorycrank::config
