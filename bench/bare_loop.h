#ifndef HICKORYCRANK_BENCH_BARE_LOOP_H
#define HICKORYCRANK_BENCH_BARE_LOOP_H

#include "base/random_base.h"
#include "net/http_pool_base.h"
#include "query/action_type.h"
#include "stand_ins.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickorycrank::bench {

/**
 * Fan-out without any policy: a random replica, no hedge, no retry, no budget,
 * no queue. It uses the tier's connections and messages, decodes each reply
 * and appends its rows. All of it runs on one thread.
 */
class BareLoop {
public:
  /**
   * Creates the loop.
   * @param Context Runs the connections; one thread.
   * @param Addresses Of all backend servers, replicas of a group in a row.
   */
  BareLoop(boost::asio::io_context &Context,
           const std::vector<config::Endpoint> &Addresses);

  /**
   * Runs one query.
   * @param FanOut Shards to ask.
   * @param Done Gets the shards that answered.
   */
  void run(uint32_t FanOut, std::function<void(uint32_t)> Done);

private:
  struct Query {
    uint32_t Open = 0;
    uint32_t Answered = 0;
    std::vector<query::Row> Rows;
    std::function<void(uint32_t)> Done;
  };

  void start(uint32_t FanOut, const std::shared_ptr<Query> &Running);
  void take(const std::shared_ptr<Query> &Running, base::AttemptId Expected,
            const net::ExchangeResult &Result);

  boost::asio::io_context &Context;
  base::Random Generator{1};
  std::vector<std::shared_ptr<net::HttpPool>> Pools;
  std::shared_ptr<const query::Request> Source;
};

} // namespace hickorycrank::bench

#endif
