#ifndef HICKORYCRANK_DAEMON_STORE_READER_BASE_H
#define HICKORYCRANK_DAEMON_STORE_READER_BASE_H

#include "base/random_base.h"
#include "base/time_type.h"
#include "config/settings_type.h"
#include "discovery/item_type.h"
#include "net/http_pool_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickorycrank::daemon {

/** What a reader of the platform's store tells its owner. */
struct StoreReaderCallbacks {
  std::function<void(const discovery::Update &)> OnUpdate;
};

/** What a reader counts. */
struct StoreReaderCounters {
  uint64_t Calls = 0;
  uint64_t Failures = 0;
  uint64_t Listings = 0;
};

/**
 * Lists the platform's store, then follows its changes by watches, while it is
 * this instance's turn to read. It runs on one thread, that of the io_context.
 */
class StoreReader : public std::enable_shared_from_this<StoreReader> {
public:
  /**
   * Creates a reader that asks nothing yet.
   * @param Context Runs the reader.
   * @param Store The store.
   * @param Dialect How the store is asked.
   * @param Seed For jitter.
   * @param Handlers What to tell the owner.
   */
  StoreReader(boost::asio::io_context &Context, const config::Endpoint &Store,
              discovery::StoreProtocol Dialect, uint64_t Seed,
              StoreReaderCallbacks Handlers);

  /**
   * Follows the store from now on, unless it does so already.
   * @param Known Revision that is known; 0 begins with a listing.
   */
  void resume(uint64_t Known);
  /** Leaves the store to other instances. */
  void pause();
  /** Ends all calls; the callbacks are not called afterwards. */
  void stop();

  /** Replaces a watch that has missed a change which another instance saw. */
  void restartWatch();

  /** @return Whether it follows the store and the last call succeeded. */
  bool isHealthy() const { return this->Healthy; }
  /** @param Now Current time. @return Whether nothing has failed for longer
   * than lapsed entries take to come back. */
  bool isStable(base::TimePoint Now) const;
  /** @return What was counted so far. */
  const StoreReaderCounters &counters() const { return this->Counters; }

private:
  void list();
  void watch();
  void ask(const std::string &Target, base::Duration Timeout,
           std::function<void(const net::HttpResponse &)> Handle);
  /** Counts an answer with another status or a bad body as a failure.
   * @param Response The answer. @param Decode Reads its body.
   * @return What it holds, if it is good. */
  template <typename T>
  std::optional<T>
  readAnswer(const net::HttpResponse &Response,
             const std::function<base::Result<T>(const std::string &)> &Decode);
  void onPage(const net::HttpResponse &Response);
  void onWatch(const net::HttpResponse &Response);
  void fail(const std::string &Reason);
  void succeed();
  void retryLater();
  void continueAfter(base::Duration Pause);

  boost::asio::io_context &Context;
  discovery::StoreProtocol Dialect;
  StoreReaderCallbacks Handlers;
  std::shared_ptr<net::HttpPool> Pool;
  boost::asio::steady_timer RetryTimer;
  base::Random Generator;
  discovery::Update Partial; ///< Pages of the listing in progress.
  std::string LastKey;
  uint64_t Revision = 0; ///< Last one that was delivered; 0: not listed.
  uint32_t FailuresInRow = 0;
  bool Healthy = false;
  bool Stopped = false;
  bool Paused = true;
  bool RetryPending = false;
  net::ExchangeId Exchange = 0;
  base::TimePoint LastTrouble; ///< Also a time in which others read the store.
  std::optional<base::TimePoint> LastFailure; ///< Of a call.
  StoreReaderCounters Counters;
};

} // namespace hickorycrank::daemon

#endif
