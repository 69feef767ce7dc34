#include "config/binding_func.h"

#include "base/digest_func.h"

#include <boost/json.hpp>
#include <sstream>

namespace hickorycrank::config {

using base::Error;
using base::ErrorKind;

namespace {

/** Nesting and size limits of a caller's JSON body. */
constexpr size_t MaxJsonDepth = 4;

/**
 * Converts a JSON value to a declared type.
 * @param Source JSON value.
 * @param Type Declared type.
 * @return The value, or nothing if the types differ.
 */
std::optional<Value> fromJson(const boost::json::value &Source,
                              ValueType Type) {
  switch (Type) {
  case ValueType::Integer:
    if (Source.is_int64()) {
      return Value(Source.get_int64());
    }
    break;
  case ValueType::Real:
    if (Source.is_double()) {
      return Value(Source.get_double());
    }
    if (Source.is_int64()) {
      return Value(static_cast<double>(Source.get_int64()));
    }
    break;
  case ValueType::Boolean:
    if (Source.is_bool()) {
      return Value(Source.get_bool());
    }
    break;
  case ValueType::Text:
    if (Source.is_string()) {
      return Value(std::string(Source.get_string()));
    }
    break;
  }
  return std::nullopt;
}

/**
 * Names a type in messages.
 * @param Type The type.
 * @return Name as written in templates.
 */
const char *typeName(ValueType Type) {
  switch (Type) {
  case ValueType::Integer:
    return "integer";
  case ValueType::Real:
    return "real";
  case ValueType::Boolean:
    return "boolean";
  case ValueType::Text:
    return "text";
  }
  return "unknown";
}

/**
 * Checks a value against its declared range.
 * @param Name Parameter name for the message.
 * @param Spec Declaration.
 * @param Bound Value.
 * @return Success, or what must be corrected.
 */
base::Result<void> checkRange(const std::string &Name,
                              const ParameterSpec &Spec, const Value &Bound) {
  std::ostringstream Remedy;
  if (const auto *Text = std::get_if<std::string>(&Bound)) {
    if (Text->size() <= Spec.MaxLength) {
      return boost::outcome_v2::success();
    }
    Remedy << "parameter " << Name << " must have at most " << Spec.MaxLength
           << " bytes";
    return Error{ErrorKind::TooLarge, Remedy.str()};
  }
  double Number = 0;
  if (const auto *Integer = std::get_if<int64_t>(&Bound)) {
    Number = static_cast<double>(*Integer);
  } else if (const auto *Real = std::get_if<double>(&Bound)) {
    Number = *Real;
  } else {
    return boost::outcome_v2::success();
  }
  if (Number >= Spec.Min && Number <= Spec.Max) {
    return boost::outcome_v2::success();
  }
  Remedy << "parameter " << Name << " must be from " << Spec.Min << " to "
         << Spec.Max;
  return Error{ErrorKind::OutOfRange, Remedy.str()};
}

/**
 * Converts a bound value to JSON.
 * @param Bound The value.
 * @return JSON value.
 */
boost::json::value toJson(const Value &Bound) {
  return std::visit([](const auto &Held) { return boost::json::value(Held); },
                    Bound);
}

/**
 * Reads the caller's values into the bound set.
 * @param Template The template.
 * @param Body Parsed JSON object.
 * @param Bound Receives values.
 * @return Success, or what must be corrected.
 */
base::Result<void> bindCaller(const TemplateDoc &Template,
                              const boost::json::object &Body,
                              BoundParameters &Bound) {
  for (const auto &Entry : Body) {
    std::string Name(Entry.key());
    auto Spec = Template.Parameters.find(Name);
    if (Spec == Template.Parameters.end()) {
      return Error{ErrorKind::UnknownKey,
                   "parameter " + Name +
                       " is not a caller's parameter of this template; remove "
                       "it"};
    }
    auto Converted = fromJson(Entry.value(), Spec->second.Type);
    if (!Converted) {
      return Error{ErrorKind::WrongType, "parameter " + Name + " must be " +
                                             typeName(Spec->second.Type)};
    }
    BOOST_OUTCOME_TRYV(checkRange(Name, Spec->second, *Converted));
    Bound.Values.emplace(Name, *Converted);
  }
  for (const auto &[Name, Spec] : Template.Parameters) {
    if (Bound.Values.count(Name) != 0) {
      continue;
    }
    if (Spec.Default) {
      Bound.Values.emplace(Name, *Spec.Default);
    } else if (Spec.Required) {
      return Error{ErrorKind::MissingKey,
                   "parameter " + Name + " is required; add it"};
    }
  }
  return boost::outcome_v2::success();
}

} // namespace

base::Result<BoundParameters>
bindParameters(const TemplateDoc &Template, const OrganisationDoc &Organisation,
               std::string_view Body) {
  boost::json::parse_options Options;
  Options.max_depth = MaxJsonDepth;
  boost::system::error_code Failure;
  boost::json::value Parsed = boost::json::parse(
      Body.empty() ? std::string_view("{}") : Body, Failure, {}, Options);
  if (Failure || !Parsed.is_object()) {
    return Error{ErrorKind::BadSyntax,
                 "the body must be a JSON object of parameters"};
  }
  BoundParameters Bound;
  BOOST_OUTCOME_TRYV(bindCaller(Template, Parsed.get_object(), Bound));
  auto Own = Organisation.Templates.find(Template.Name);
  if (Own != Organisation.Templates.end()) {
    Bound.Values.insert(Own->second.begin(), Own->second.end());
  }
  boost::json::object Canonical;
  std::string Shape = Template.Name.Value;
  for (const auto &[Name, Held] : Bound.Values) {
    Canonical[Name] = toJson(Held);
    Shape += '\0' + Name;
  }
  Bound.Json = boost::json::serialize(Canonical);
  if (Template.Selection == ShardSelection::ByKey) {
    const Value &Key = Bound.Values.at(Template.KeyParameter);
    const auto *Text = std::get_if<std::string>(&Key);
    Bound.Key = Text != nullptr ? *Text : boost::json::serialize(toJson(Key));
  }
  Bound.Content = base::Fingerprint(
      base::stableHash(Template.Name.Value + '\0' + Organisation.Name.Value +
                       '\0' + Bound.Json));
  Bound.Shape = base::Fingerprint(base::stableHash(Shape));
  return Bound;
}

std::shared_ptr<const OrganisationDoc>
authenticate(const Configuration &Target, std::string_view Credential) {
  size_t Colon = Credential.find(':');
  if (Colon == std::string_view::npos) {
    return nullptr;
  }
  base::OrganisationId Name{std::string(Credential.substr(0, Colon))};
  std::string Digest = base::sha256Hex(Credential.substr(Colon + 1));
  auto Found = Target.Organisations.find(Name);
  if (Found == Target.Organisations.end() ||
      !base::equalConstantTime(Digest, Found->second->KeySha256)) {
    return nullptr;
  }
  return Found->second;
}

} // namespace hickorycrank::config
