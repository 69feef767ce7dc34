#include "config/document_func.h"

#include "base/digest_func.h"
#include "config/table_reader_base.h"
#include "config/template_reader_func.h"
#include "config/toml_func.h"

#include <cmath>
#include <limits>
#include <sstream>
#include <utility>

namespace hickorycrank::config {

using base::Error;
using base::ErrorKind;

namespace {

constexpr size_t DigestDigits = 64;

/**
 * Reads a service document.
 * @param Table Its table.
 * @param File Name shown in errors.
 * @param Errors Receives errors.
 * @return The service.
 */
ServiceDoc readService(const toml::table &Table, const std::string &File,
                       std::vector<Error> &Errors) {
  ServiceDoc Doc;
  TableReader Reader(Table, File, "", Errors);
  Reader.text("kind");
  Doc.Name = base::ServiceId(Reader.text("name"));
  Doc.ConnectionCap = static_cast<uint32_t>(
      Reader.integer("connections_per_server", 1, 10'000));
  Doc.Slots = static_cast<uint32_t>(Reader.integer("slots", 1, 1'000));
  Doc.PlannedInstances =
      static_cast<uint32_t>(Reader.integer("planned_instances", 1, 10'000));
  Doc.ConnectTime =
      std::chrono::milliseconds(Reader.integer("connect_ms", 0, 10'000, 6));
  Reader.finish();
  return Doc;
}

/** An organisation document before its parameters are typed. */
struct RawOrganisation {
  OrganisationDoc Doc;
  std::string File;
  toml::table Table;
};

/**
 * Reads an organisation document except for its bound parameters, whose types
 * are known only once all templates have been read.
 * @param Table Its table.
 * @param File Name shown in errors.
 * @param Errors Receives errors.
 * @return The organisation.
 */
RawOrganisation readOrganisation(const toml::table &Table,
                                 const std::string &File,
                                 std::vector<Error> &Errors) {
  RawOrganisation Raw;
  Raw.File = File;
  Raw.Table = Table;
  TableReader Reader(Table, File, "", Errors);
  Reader.text("kind");
  Raw.Doc.Name = base::OrganisationId(Reader.text("name"));
  Raw.Doc.KeySha256 = Reader.text("key_sha256");
  if (Raw.Doc.KeySha256.size() != DigestDigits ||
      Raw.Doc.KeySha256.find_first_not_of("0123456789abcdef") !=
          std::string::npos) {
    Reader.fail(ErrorKind::OutOfRange, "key_sha256",
                "must be 64 lower-case hexadecimal digits; digest the key with "
                "sha256sum");
  }
  Raw.Doc.Weight = Reader.number("weight", 0.01, 100, 1.0);
  Reader.table("templates");
  Reader.finish();
  return Raw;
}

/**
 * Checks a bound value against its declaration.
 * @param Spec Declaration.
 * @param Bound Value.
 * @return Whether the value is in range.
 */
bool inRange(const ParameterSpec &Spec, const Value &Bound) {
  if (const auto *Text = std::get_if<std::string>(&Bound)) {
    return Text->size() <= Spec.MaxLength;
  }
  if (const auto *Integer = std::get_if<int64_t>(&Bound)) {
    auto Number = static_cast<double>(*Integer);
    return Number >= Spec.Min && Number <= Spec.Max;
  }
  if (const auto *Real = std::get_if<double>(&Bound)) {
    return *Real >= Spec.Min && *Real <= Spec.Max;
  }
  return true;
}

/**
 * Types the organisation parameters of one template.
 * @param Bound Table of values.
 * @param Template The template that declares them.
 * @param File Name shown in errors.
 * @param Errors Receives errors.
 * @return Values by name.
 */
std::map<std::string, Value> bindOrganisation(const toml::table &Bound,
                                              const TemplateDoc &Template,
                                              const std::string &File,
                                              std::vector<Error> &Errors) {
  std::map<std::string, Value> Values;
  TableReader Reader(Bound, File, "templates." + Template.Name.Value + ".",
                     Errors);
  for (const auto &[Name, Spec] : Template.OrganisationParameters) {
    const toml::node *Node = Reader.node(Name);
    std::optional<Value> Bound =
        Node != nullptr ? toValue(*Node, Spec.Type) : Spec.Default;
    if (Node == nullptr && !Bound) {
      Reader.fail(ErrorKind::MissingKey, Name,
                  "is an organisation parameter of the template; add it");
    } else if (!Bound) {
      Reader.fail(ErrorKind::WrongType, Name,
                  "must have the type that the template declares");
    } else if (!inRange(Spec, *Bound)) {
      Reader.fail(ErrorKind::OutOfRange, Name,
                  "is outside the range that the template declares");
    } else {
      Values.emplace(Name, *Bound);
    }
  }
  Reader.finish();
  return Values;
}

/**
 * Binds an organisation to the templates that it may use.
 * @param Raw Organisation as read.
 * @param Target Configuration with all templates; receives the organisation.
 * @param Errors Receives errors.
 */
void linkOrganisation(RawOrganisation &Raw, Configuration &Target,
                      std::vector<Error> &Errors) {
  TableReader Reader(Raw.Table, Raw.File, "", Errors);
  if (const toml::table *Templates = Reader.table("templates")) {
    for (const auto &[Name, Node] : *Templates) {
      base::TemplateId Id{std::string(Name.str())};
      auto Found = Target.Templates.find(Id);
      const toml::table *Bound = Node.as_table();
      if (Found == Target.Templates.end() || Bound == nullptr) {
        Reader.fail(ErrorKind::Inconsistent, "templates",
                    Id.Value + " must be a table named after a template of "
                               "this revision");
        continue;
      }
      Raw.Doc.Templates[Id] =
          bindOrganisation(*Bound, *Found->second, Raw.File, Errors);
    }
  }
  Target.Organisations[Raw.Doc.Name] =
      std::make_shared<OrganisationDoc>(Raw.Doc);
}

/**
 * Reads one document into the configuration.
 * @param Name Document name from the manifest.
 * @param Text TOML text.
 * @param Target Receives services and templates.
 * @param Organisations Receives organisations.
 * @param Errors Receives errors.
 */
void readDocument(const std::string &Name, std::string_view Text,
                  Configuration &Target,
                  std::vector<RawOrganisation> &Organisations,
                  std::vector<Error> &Errors) {
  size_t Before = Errors.size();
  toml::table Table = parseToml(Text, Name, Errors);
  if (Errors.size() != Before) {
    return;
  }
  std::string Kind = Table["kind"].value_or(std::string());
  std::string Own = Table["name"].value_or(std::string());
  if (Name != Kind + "/" + Own) {
    Errors.push_back({ErrorKind::Inconsistent,
                      Name + ":1: name: must be listed in the manifest as " +
                          Kind + "/" + Own});
    return;
  }
  if (Kind == "service") {
    ServiceDoc Doc = readService(Table, Name, Errors);
    Target.Services[Doc.Name] = std::make_shared<ServiceDoc>(Doc);
  } else if (Kind == "template") {
    TemplateDoc Doc = readTemplate(Table, Name, Errors);
    Target.Templates[Doc.Name] = std::make_shared<TemplateDoc>(Doc);
  } else if (Kind == "organisation") {
    Organisations.push_back(readOrganisation(Table, Name, Errors));
  } else {
    Errors.push_back({ErrorKind::OutOfRange,
                      Name + ":1: kind: must be \"service\", \"template\" or "
                             "\"organisation\""});
  }
}

} // namespace

base::Result<Manifest> parseManifest(std::string_view Text) {
  if (Text.size() > MaxValueBytes) {
    return Error{ErrorKind::TooLarge,
                 "manifest: exceeds 1 MB; publish fewer documents"};
  }
  std::vector<Error> Errors;
  toml::table Table = parseToml(Text, "manifest", Errors);
  Manifest Parsed;
  Parsed.Text = Text;
  Parsed.Sha256 = base::sha256Hex(Text);
  if (Errors.empty()) {
    TableReader Reader(Table, "manifest", "", Errors);
    Parsed.Number = base::Revision(static_cast<uint64_t>(
        Reader.integer("revision", 1, std::numeric_limits<int64_t>::max())));
    const toml::table *Documents = Reader.table("documents");
    if (Documents == nullptr) {
      Reader.fail(ErrorKind::MissingKey, "documents",
                  "must be a table of digests by document name");
    } else {
      for (const auto &[Name, Node] : *Documents) {
        auto Digest = Node.value_exact<std::string>();
        if (!Digest || Digest->size() != DigestDigits) {
          Reader.fail(ErrorKind::WrongType, "documents",
                      std::string(Name.str()) + " must be a SHA-256 digest");
          continue;
        }
        Parsed.Documents.push_back({std::string(Name.str()), *Digest});
      }
    }
    Reader.finish();
  }
  if (!Errors.empty()) {
    return Errors.front();
  }
  return Parsed;
}

std::string
formatManifest(base::Revision Number,
               const std::map<std::string, std::string> &Documents) {
  std::ostringstream Text;
  Text << "revision = " << Number.Value << "\n[documents]\n";
  for (const auto &[Name, Document] : Documents) {
    Text << '"' << Name << "\" = \"" << base::sha256Hex(Document) << "\"\n";
  }
  return Text.str();
}

std::shared_ptr<const Configuration>
buildConfiguration(const ConfigurationTexts &Texts,
                   std::vector<Error> &Errors) {
  size_t Before = Errors.size();
  base::Result<Manifest> Parsed = parseManifest(Texts.Manifest);
  if (Parsed.has_error()) {
    Errors.push_back(Parsed.error());
    return nullptr;
  }
  const Manifest &Listed = Parsed.value();
  auto Built = std::make_shared<Configuration>();
  Built->Number = Listed.Number;
  Built->ManifestSha256 = Listed.Sha256;
  std::vector<RawOrganisation> Organisations;
  for (const DocumentRef &Ref : Listed.Documents) {
    auto Found = Texts.Documents.find(Ref.Sha256);
    if (Found == Texts.Documents.end() ||
        base::sha256Hex(Found->second) != Ref.Sha256) {
      Errors.push_back({ErrorKind::NotFound,
                        Ref.Name +
                            ": its text is missing or does not match "
                            "the digest; publish it before the manifest"});
      continue;
    }
    if (Found->second.size() > MaxValueBytes) {
      Errors.push_back(
          {ErrorKind::TooLarge, Ref.Name + ": exceeds 1 MB; split it"});
      continue;
    }
    readDocument(Ref.Name, Found->second, *Built, Organisations, Errors);
  }
  for (const auto &[Id, Template] : Built->Templates) {
    if (Built->Services.count(Template->Service) == 0) {
      Errors.push_back({ErrorKind::Inconsistent,
                        "template/" + Id.Value +
                            ":1: service: names no service of this revision"});
    }
  }
  for (RawOrganisation &Raw : Organisations) {
    linkOrganisation(Raw, *Built, Errors);
  }
  return Errors.size() == Before ? Built : nullptr;
}

ConfigurationTexts
assembleTexts(base::Revision Number,
              const std::map<std::string, std::string> &Documents) {
  ConfigurationTexts Texts;
  Texts.Manifest = formatManifest(Number, Documents);
  for (const auto &[Name, Text] : Documents) {
    Texts.Documents[base::sha256Hex(Text)] = Text;
  }
  return Texts;
}

} // namespace hickorycrank::config
