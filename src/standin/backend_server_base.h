#ifndef HICKORYCRANK_STANDIN_BACKEND_SERVER_BASE_H
#define HICKORYCRANK_STANDIN_BACKEND_SERVER_BASE_H

#include "base/random_base.h"
#include "config/settings_type.h"
#include "net/http_server_base.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hickorycrank::standin {

/** How a backend server stand-in behaves. All members may change any time. */
struct BackendBehaviour {
  uint32_t Slots = 3;
  uint32_t QueueLimit = 12;                     ///< Waiting beyond it is shed.
  std::chrono::microseconds ServiceTime{2'000}; ///< Mean; exponential tail.
  double Slowdown = 1;                          ///< Factor, for stragglers.
  bool Leaving = false;
  bool Silent = false;         ///< Accepts requests and never replies.
  bool FailAll = false;        ///< Replies with errors at once.
  bool ShedAll = false;        ///< Sheds everything.
  bool WrongEcho = false;      ///< Replies with another attempt's id.
  bool Garbage = false;        ///< Replies with text that is no JSON.
  bool EchoParameters = false; ///< Rows carry the parameters of the request.
  bool OfferDigest = true;     ///< Reports name a digest of the versions.
  std::string CrashText;       ///< Crashes on a request that holds this text.
  double ReportedLoad = -1;    ///< Overrides the true load unless negative.
};

/** One index version of a stand-in. */
struct BackendVersion {
  uint64_t Version = 1;
  std::vector<std::string> Layout;
  std::vector<uint32_t> Holds; ///< Positions in Layout.
};

/** What the stand-in received, for assertions. */
struct BackendCounters {
  uint64_t Searches = 0;
  uint64_t Served = 0;
  uint64_t Shed = 0;
  uint64_t Cancelled = 0;
  uint64_t Expired = 0;
  uint64_t LastSearchMs = 0; ///< Steady clock, when the last search arrived.
  uint64_t MaxConnections = 0;
  uint64_t Accepted = 0;                     ///< Connections since the start.
  uint64_t Reports = 0;                      ///< Replies to /v1/report.
  uint64_t ReportBytes = 0;                  ///< Bytes of their bodies.
  std::map<std::string, uint64_t> RunsByKey; ///< Runs by the "key" parameter.
};

/** Stands in for one backend server (searcher) over HTTP. Thread-safe. */
class BackendServer {
public:
  /**
   * Binds the address and serves.
   * @param Context Runs the server.
   * @param Where Address; port 0 lets the system choose.
   * @param Id Name in reports.
   * @param Incarnation Incarnation in reports.
   * @param Seed For service times.
   */
  BackendServer(boost::asio::io_context &Context, const config::Endpoint &Where,
                std::string Id, uint64_t Incarnation, uint64_t Seed);
  ~BackendServer();
  BackendServer(const BackendServer &) = delete;
  BackendServer &operator=(const BackendServer &) = delete;

  /** Changes behaviour. @param Change Edits the present behaviour. */
  void change(const std::function<void(BackendBehaviour &)> &Change);

  /** @param Versions Index versions that are held from now on. */
  void setVersions(std::vector<BackendVersion> Versions);

  /** Closes all connections and the port, as a crash would. */
  void crash();

  /** @return Where the stand-in listens. */
  config::Endpoint endpoint() const { return this->Address; }
  /** @return Name in reports. */
  const std::string &id() const { return this->Id; }
  /** @return What was received so far. */
  BackendCounters counters() const;

private:
  /** A search that waits for a slot or runs. */
  struct Job {
    std::string Attempt;
    std::string Shard;
    uint64_t Version = 0;
    uint64_t Limit = 10;
    std::string Parameters; ///< JSON text.
    std::function<void(net::HttpResponse)> Respond;
    std::shared_ptr<boost::asio::steady_timer> Timer;
    bool Done = false;
  };

  void handle(const net::HttpCall &Call);
  void handleSearch(const net::HttpCall &Call);
  void startNext();
  void finish(const std::shared_ptr<Job> &Finished);
  void replyStatus(const std::string &Attempt, uint64_t Version,
                   const std::string &Status, bool Ran,
                   const std::function<void(net::HttpResponse)> &Respond);
  /**
   * Writes the report; the mutex must be held.
   * @param WithVersions Whether versions are wanted.
   * @param KnownDigest Digest of versions that need not be sent again.
   * @return JSON text.
   */
  std::string reportText(bool WithVersions,
                         const std::string &KnownDigest = {}) const;

  boost::asio::io_context &Context;
  std::string Id;
  uint64_t Incarnation;
  config::Endpoint Address;
  mutable std::mutex Mutex; ///< Guards the members below.
  base::Random Generator;
  BackendBehaviour Behaviour;
  std::vector<BackendVersion> Versions;
  std::string VersionsDigest; ///< Of Versions; empty if none is offered.
  std::deque<std::shared_ptr<Job>> Waiting;
  std::map<std::string, std::shared_ptr<Job>> Jobs;
  uint32_t Running = 0;
  BackendCounters Counters;
  bool Crashed = false;
  net::HttpServer Server;
};

} // namespace hickorycrank::standin

#endif
