#ifndef HICKORYCRANK_CONFIG_BINDING_FUNC_H
#define HICKORYCRANK_CONFIG_BINDING_FUNC_H

#include "base/error_type.h"
#include "base/id_type.h"
#include "config/document_type.h"

#include <map>
#include <string>
#include <string_view>

namespace hickorycrank::config {

/** Parameters of one request, checked and complete. */
struct BoundParameters {
  std::map<std::string, Value> Values; ///< Caller's and organisation's values.
  std::string Json; ///< Canonical JSON object of Values, for backend servers.
  std::string Key;  ///< Text of the key parameter; empty unless ByKey.
  base::Fingerprint Content; ///< Same template, organisation and values.
  base::Fingerprint Shape;   ///< Same template and same parameters given.
};

/**
 * Checks a caller's parameters and adds those bound to its organisation.
 * Values travel as JSON values and are never spliced into text.
 * @param Template The template.
 * @param Organisation The caller's organisation.
 * @param Body JSON object sent by the caller.
 * @return The bound parameters, or what the caller must correct.
 */
base::Result<BoundParameters>
bindParameters(const TemplateDoc &Template, const OrganisationDoc &Organisation,
               std::string_view Body);

/**
 * Checks an organisation's credential in constant time.
 * @param Target Configuration in force.
 * @param Credential "<organisation>:<key>" as sent by the caller.
 * @return The organisation, or nullptr if it does not match.
 */
std::shared_ptr<const OrganisationDoc>
authenticate(const Configuration &Target, std::string_view Credential);

} // namespace hickorycrank::config

#endif
