#ifndef HICKORYCRANK_STANDIN_PLATFORM_BASE_H
#define HICKORYCRANK_STANDIN_PLATFORM_BASE_H

#include "config/settings_type.h"
#include "net/http_server_base.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/** One instance as the platform lists it. */
struct ListedInstance {
  std::string Id;
  std::string Kind; ///< "backend" or "entry".
  std::string Service;
  std::string Address;
  std::string Domain;
  uint64_t Incarnation = 1;
  bool Leaving = false;
};

/** How the stand-in misbehaves. */
enum class PlatformFault {
  None,
  Stalled, ///< Accepts calls and never answers.
  Down,    ///< Answers each call with an error.
};

/**
 * Stands in for one replica of the platform's configuration service and its
 * list of instances. Thread-safe.
 */
class Platform {
public:
  /**
   * Binds the address and serves.
   * @param Context Runs the server.
   * @param Where Address; port 0 lets the system choose.
   */
  Platform(boost::asio::io_context &Context, const config::Endpoint &Where);

  /**
   * Publishes documents as one revision.
   * @param Revision Number of the revision.
   * @param Documents Text by document name.
   */
  void publish(uint64_t Revision,
               const std::map<std::string, std::string> &Documents);

  /**
   * Sets one value as it is, such as an invalid or old manifest.
   * @param Key Key of the value.
   * @param Text The value.
   */
  void setValue(const std::string &Key, const std::string &Text);

  /** Replaces the list. @param Instances All listed instances. */
  void setInstances(const std::vector<ListedInstance> &Instances);

  /** @param Fault How to misbehave from now on. */
  void setFault(PlatformFault Fault) { this->Fault = Fault; }

  /** Stops serving. */
  void stop();

  /** @return Where the stand-in listens. */
  config::Endpoint endpoint() const { return this->Server.endpoint(); }
  /** @return Calls received; a waiting watch counts as one. */
  uint64_t calls() const { return this->Calls; }

private:
  /** A versioned text. */
  struct Entry {
    uint64_t Version = 0;
    std::string Text; ///< Value, or the JSON list.
  };

  /** A long poll. */
  struct Watch {
    std::string Key; ///< Empty for the list of instances.
    std::function<void(net::HttpResponse)> Respond;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };

  void handle(net::HttpCall Call);
  void answer(const std::string &Key,
              const std::function<void(net::HttpResponse)> &Respond);
  void changed(const std::string &Key);

  boost::asio::io_context &Context;
  std::atomic<uint64_t> Calls{0};
  std::atomic<PlatformFault> Fault{PlatformFault::None};
  std::mutex Mutex; ///< Guards the members below.
  uint64_t NextVersion = 1;
  std::map<std::string, Entry> Values; ///< The list has the empty key.
  std::list<std::shared_ptr<Watch>> Watches;
  net::HttpServer Server;
};

} // namespace hickorycrank::standin

#endif
