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

/** What the reader tells its owner. Called without locks held. */
struct PlatformCallbacks {
  /** A whole set of texts under one manifest, not validated yet. */
  std::function<void(config::ConfigurationTexts)> OnConfiguration;
  std::function<void(net::InstanceList)> OnInstances;
  /** Looks up a document that is already known, by digest. */
  std::function<std::string(const std::string &)> FindDocument;
  /** A manifest was given up for now because documents of it are missing. */
  std::function<void(base::Revision)> OnAbandoned;
};

/** How long the reader waits for documents; each delay is jittered. */
struct DocumentRetries {
  std::chrono::milliseconds FirstDelay{250}; ///< Doubles with each failure.
  std::chrono::milliseconds RecheckInterval{60'000}; ///< After giving up.
};

/**
 * Watches the platform's configuration service and its list of instances. Each
 * watch is one long poll at a time; failures are retried with jitter, on the
 * next replica, so that readers do not return all at once after an outage.
 */
class PlatformReader : public std::enable_shared_from_this<PlatformReader> {
public:
  /**
   * Creates a reader that does not watch yet.
   * @param Context Runs the reader.
   * @param Replicas Addresses of the platform's replicas.
   * @param Seed For jitter.
   * @param Callbacks What to tell the owner.
   * @param Retries Delays while documents are missing.
   */
  PlatformReader(boost::asio::io_context &Context,
                 const std::vector<config::Endpoint> &Replicas, uint64_t Seed,
                 PlatformCallbacks Callbacks, DocumentRetries Retries = {});

  /** Begins to watch the list of instances and the configuration. */
  void start();

  /** Answers without the document after which a manifest is given up. */
  static constexpr uint32_t MaxDocumentFailures = 6;

  /** Stops watching; no callback is started afterwards. */
  void stop();

  /** Breaks references to this reader; when the io_context has ended. */
  void release();

  /**
   * Chooses between watching the configuration and reading it seldom.
   * @param Watch Whether to watch it.
   */
  void setWatchesConfiguration(bool Watch);

  /** @return Calls to the platform so far. */
  uint64_t calls() const { return this->Calls; }
  /** @return Whether the platform has ever answered for the configuration. */
  bool hasRead() const { return this->Read; }

private:
  /** A configuration whose documents are being read. */
  struct Fetch {
    config::Manifest Listed;
    config::ConfigurationTexts Texts;
    std::vector<std::string> Missing; ///< Digests still to read.
    uint64_t Version = 0;             ///< The platform's, of the manifest.
    uint32_t Failures = 0;            ///< Answers without the document.
  };

  void get(const std::string &Path, std::chrono::milliseconds Timeout,
           std::function<void(base::Result<std::string>)> Done);
  void pollInstances();
  void pollManifest();
  void pollLater();
  void onManifest(const net::PlatformValue &Value);
  void fetchNext(const std::shared_ptr<Fetch> &Pending);
  void onMissing(const std::shared_ptr<Fetch> &Pending);
  void fetchLater(const std::shared_ptr<Fetch> &Pending,
                  std::chrono::milliseconds Delay);
  void later(std::chrono::milliseconds Delay, std::function<void()> Callback);
  std::chrono::milliseconds jitter(std::chrono::milliseconds Span);

  boost::asio::io_context &Context;
  std::vector<std::shared_ptr<net::HttpPool>> Replicas;
  PlatformCallbacks Callbacks;
  DocumentRetries Retries;
  std::atomic<uint64_t> Calls{0};
  std::atomic<bool> Read{false};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Watches{true};
  std::atomic<size_t> Current{0};
  std::mutex Mutex; ///< Guards the members below.
  base::Random Generator;
  uint64_t ManifestVersion = 0;
  uint64_t ListVersion = 0;
  std::set<std::shared_ptr<boost::asio::steady_timer>> Timers;
  /** Runs until the next reading of an instance that does not watch. */
  std::shared_ptr<boost::asio::steady_timer> SeldomTimer;
};

} // namespace hickorycrank::daemon

#endif
