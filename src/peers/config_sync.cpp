#include "peers/config_sync_base.h"

#include "base/digest_func.h"
#include "config/acceptance_func.h"
#include "config/document_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::peers {

using config::ConfigurationVersion;

namespace {

/** Time for one answer of a peer; a value of 1 MB takes far less. */
constexpr base::Duration PullTime = std::chrono::seconds(1);
/** Documents of one push, in bytes; a larger one travels alone. */
constexpr size_t MaxPushBytes = config::MaxValueBytes;
/** Versions remembered as refused or as reported conflicts. */
constexpr size_t MaxRemembered = 16;

/**
 * Remembers a version in a bounded list.
 * @param List The list.
 * @param Version The version.
 */
void remember(std::deque<ConfigurationVersion> &List,
              const ConfigurationVersion &Version) {
  List.push_back(Version);
  if (List.size() > MaxRemembered) {
    List.pop_front();
  }
}

/**
 * Looks a version up.
 * @param List The list.
 * @param Version The version.
 * @return Whether it is in the list.
 */
bool holds(const std::deque<ConfigurationVersion> &List,
           const ConfigurationVersion &Version) {
  return std::find(List.begin(), List.end(), Version) != List.end();
}

} // namespace

void ConfigSync::setInForce(const ConfigurationVersion &Version, Texts Held) {
  if (!config::takesOffer(config::judgeVersion(this->Version, Version))) {
    return; // Two threads may report in the wrong order.
  }
  this->Version = Version;
  this->Held = std::move(Held);
  if (this->Current && !config::takesOffer(config::judgeVersion(
                           this->Version, this->Current->Version))) {
    this->Current.reset();
  }
}

void ConfigSync::refuse(const ConfigurationVersion &Version) {
  if (!this->isRefused(Version)) {
    remember(this->Refused, Version);
  }
  if (this->Newest == Version) {
    this->Newest.reset();
  }
}

bool ConfigSync::isRefused(const ConfigurationVersion &Other) const {
  return holds(this->Refused, Other);
}

bool ConfigSync::newerShown() const {
  return this->Newest &&
         config::takesOffer(config::judgeVersion(this->Version, *this->Newest));
}

ConfigPull ConfigSync::next() const {
  return {this->Current->Version, this->Current->Texts.Manifest.empty()
                                      ? std::vector<std::string>()
                                      : this->Current->Missing};
}

SpreadStep ConfigSync::onShown(base::TimePoint Now,
                               const base::InstanceId &Peer,
                               const ConfigurationVersion &Shown) {
  SpreadStep Step;
  if (Shown.Number.Value == 0 || this->isRefused(Shown)) {
    return Step;
  }
  config::Acceptance Verdict = config::judgeVersion(this->Version, Shown);
  if (!config::takesOffer(Verdict)) {
    if (Verdict == config::Acceptance::Conflict &&
        !holds(this->Reported, Shown)) {
      remember(this->Reported, Shown);
      Step.Conflict = true;
    }
    return Step;
  }
  if (!this->Newest ||
      config::takesOffer(config::judgeVersion(*this->Newest, Shown))) {
    this->Newest = Shown;
  }
  if (this->Current) {
    bool Newer =
        config::takesOffer(config::judgeVersion(this->Current->Version, Shown));
    bool Overdue = Now >= this->Current->Deadline;
    if (!Newer && !Overdue) {
      return Step;
    }
    if (this->Current->Version == Shown) {
      // Another peer goes on with what the first one has not sent.
      this->Current->Peer = Peer;
      this->Current->Deadline = Now + PullTime;
      Step.Ask = this->next();
      return Step;
    }
  }
  this->Current = Pulling{Peer, Shown, {}, {}, Now + PullTime};
  Step.Ask = this->next();
  return Step;
}

std::optional<ConfigPush> ConfigSync::onPull(const ConfigPull &Pull) const {
  if (!this->Held) {
    return std::nullopt;
  }
  ConfigPush Push;
  Push.Version = this->Version;
  if (Pull.Wanted.empty()) {
    Push.Manifest = this->Held->Manifest;
    return Push;
  }
  size_t Bytes = 0;
  for (const std::string &Digest : Pull.Wanted) {
    auto Found = this->Held->Documents.find(Digest);
    if (Found == this->Held->Documents.end()) {
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

bool ConfigSync::takeManifest(const ConfigPush &Push) {
  if (Push.Version != this->Current->Version ||
      base::sha256Hex(Push.Manifest) != Push.Version.ManifestSha256) {
    return false;
  }
  auto Listed = config::parseManifest(Push.Manifest);
  if (Listed.has_error() || Listed.value().Number != Push.Version.Number) {
    this->refuse(Push.Version);
    return false;
  }
  this->Current->Texts.Manifest = Push.Manifest;
  for (const config::DocumentRef &Ref : Listed.value().Documents) {
    if (this->Held && this->Held->Documents.contains(Ref.Sha256)) {
      this->Current->Texts.Documents[Ref.Sha256] =
          this->Held->Documents.at(Ref.Sha256);
    } else {
      this->Current->Missing.push_back(Ref.Sha256);
    }
  }
  return true;
}

SpreadStep ConfigSync::proceed(base::TimePoint Now) {
  SpreadStep Step;
  if (this->Current->Missing.empty()) {
    Step.Whole = std::move(this->Current->Texts);
    Step.WholeVersion = this->Current->Version;
    this->Current.reset();
    return Step;
  }
  this->Current->Deadline = Now + PullTime;
  Step.Ask = this->next();
  return Step;
}

SpreadStep ConfigSync::onPush(base::TimePoint Now, const base::InstanceId &Peer,
                              const ConfigPush &Push) {
  if (!this->Current || this->Current->Peer != Peer) {
    return {};
  }
  if (this->Current->Texts.Manifest.empty()) {
    if (!this->takeManifest(Push)) {
      this->Current.reset(); // The next frame that shows it starts anew.
      return {};
    }
    return this->proceed(Now);
  }
  size_t Before = this->Current->Missing.size();
  for (const auto &[Digest, Text] : Push.Documents) {
    auto Found = std::find(this->Current->Missing.begin(),
                           this->Current->Missing.end(), Digest);
    if (Found != this->Current->Missing.end() &&
        base::sha256Hex(Text) == Digest) {
      this->Current->Missing.erase(Found);
      this->Current->Texts.Documents[Digest] = Text;
    }
  }
  if (this->Current->Missing.size() == Before) {
    // The peer has moved on; another one may hold the documents.
    this->Current->Deadline = Now;
    return {};
  }
  return this->proceed(Now);
}

} // namespace hickorycrank::peers
