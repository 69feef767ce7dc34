#ifndef HICKORYCRANK_CONFIG_DOCUMENT_FUNC_H
#define HICKORYCRANK_CONFIG_DOCUMENT_FUNC_H

#include "base/error_type.h"
#include "config/document_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hickorycrank::config {

/** Largest value that the platform's configuration service holds, in bytes. */
inline constexpr size_t MaxValueBytes = 1'048'576;

/**
 * Reads a manifest.
 * @param Text TOML text as published.
 * @return The manifest, or the first error.
 */
base::Result<Manifest> parseManifest(std::string_view Text);

/**
 * Writes a manifest for a set of documents.
 * @param Number Revision to publish.
 * @param Documents Text by document name.
 * @return TOML text that parseManifest() accepts.
 */
std::string formatManifest(base::Revision Number,
                           const std::map<std::string, std::string> &Documents);

/**
 * Builds a configuration from a manifest and its documents. Every instance
 * judges validity by this function alone, so all judge alike.
 * @param Texts Manifest and documents by digest.
 * @param Errors Receives each error with file, line, key and remedy.
 * @return The configuration, or nullptr if there is any error.
 */
std::shared_ptr<const Configuration>
buildConfiguration(const ConfigurationTexts &Texts,
                   std::vector<base::Error> &Errors);

/**
 * Pairs a manifest with documents given by name, as read from files.
 * @param Number Revision to use.
 * @param Documents Text by document name.
 * @return Texts for buildConfiguration().
 */
ConfigurationTexts
assembleTexts(base::Revision Number,
              const std::map<std::string, std::string> &Documents);

} // namespace hickorycrank::config

#endif
