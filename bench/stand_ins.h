#ifndef HICKORYCRANK_BENCH_STAND_INS_H
#define HICKORYCRANK_BENCH_STAND_INS_H

#include "config/settings_type.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <ctime>
#include <pthread.h>
#include <sys/types.h>
#include <thread>

namespace hickorycrank::bench {

/** Backend servers that hold the same shards. */
inline constexpr uint32_t ReplicaCount = 3;
/** Shards that a group of replicas holds. */
inline constexpr uint32_t GroupShards = 3;

/**
 * A platform and backend servers in a process of their own, so that neither
 * their CPU nor their memory is counted.
 */
class StandIns {
public:
  /**
   * Starts the process; call it before any thread is started.
   * @param Groups Groups of replicas.
   */
  explicit StandIns(uint32_t Groups);
  ~StandIns();
  StandIns(const StandIns &) = delete;
  StandIns &operator=(const StandIns &) = delete;

  /** Crashes all backend servers of the first failure domain. */
  void crashDomain() const;

  /** @return Where the platform listens. */
  config::Endpoint platform() const { return this->Platform; }

private:
  pid_t Process = -1;
  int Orders = -1; ///< Write end of the pipe to the process.
  config::Endpoint Platform;
};

/** An io_context with one thread whose CPU time can be read. */
class Worker {
public:
  Worker()
      : Guard(Context.get_executor()), Thread([this] { this->Context.run(); }) {
  }
  ~Worker() { this->join(); }
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  /** @return Nanoseconds of CPU that the thread has used. */
  int64_t cpuNs() {
    clockid_t Clock{};
    timespec Used{};
    pthread_getcpuclockid(this->Thread.native_handle(), &Clock);
    clock_gettime(Clock, &Used);
    return Used.tv_sec * 1'000'000'000LL + Used.tv_nsec;
  }

  /** Stops the thread; objects on the context may be destroyed after it. */
  void join() {
    this->Context.stop();
    if (this->Thread.joinable()) {
      this->Thread.join();
    }
  }

  boost::asio::io_context Context{1};

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Thread;
};

} // namespace hickorycrank::bench

#endif
