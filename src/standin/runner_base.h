#ifndef HICKORYCRANK_STANDIN_RUNNER_BASE_H
#define HICKORYCRANK_STANDIN_RUNNER_BASE_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <ctime>
#include <pthread.h>
#include <thread>
#include <vector>

namespace hickorycrank::standin {

/** Runs an io_context on some threads until it is destroyed. */
class Runner {
public:
  /** Starts the threads. @param Count Number of threads. */
  explicit Runner(size_t Count) : Guard(Context.get_executor()) {
    for (size_t I = 0; I < Count; ++I) {
      this->Threads.emplace_back([this] { this->Context.run(); });
    }
  }
  ~Runner() { this->join(); }
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;

  /** Ends the threads; objects on the context may be destroyed after it. */
  void join() {
    this->Guard.reset();
    this->Context.stop();
    for (std::thread &Thread : this->Threads) {
      Thread.join();
    }
    this->Threads.clear();
  }

  /** @return CPU time of all threads so far, in seconds. */
  double cpuSeconds() {
    double Total = 0;
    for (std::thread &Thread : this->Threads) {
      clockid_t Source{};
      timespec Spent{};
      if (pthread_getcpuclockid(Thread.native_handle(), &Source) == 0 &&
          clock_gettime(Source, &Spent) == 0) {
        Total += static_cast<double>(Spent.tv_sec) +
                 static_cast<double>(Spent.tv_nsec) * 1e-9;
      }
    }
    return Total;
  }

  boost::asio::io_context Context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::vector<std::thread> Threads;
};

} // namespace hickorycrank::standin

#endif
