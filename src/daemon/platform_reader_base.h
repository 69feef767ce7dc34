#ifndef HICKORYCRANK_DAEMON_PLATFORM_READER_BASE_H
#define HICKORYCRANK_DAEMON_PLATFORM_READER_BASE_H

#include "base/error_type.h"
#include "base/random_base.h"
#include "config/document_type.h"
#include "config/settings_type.h"
#include "net/backend_codec_func.h"
#include "net/http_pool_base.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace hickorycrank::daemon {

/** Callbacks to the owner of a PlatformReader, called without locks held. */
struct PlatformCallbacks {
  /** Receives a manifest with all its documents, not validated yet. */
  std::function<void(config::ConfigurationTexts)> OnConfiguration;
  std::function<void(net::InstanceList)> OnInstances;
  /** Looks up a cached document by digest; empty if it is unknown. */
  std::function<std::string(const std::string &)> FindDocument;
  /** Reports a manifest with missing documents; they are rechecked at
   * DocumentRetries::RecheckInterval. */
  std::function<void(base::Revision)> OnDocumentsMissing;
};

/** Retry delays for missing documents; each delay is jittered. */
struct DocumentRetries {
  std::chrono::milliseconds FirstDelay{250}; ///< Doubles with each failure.
  std::chrono::milliseconds RecheckInterval{
      60'000}; ///< After MaxDocumentFailures.
};

/**
 * Watches the platform's configuration service and its list of instances by
 * long polls, one at a time per watch. Failures are retried on the next replica
 * with jitter, so that readers do not reconnect all at once after an outage.
 */
class PlatformReader : public std::enable_shared_from_this<PlatformReader> {
public:
  /**
   * Creates a reader without starting its watches.
   * @param Context Runs the reader.
   * @param Replicas Addresses of the platform's replicas.
   * @param Seed Seed of the jitter.
   * @param Callbacks Callbacks to the owner.
   * @param Retries Retry delays for missing documents.
   */
  PlatformReader(boost::asio::io_context &Context,
                 const std::vector<config::Endpoint> &Replicas, uint64_t Seed,
                 PlatformCallbacks Callbacks, DocumentRetries Retries = {});

  /** Starts watching the list of instances and the configuration. */
  void start();

  /** Responses without the document after which a manifest is reported as
   * abandoned. */
  static constexpr uint32_t MaxDocumentFailures = 6;

  /** Stops watching; no callback is started afterwards. */
  void stop();

  /** Breaks reference cycles; called after the io_context has stopped. */
  void release();

  /**
   * Chooses between watching the configuration and polling it at a long
   * interval.
   * @param Watch Whether to watch it.
   */
  void setWatchesConfiguration(bool Watch);

  /** @return Number of calls made to the platform. */
  uint64_t calls() const { return this->Calls; }
  /** @return Whether the configuration has been read at least once. */
  bool hasRead() const { return this->HasRead; }

private:
  /** A configuration whose documents are being fetched. */
  struct Fetch {
    config::Manifest ParsedManifest;
    config::ConfigurationTexts Texts;
    std::vector<std::string> Missing; ///< Digests still to be fetched.
    uint64_t Version = 0;  ///< The platform's version of the manifest.
    uint32_t Failures = 0; ///< Responses without the document.
  };

  void get(const std::string &Path, std::chrono::milliseconds Timeout,
           std::function<void(base::Result<std::string>)> Done);
  void pollInstances();
  void pollManifest();
  void scheduleNextRead();
  void onManifest(const net::PlatformValue &Value);
  void fetchNext(const std::shared_ptr<Fetch> &Pending);
  void onMissing(const std::shared_ptr<Fetch> &Pending);
  void fetchLater(const std::shared_ptr<Fetch> &Pending,
                  std::chrono::milliseconds Delay);
  void scheduleAfter(std::chrono::milliseconds Delay,
                     std::function<void()> Callback);
  std::chrono::milliseconds jitter(std::chrono::milliseconds MeanDelay);

  boost::asio::io_context &Context;
  std::vector<std::shared_ptr<net::HttpPool>> Replicas;
  PlatformCallbacks Callbacks;
  DocumentRetries Retries;
  std::atomic<uint64_t> Calls{0};
  std::atomic<bool> HasRead{false};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> WatchesConfiguration{true};
  std::atomic<size_t> CurrentReplica{0};
  std::mutex Mutex; ///< Guards the members below.
  base::Random Generator;
  uint64_t ManifestVersion = 0;
  uint64_t ListVersion = 0;
  std::set<std::shared_ptr<boost::asio::steady_timer>> Timers;
  /** Time of the next poll while the configuration is not watched. */
  std::shared_ptr<boost::asio::steady_timer> PollTimer;
};

} // namespace hickorycrank::daemon

#endif
