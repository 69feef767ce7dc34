#ifndef HICKORYCRANK_CONFIG_DOCUMENT_TYPE_H
#define HICKORYCRANK_CONFIG_DOCUMENT_TYPE_H

#include "base/id_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hickorycrank::config {

/** A parameter value after its type has been checked. */
using Value = std::variant<int64_t, double, bool, std::string>;

/** Types of template parameters. */
enum class ValueType { Integer, Real, Boolean, Text };

/** Declares one parameter of a template. */
struct ParameterSpec {
  ValueType Type = ValueType::Text;
  bool Required = true;         ///< Callers must give it.
  std::optional<Value> Default; ///< Used when it is not given.
  double Min = 0;               ///< Smallest number; unused for text.
  double Max = 0;               ///< Largest number; unused for text.
  uint32_t MaxLength = 256;     ///< Longest text in bytes.
};

/** Which shards of the pinned layout a template touches. */
enum class ShardSelection {
  All,    ///< Every shard.
  ByKey,  ///< The one shard that a parameter's hash selects.
  Listed, ///< Shards given by name in the template.
};

/** How a query chooses its index version. */
enum class SnapshotRule {
  Complete, ///< Newest version that every needed shard can serve.
  Newest,   ///< Newest version known, even if shards are missing.
};

/** Which wide queries send one attempt before the others. */
enum class CanaryRule {
  Shape,   ///< Those with a set of parameters that has not run lately.
  Content, ///< Those with parameter values that have not run lately.
};

/** Properties of a backend service and of the path to it. */
struct ServiceDoc {
  base::ServiceId Name;
  uint32_t ConnectionCap = 30;   ///< Connections each backend server accepts.
  uint32_t Slots = 3;            ///< Requests a backend server runs at once.
  uint32_t PlannedInstances = 4; ///< Smallest divisor of the connection cap.
  std::chrono::milliseconds ConnectTime{6}; ///< Usual cost of a connection.
};

/** A query template. */
struct TemplateDoc {
  base::TemplateId Name;
  base::ServiceId Service;
  ShardSelection Selection = ShardSelection::All;
  std::string KeyParameter;            ///< For ByKey.
  std::vector<std::string> ShardNames; ///< For Listed.
  std::chrono::milliseconds Deadline{1000};
  double CoverageGoal = 1.0;  ///< Share of shards worth waiting for.
  double CoverageFloor = 1.0; ///< Below this share the answer is an error.
  uint32_t Priority = 5;      ///< 0 is served first, 9 last.
  bool Idempotent = true;
  SnapshotRule Snapshot = SnapshotRule::Complete;
  CanaryRule Canary = CanaryRule::Shape;
  std::string OrderBy; ///< Row member that orders the merge; may be empty.
  bool Descending = false;
  uint32_t Limit = 100; ///< Rows in an answer.
  std::map<std::string, ParameterSpec> Parameters;
  std::map<std::string, ParameterSpec> OrganisationParameters;
};

/** An organisation: its credential, its share and its bound parameters. */
struct OrganisationDoc {
  base::OrganisationId Name;
  std::string KeySha256; ///< Hexadecimal digest of the organisation's key.
  double Weight = 1.0;   ///< Share under contention, relative to others.
  /** Bound organisation parameters of each template it may use. */
  std::map<base::TemplateId, std::map<std::string, Value>> Templates;
};

/** Names one document of a manifest. */
struct DocumentRef {
  std::string Name;   ///< Such as "template/cart-search".
  std::string Sha256; ///< Digest of its text.
};

/** The list of documents that form one revision. */
struct Manifest {
  base::Revision Number;
  std::vector<DocumentRef> Documents;
  std::string Text;   ///< As published.
  std::string Sha256; ///< Digest of Text.
};

/** A whole, valid configuration. Immutable once built. */
struct Configuration {
  base::Revision Number;
  std::string ManifestSha256;
  std::map<base::ServiceId, std::shared_ptr<const ServiceDoc>> Services;
  std::map<base::TemplateId, std::shared_ptr<const TemplateDoc>> Templates;
  std::map<base::OrganisationId, std::shared_ptr<const OrganisationDoc>>
      Organisations;
};

/** The texts of a revision, as they travel between platform and instances. */
struct ConfigurationTexts {
  std::string Manifest;
  std::map<std::string, std::string> Documents; ///< Text by digest.
};

} // namespace hickorycrank::config

#endif
