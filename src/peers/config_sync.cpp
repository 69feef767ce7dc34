#include "peers/config_sync_base.h"

#include "base/digest_func.h"
#include "config/acceptance_func.h"
#include "config/document_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::peers {

using config::ConfigurationVersion;

namespace {

/** Timeout of one reply; a document of 1 MB takes far less. */
constexpr base::Duration PullTimeout = std::chrono::seconds(1);
/** Limit on the documents of one push, in bytes. A larger document is sent on
 * its own. */
constexpr size_t MaxPushBytes = config::MaxValueBytes;
/** Length limit of the lists of refused versions and reported conflicts. */
constexpr size_t MaxRememberedVersions = 16;

/**
 * Appends a version to a bounded list and drops the oldest if it is full.
 * @param List The list.
 * @param Version The version.
 */
void rememberVersion(std::deque<ConfigurationVersion> &List,
                     const ConfigurationVersion &Version) {
  List.push_back(Version);
  if (List.size() > MaxRememberedVersions) {
    List.pop_front();
  }
}

/**
 * Checks whether a list contains a version.
 * @param List The list.
 * @param Version The version.
 * @return Whether it is in the list.
 */
bool containsVersion(const std::deque<ConfigurationVersion> &List,
                     const ConfigurationVersion &Version) {
  return std::find(List.begin(), List.end(), Version) != List.end();
}

} // namespace

void ConfigSync::setInForce(const ConfigurationVersion &Version,
                            Texts InForceTexts) {
  if (!config::takesOffer(config::judgeVersion(this->Version, Version))) {
    return; // Two threads may report versions out of order.
  }
  this->Version = Version;
  this->InForceTexts = std::move(InForceTexts);
  if (this->Current && !config::takesOffer(config::judgeVersion(
                           this->Version, this->Current->Version))) {
    this->Current.reset();
  }
}

void ConfigSync::refuse(const ConfigurationVersion &Version) {
  if (!this->isRefused(Version)) {
    rememberVersion(this->RefusedVersions, Version);
  }
  if (this->NewestAdvertised == Version) {
    this->NewestAdvertised.reset();
  }
}

bool ConfigSync::isRefused(const ConfigurationVersion &Candidate) const {
  return containsVersion(this->RefusedVersions, Candidate);
}

bool ConfigSync::newerAdvertised() const {
  return this->NewestAdvertised && config::takesOffer(config::judgeVersion(
                                       this->Version, *this->NewestAdvertised));
}

ConfigPull ConfigSync::nextRequest() const {
  return {this->Current->Version, this->Current->Texts.Manifest.empty()
                                      ? std::vector<std::string>()
                                      : this->Current->Missing};
}

ConfigSyncStep
ConfigSync::onAdvertised(base::TimePoint Now, const base::InstanceId &Peer,
                         const ConfigurationVersion &Advertised) {
  ConfigSyncStep Step;
  if (Advertised.Number.Value == 0 || this->isRefused(Advertised)) {
    return Step;
  }
  config::Acceptance Comparison =
      config::judgeVersion(this->Version, Advertised);
  if (!config::takesOffer(Comparison)) {
    if (Comparison == config::Acceptance::Conflict &&
        !containsVersion(this->ReportedConflicts, Advertised)) {
      rememberVersion(this->ReportedConflicts, Advertised);
      Step.Conflict = true;
    }
    return Step;
  }
  if (!this->NewestAdvertised || config::takesOffer(config::judgeVersion(
                                     *this->NewestAdvertised, Advertised))) {
    this->NewestAdvertised = Advertised;
  }
  if (this->Current) {
    bool IsNewer = config::takesOffer(
        config::judgeVersion(this->Current->Version, Advertised));
    bool TimedOut = Now >= this->Current->Deadline;
    if (!IsNewer && !TimedOut) {
      return Step;
    }
    if (this->Current->Version == Advertised) {
      // Continue the pull from this peer with what is still missing.
      this->Current->Peer = Peer;
      this->Current->Deadline = Now + PullTimeout;
      Step.Request = this->nextRequest();
      return Step;
    }
  }
  this->Current = PendingPull{Peer, Advertised, {}, {}, Now + PullTimeout};
  Step.Request = this->nextRequest();
  return Step;
}

std::optional<ConfigPush> ConfigSync::onPull(const ConfigPull &Pull) const {
  if (!this->InForceTexts) {
    return std::nullopt;
  }
  ConfigPush Push;
  Push.Version = this->Version;
  if (Pull.Wanted.empty()) {
    Push.Manifest = this->InForceTexts->Manifest;
    return Push;
  }
  size_t Bytes = 0;
  for (const std::string &Digest : Pull.Wanted) {
    auto Found = this->InForceTexts->Documents.find(Digest);
    if (Found == this->InForceTexts->Documents.end()) {
      continue;
    }
    Bytes += Found->second.size();
    if (Bytes > MaxPushBytes && !Push.Documents.empty()) {
      break;
    }
    Push.Documents.insert(*Found);
  }
  return Push;
}

bool ConfigSync::acceptManifest(const ConfigPush &Push) {
  if (Push.Version != this->Current->Version ||
      base::sha256Hex(Push.Manifest) != Push.Version.ManifestSha256) {
    return false;
  }
  auto Parsed = config::parseManifest(Push.Manifest);
  if (Parsed.has_error() || Parsed.value().Number != Push.Version.Number) {
    this->refuse(Push.Version);
    return false;
  }
  this->Current->Texts.Manifest = Push.Manifest;
  for (const config::DocumentRef &Ref : Parsed.value().Documents) {
    if (this->InForceTexts &&
        this->InForceTexts->Documents.contains(Ref.Sha256)) {
      this->Current->Texts.Documents[Ref.Sha256] =
          this->InForceTexts->Documents.at(Ref.Sha256);
    } else {
      this->Current->Missing.push_back(Ref.Sha256);
    }
  }
  return true;
}

ConfigSyncStep ConfigSync::continuePull(base::TimePoint Now) {
  ConfigSyncStep Step;
  if (this->Current->Missing.empty()) {
    Step.Complete = std::move(this->Current->Texts);
    Step.CompleteVersion = this->Current->Version;
    this->Current.reset();
    return Step;
  }
  this->Current->Deadline = Now + PullTimeout;
  Step.Request = this->nextRequest();
  return Step;
}

ConfigSyncStep ConfigSync::onPush(base::TimePoint Now,
                                  const base::InstanceId &Peer,
                                  const ConfigPush &Push) {
  if (!this->Current || this->Current->Peer != Peer) {
    return {};
  }
  if (this->Current->Texts.Manifest.empty()) {
    if (!this->acceptManifest(Push)) {
      this->Current.reset(); // The next advertisement restarts the pull.
      return {};
    }
    return this->continuePull(Now);
  }
  size_t MissingBefore = this->Current->Missing.size();
  for (const auto &[Digest, Text] : Push.Documents) {
    auto Found = std::find(this->Current->Missing.begin(),
                           this->Current->Missing.end(), Digest);
    if (Found != this->Current->Missing.end() &&
        base::sha256Hex(Text) == Digest) {
      this->Current->Missing.erase(Found);
      this->Current->Texts.Documents[Digest] = Text;
    }
  }
  if (this->Current->Missing.size() == MissingBefore) {
    // The peer no longer has the documents; another one may have them.
    this->Current->Deadline = Now;
    return {};
  }
  return this->continuePull(Now);
}

} // namespace hickorycrank::peers
