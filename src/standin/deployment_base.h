#ifndef HICKORYCRANK_STANDIN_DEPLOYMENT_BASE_H
#define HICKORYCRANK_STANDIN_DEPLOYMENT_BASE_H

#include "config/settings_type.h"
#include "standin/backend_server_base.h"
#include "standin/platform_base.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/** Shape of one backend service: groups of replicas that hold the same
 * shards. */
struct ServiceShape {
  std::string Name;
  uint32_t Groups = 10;
  uint32_t Replicas = 3; ///< Backend servers a group.
  uint32_t ShardsPerGroup = 3;
  BackendBehaviour Behaviour;
};

/** Builds a deployment of stand-ins. */
class DeploymentBuilder {
public:
  /** @param Shape A service to add. @return This builder. */
  DeploymentBuilder &service(ServiceShape Shape) {
    this->Shapes.push_back(std::move(Shape));
    return *this;
  }
  /** @param Names Failure domains, used in turn. @return This builder. */
  DeploymentBuilder &domains(std::vector<std::string> Names) {
    this->Domains = std::move(Names);
    return *this;
  }
  /** @param Value Seed of the service times. @return This builder. */
  DeploymentBuilder &seed(uint64_t Value) {
    this->Seed = Value;
    return *this;
  }

private:
  friend class Deployment;
  std::vector<ServiceShape> Shapes;
  std::vector<std::string> Domains{"domain-1", "domain-2", "domain-3"};
  uint64_t Seed = 1;
};

/**
 * A platform and the backend servers of some services on loopback, all with
 * ports that the system chooses. The platform lists them from the start.
 */
class Deployment {
public:
  /**
   * Starts the stand-ins.
   * @param Context Runs them; must outlive them.
   * @param Plan What to start.
   */
  Deployment(boost::asio::io_context &Context, const DeploymentBuilder &Plan);

  /**
   * Finds a backend server.
   * @param Service Its service.
   * @param Index Its position in the service.
   * @return The stand-in.
   */
  BackendServer &server(const std::string &Service, size_t Index);

  /** @param Service A service. @return Number of its backend servers. */
  size_t serverCount(const std::string &Service) const;

  /**
   * Replaces a backend server by a new process at the same address.
   * @param Service Its service.
   * @param Index Its position in the service.
   */
  void restart(const std::string &Service, size_t Index);

  /**
   * Puts an index version in place on all servers of a service.
   * @param Service The service.
   * @param Versions Numbers of the versions that are held from now on.
   */
  void setVersions(const std::string &Service,
                   const std::vector<uint64_t> &Versions);

  /**
   * Lists entry instances on the platform, beside the backend servers.
   * @param Names Names of live entry instances.
   */
  void listEntries(const std::vector<ListedInstance> &Names);

  /** @param Service A service. @return Searches received by its servers. */
  uint64_t searches(const std::string &Service) const;

  /**
   * Settings for an entry instance of this deployment; ports are chosen by
   * the system.
   * @param Name Name of the instance.
   * @param Index Chooses its failure domain.
   * @return The settings.
   */
  config::Settings entrySettings(const std::string &Name, size_t Index) const;

  /** Stops all stand-ins. */
  void stop();

  /** @return The platform. */
  Platform &platform() { return this->PlatformReplica; }

private:
  /** One backend server and how it was started. */
  struct Member {
    std::unique_ptr<BackendServer> Server;
    std::string Domain;
    uint64_t Incarnation = 1;
    size_t Group = 0;
  };

  /** One service. */
  struct Service {
    ServiceShape Shape;
    std::vector<Member> Members;
    std::vector<uint64_t> Versions{1};
  };

  std::vector<BackendVersion> versionsOf(const Service &Source,
                                         size_t Group) const;
  void relist();

  boost::asio::io_context &Context;
  std::vector<std::string> Domains;
  uint64_t Seed;
  Platform PlatformReplica;
  std::map<std::string, Service> Services;
  std::vector<ListedInstance> Entries;
};

/**
 * Reads the documents of a folder.
 * @param Folder Folder with TOML files named <kind>-<name>.toml.
 * @return Text by document name "<kind>/<name>"; empty if it cannot be read.
 */
std::map<std::string, std::string> readDocuments(const std::string &Folder);

} // namespace hickorycrank::standin

#endif
