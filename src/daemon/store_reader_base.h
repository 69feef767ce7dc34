#ifndef HICKORYCRANK_DAEMON_STORE_READER_BASE_H
#define HICKORYCRANK_DAEMON_STORE_READER_BASE_H

#include "base/random_base.h"
#include "base/time_type.h"
#include "config/settings_type.h"
#include "daemon/log_func.h"
#include "discovery/read_cursor_base.h"
#include "fleet/view_freshness_type.h"
#include "net/http_pool_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickorycrank::daemon {

/** Callbacks to the owner of a StoreReader. */
struct StoreReaderCallbacks {
  std::function<void(const discovery::Update &)> OnUpdate;
  /** The updates so far hold all that the store acknowledged before a time of
   * suspendAwareNow(). */
  std::function<void(base::TimePoint)> OnVerified;
};

/** Counters of the calls to the store. */
struct StoreReaderCounters {
  uint64_t Calls = 0;
  uint64_t Failures = 0;
  uint64_t Listings = 0;
  uint64_t Restores = 0; ///< New epochs of the store that were noticed.
};

/**
 * Lists the platform's store and then watches it for changes, while this
 * instance is one of the readers. Not thread-safe: all calls must come from the
 * thread that runs the io_context.
 */
class StoreReader : public std::enable_shared_from_this<StoreReader> {
public:
  /**
   * Creates a paused reader.
   * @param Context Runs the reader.
   * @param Store Endpoint of the store.
   * @param Dialect Request targets and decoders of the store's API.
   * @param Seed Seed of the jitter.
   * @param Timing Duration of a watch, and when the reader counts as failed.
   * @param Callbacks Callbacks to the owner.
   */
  StoreReader(boost::asio::io_context &Context, const config::Endpoint &Store,
              discovery::StoreProtocol Dialect, uint64_t Seed,
              fleet::ReadTiming Timing, StoreReaderCallbacks Callbacks);

  /**
   * Starts reading the store; no effect unless paused.
   * @param Known Position to watch from; revision 0 starts with a listing.
   * @param ViewAge Age of the view, for the log; nothing if it was never
   *   complete.
   */
  void resume(const discovery::StorePosition &Known,
              std::optional<base::Duration> ViewAge = std::nullopt);
  /** Stops reading the store until resume(); other instances read it. */
  void pause();
  /** Cancels all calls; no callback is called afterwards. */
  void stop();

  /** Restarts a watch that missed a change which another instance has seen. */
  void restartWatch();

  /** Changes the timing from the next call on. @param Changed The timing. */
  void setTiming(const fleet::ReadTiming &Changed) { this->Timing = Changed; }

  /** @return Whether the store is being read, the last call succeeded and a
   * call has verified the view recently: a call that is waiting for changes
   * looks the same when the store never answers it. */
  bool isHealthy() const;
  /** @param Now Current time. @return Whether the store has been read
   * without failure for long enough that instances whose entries expired have
   * registered again. */
  bool isStable(base::TimePoint Now) const;
  /** @return The counters. */
  const StoreReaderCounters &counters() const { return this->Counters; }

private:
  void list();
  void watch();
  void sendRequest(const std::string &Target, base::Duration Timeout);
  /** Decodes a response; a bad body counts as a failure.
   * @param Response The response. @param Decode Decodes its body.
   * @return The decoded body, or nothing on failure. */
  template <typename T>
  std::optional<T> decodeResponse(
      const net::HttpResponse &Response,
      const std::function<base::Result<T>(const std::string &)> &Decode);
  /** Passes a response on, unless it belongs to another epoch of the store. */
  void onResponse(const net::HttpResponse &Response);
  void onPage(const net::HttpResponse &Response);
  void onWatch(const net::HttpResponse &Response);
  /** Notes up to which time the store's answer is complete. */
  void recordVerification(bool Empty);
  std::chrono::milliseconds nextWatchWait() const;
  void recordFailure(const std::string &Reason);
  void recordSuccess();
  void retryLater();
  void scheduleNextCall(base::Duration Delay);
  LogFields positionFields() const;

  boost::asio::io_context &Context;
  discovery::StoreProtocol Dialect;
  fleet::ReadTiming Timing;
  StoreReaderCallbacks Callbacks;
  std::shared_ptr<net::HttpPool> Pool;
  boost::asio::steady_timer NextCallTimer;
  base::Random Generator;
  discovery::ReadCursor Cursor;
  uint32_t ConsecutiveFailures = 0;
  bool Healthy = false;
  bool Stopped = false;
  bool Paused = true;
  bool NextCallPending = false;
  net::ExchangeId Exchange = 0;
  base::TimePoint LastInterruption; ///< Last failure, gap or resumption.
  std::optional<base::TimePoint> LastFailure; ///< Last failed call.
  // Times of suspendAwareNow().
  base::TimePoint SentAt; ///< Watch, or first page of the listing.
  std::optional<base::TimePoint> VerifiedAt; ///< Reported by OnVerified.
  std::chrono::milliseconds SentWait{};      ///< Time that the watch waits.
  StoreReaderCounters Counters;
};

} // namespace hickorycrank::daemon

#endif
