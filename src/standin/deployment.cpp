#include "standin/deployment_base.h"

#include "config/settings_func.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace hickorycrank::standin {

Deployment::Deployment(boost::asio::io_context &Context,
                       const DeploymentBuilder &Plan)
    : Context(Context), Domains(Plan.Domains), Seed(Plan.Seed),
      PlatformReplica(Context, config::Endpoint{}) {
  for (const ServiceShape &Shape : Plan.Shapes) {
    Service &Added = this->Services[Shape.Name];
    Added.Shape = Shape;
    for (size_t Group = 0; Group < Shape.Groups; ++Group) {
      for (size_t Replica = 0; Replica < Shape.Replicas; ++Replica) {
        Member Started;
        Started.Group = Group;
        Started.Domain = this->Domains[Replica % this->Domains.size()];
        std::string Id = Shape.Name + "-" + std::to_string(Group) + "-" +
                         std::to_string(Replica);
        Started.Server = std::make_unique<BackendServer>(
            Context, config::Endpoint{}, Id, Started.Incarnation,
            this->Seed + Added.Members.size());
        Started.Server->change(
            [&](BackendBehaviour &How) { How = Shape.Behaviour; });
        Started.Server->setVersions(this->versionsOf(Added, Group));
        Added.Members.push_back(std::move(Started));
      }
    }
  }
  this->relist();
}

BackendServer &Deployment::server(const std::string &Name, size_t Index) {
  return *this->Services.at(Name).Members.at(Index).Server;
}

size_t Deployment::serverCount(const std::string &Name) const {
  return this->Services.at(Name).Members.size();
}

void Deployment::restart(const std::string &Name, size_t Index) {
  Service &Owner = this->Services.at(Name);
  Member &Target = Owner.Members.at(Index);
  config::Endpoint Address = Target.Server->endpoint();
  std::string Id = Target.Server->id();
  Target.Server->crash();
  // The old stand-in stays alive: its timers may still refer to it.
  static std::vector<std::unique_ptr<BackendServer>> Retired;
  Retired.push_back(std::move(Target.Server));
  ++Target.Incarnation;
  Target.Server = std::make_unique<BackendServer>(
      this->Context, Address, Id, Target.Incarnation, this->Seed + Index);
  Target.Server->change(
      [&](BackendBehaviour &How) { How = Owner.Shape.Behaviour; });
  Target.Server->setVersions(this->versionsOf(Owner, Target.Group));
  this->relist();
}

std::vector<BackendVersion> Deployment::versionsOf(const Service &Source,
                                                   size_t Group) const {
  std::vector<BackendVersion> Held;
  for (uint64_t Number : Source.Versions) {
    BackendVersion Version;
    Version.Version = Number;
    uint32_t Count = Source.Shape.Groups * Source.Shape.ShardsPerGroup;
    for (uint32_t I = 0; I < Count; ++I) {
      Version.Layout.push_back(Source.Shape.Name + "-shard-" +
                               std::to_string(I));
    }
    for (uint32_t I = 0; I < Source.Shape.ShardsPerGroup; ++I) {
      Version.Holds.push_back(
          static_cast<uint32_t>(Group) * Source.Shape.ShardsPerGroup + I);
    }
    Held.push_back(std::move(Version));
  }
  return Held;
}

void Deployment::setVersions(const std::string &Name,
                             const std::vector<uint64_t> &Versions) {
  Service &Owner = this->Services.at(Name);
  Owner.Versions = Versions;
  for (Member &Target : Owner.Members) {
    Target.Server->setVersions(this->versionsOf(Owner, Target.Group));
  }
}

void Deployment::listEntries(const std::vector<ListedInstance> &Names) {
  this->Entries = Names;
  this->relist();
}

void Deployment::relist() {
  std::vector<ListedInstance> All = this->Entries;
  for (const auto &[Name, Owner] : this->Services) {
    for (const Member &Target : Owner.Members) {
      All.push_back({Target.Server->id(), "backend", Name,
                     config::toString(Target.Server->endpoint()), Target.Domain,
                     Target.Incarnation, false});
    }
  }
  this->PlatformReplica.setInstances(All);
}

uint64_t Deployment::searches(const std::string &Name) const {
  uint64_t Total = 0;
  for (const Member &Target : this->Services.at(Name).Members) {
    Total += Target.Server->counters().Searches;
  }
  return Total;
}

config::Settings Deployment::entrySettings(const std::string &Name,
                                           size_t Index) const {
  config::Settings Own;
  Own.Instance = base::InstanceId(Name);
  Own.Domain =
      base::FailureDomainId(this->Domains[Index % this->Domains.size()]);
  Own.Platform = {this->PlatformReplica.endpoint()};
  Own.PeerKey = "demo-peer-key-not-secret";
  return Own;
}

void Deployment::stop() {
  for (auto &[Name, Owner] : this->Services) {
    for (Member &Target : Owner.Members) {
      Target.Server->crash();
    }
  }
  this->PlatformReplica.stop();
}

std::map<std::string, std::string> readDocuments(const std::string &Folder) {
  std::map<std::string, std::string> Documents;
  std::error_code Failure;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Folder, Failure)) {
    std::string Stem = Entry.path().stem().string();
    size_t Dash = Stem.find('-');
    if (Entry.path().extension() != ".toml" || Dash == std::string::npos) {
      continue;
    }
    std::ifstream Source(Entry.path());
    Documents[Stem.substr(0, Dash) + "/" + Stem.substr(Dash + 1)] =
        std::string(std::istreambuf_iterator<char>(Source), {});
  }
  return Documents;
}

} // namespace hickorycrank::standin
