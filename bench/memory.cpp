#include "memory.h"

#include "engine_harness.h"
#include "net/http_pool_base.h"

#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <thread>

namespace hickorycrank::bench {

namespace {

/** @return Bytes of the heap that are in use. */
double heapBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/** Prints one point. */
void print(const char *What, uint32_t Size, double Bytes) {
  std::cout << boost::json::object{{"kind", "memory"},
                                   {"what", What},
                                   {"size", Size},
                                   {"bytes", Bytes}}
            << std::endl;
}

/** Prints an engine's heap with one layout for each server, as decoded. */
void printDirectory(uint32_t Count, bool OwnLayouts) {
  double Before = heapBytes();
  auto Shards = makeLayout(Count);
  routing::Directory Servers(routing::Policy{}, 3);
  {
    std::vector<routing::ServerListing> Listed;
    std::vector<routing::ServerReport> Reports;
    describeServers(Shards, Listed, Reports);
    base::TimePoint Now(std::chrono::hours(1));
    Servers.applyList(Now, Listed);
    for (routing::ServerReport &Report : Reports) {
      if (OwnLayouts) {
        Report.Versions.front().ShardLayout =
            std::make_shared<routing::Layout>(*Shards);
      }
      Servers.applyReport(Now, Report);
    }
  }
  print(OwnLayouts ? "directory_decoded" : "directory_shared", Count,
        heapBytes() - Before);
}

} // namespace

void printMemory() {
  for (uint32_t Count : {90U, 450U, 900U, 1'800U}) {
    printDirectory(Count, false);
  }
  for (uint32_t Count : {90U, 450U, 900U}) {
    printDirectory(Count, true);
  }
  constexpr int QueryCount = 5;
  for (uint32_t FanOut : {10U, 50U, 150U, 450U}) {
    EngineHarness Harness(FanOut);
    Harness.run();
    double Before = heapBytes();
    for (int I = 0; I < QueryCount; ++I) {
      Harness.start();
    }
    Harness.start().clear();
    print("query_in_flight", FanOut, (heapBytes() - Before) / (QueryCount + 1));
  }
}

void printConnectionMemory(boost::asio::io_context &Context,
                           const config::Endpoint &Target) {
  for (uint32_t Count : {100U, 400U}) {
    net::PoolLimits Limits;
    Limits.MaxConnections = Count;
    Limits.MaxOpening = Count;
    double Before = heapBytes();
    auto Pool = std::make_shared<net::HttpPool>(Context, Target, Limits);
    Pool->warm(Count);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    print("idle_connections", Count, heapBytes() - Before);
    Pool->retireAll();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
}

} // namespace hickorycrank::bench
