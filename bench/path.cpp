// The whole path on loopback: one entry instance against a bare fan-out loop,
// interleaved, and what an instance does while a failure domain is lost.
// Prints lines of JSON. Figures of CPU are those of one thread each; the
// stand-ins run in another process and the callers in another thread.
#include "bare_loop.h"
#include "config/settings_func.h"
#include "daemon/instance_base.h"
#include "daemon/log_func.h"
#include "memory.h"
#include "net/backend_codec_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <future>
#include <glog/logging.h>
#include <iostream>
#include <map>
#include <string>
#include <thread>

namespace {

using namespace hickorycrank;
namespace json = boost::json;

/** Groups of replicas in the runs: 30, 150 and 450 backend servers. */
constexpr uint32_t SmallGroups = 10;
constexpr uint32_t MediumGroups = 50;
constexpr uint32_t WideGroups = 150;
/** Time for an instance to read its configuration and first reports. */
constexpr std::chrono::seconds SettleTime(2);

/** What one kind of loop took for one fan-out. */
struct Sample {
  std::vector<double> LatencyMs;
  std::vector<double> CpuUsByRound; ///< Per query.
  int64_t CpuNs = 0;
  double ElapsedSeconds = 0;
  uint64_t Incomplete = 0; ///< Answers that lack a shard.
};

/** What the ratios are built from. */
struct Summary {
  double CpuUs = 0;
  double NetCpuUs = 0; ///< Without what the loop uses when idle.
  double P99Ms = 0;
};

/** Answer as a caller sees it. */
struct CallerView {
  bool Answered = false;
  int64_t Shards = 0;
  int64_t Attempts = 0;
};

/**
 * Reads a quantile from samples.
 * @param Values Samples, at least one.
 * @param Share From 0 to 1.
 * @return The value at that rank.
 */
double quantile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  auto Rank = static_cast<size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(Rank, Values.size() - 1)];
}

/** One GET and its body; empty if there is none. */
std::string get(boost::asio::io_context &Context,
                const config::Endpoint &Target, const std::string &Path) {
  auto Pool =
      std::make_shared<net::HttpPool>(Context, Target, net::PoolLimits{});
  std::promise<std::string> Body;
  net::HttpRequest Request;
  Request.Path = Path;
  Pool->send(std::move(Request), base::Clock::now() + std::chrono::seconds(5),
             false, [&Body](net::ExchangeResult Result) {
               auto *Response = std::get_if<net::HttpResponse>(&Result);
               Body.set_value(Response != nullptr ? Response->Body : "");
             });
  return Body.get_future().get();
}

/** Asks the platform for the backend servers. @return In order of group. */
std::vector<config::Endpoint> findServers(boost::asio::io_context &Context,
                                          const config::Endpoint &Platform) {
  std::string Body = get(Context, Platform, "/v1/instances?after=0&wait_ms=0");
  auto List = net::decodeInstances(Body);
  std::cout << json::object{{"kind", "platform_list"},
                            {"entries", List.value().Entries.size()},
                            {"bytes", Body.size()}}
            << std::endl;
  std::vector<config::Endpoint> Servers(size_t{WideGroups} *
                                        bench::ReplicaCount);
  for (const net::InstanceListing &Entry : List.value().Entries) {
    const std::string &Id = Entry.Server.Server.Value;
    size_t Group = std::stoul(Id.substr(Id.find('-') + 1));
    size_t Replica = std::stoul(Id.substr(Id.rfind('-') + 1));
    Servers[Group * bench::ReplicaCount + Replica] =
        config::parseEndpoint(Entry.Server.Address).value();
  }
  return Servers;
}

/** A caller of the entry instance. */
class Caller {
public:
  Caller(boost::asio::io_context &Context, const config::Endpoint &Target)
      : Pool(std::make_shared<net::HttpPool>(Context, Target,
                                             net::PoolLimits{})) {}

  /** Sends one query. @param FanOut Chooses the template. @return Its answer.
   */
  CallerView ask(uint32_t FanOut) {
    net::HttpRequest Request;
    Request.Method = "POST";
    Request.Path = "/v1/query/fan-" + std::to_string(FanOut);
    Request.Headers["Authorization"] = "Bearer bench:bench-key";
    Request.Body = R"({"colour":"c)" + std::to_string(++this->Count) + "\"}";
    std::promise<CallerView> Got;
    this->Pool->send(std::move(Request),
                     base::Clock::now() + std::chrono::seconds(10), false,
                     [&Got](const net::ExchangeResult &Result) {
                       Got.set_value(Caller::read(Result));
                     });
    return Got.get_future().get();
  }

private:
  static CallerView read(const net::ExchangeResult &Result) {
    CallerView View;
    const auto *Response = std::get_if<net::HttpResponse>(&Result);
    if (Response == nullptr || Response->Status != 200) {
      return View;
    }
    json::object Body = json::parse(Response->Body).as_object();
    View.Answered = true;
    View.Shards =
        Body.at("coverage").as_object().at("answered").to_number<int64_t>();
    View.Attempts = Body.at("attempts").to_number<int64_t>();
    return View;
  }

  std::shared_ptr<net::HttpPool> Pool;
  uint64_t Count = 0;
};

/**
 * Runs queries one after the other on one loop.
 * @param Target Thread whose CPU is counted.
 * @param Queries Number of queries.
 * @param FanOut Shards a query needs.
 * @param Ask Runs one query and returns the shards that answered.
 * @param Into Receives what it took.
 */
template <typename Function>
void measure(bench::Worker &Target, int Queries, uint32_t FanOut, Function Ask,
             Sample &Into) {
  int64_t CpuBefore = Target.cpuNs();
  base::TimePoint Begin = base::Clock::now();
  for (int I = 0; I < Queries; ++I) {
    base::TimePoint Sent = base::Clock::now();
    int64_t Shards = Ask();
    Into.LatencyMs.push_back(base::toMilliseconds(base::Clock::now() - Sent));
    Into.Incomplete += Shards == FanOut ? 0 : 1;
  }
  int64_t Used = Target.cpuNs() - CpuBefore;
  Into.CpuNs += Used;
  Into.ElapsedSeconds +=
      base::toMilliseconds(base::Clock::now() - Begin) / 1'000;
  Into.CpuUsByRound.push_back(static_cast<double>(Used) / 1e3 / Queries);
}

/** Prints one loop at one fan-out. @return What the ratios are built from. */
Summary report(const char *Loop, uint32_t FanOut, const Sample &Taken,
               double Background) {
  auto Queries = static_cast<double>(Taken.LatencyMs.size());
  double CpuUs = static_cast<double>(Taken.CpuNs) / 1e3 / Queries;
  double Net = CpuUs - Background * Taken.ElapsedSeconds * 1e6 / Queries;
  double P99 = quantile(Taken.LatencyMs, 0.99);
  std::cout << json::object{{"kind", "path"},
                            {"loop", Loop},
                            {"fan_out", FanOut},
                            {"queries", Taken.LatencyMs.size()},
                            {"incomplete", Taken.Incomplete},
                            {"cpu_us_per_query", CpuUs},
                            {"cpu_us_without_background", Net},
                            {"cpu_us_by_round",
                             json::value_from(Taken.CpuUsByRound)},
                            {"p50_ms", quantile(Taken.LatencyMs, 0.5)},
                            {"p99_ms", P99}}
            << std::endl;
  return {CpuUs, Net, P99};
}

/** One entry instance on a thread of its own. */
struct Entry {
  bench::Worker Worker;
  std::shared_ptr<daemon::Instance> Running;

  explicit Entry(const config::Endpoint &Platform) {
    config::Settings Own;
    Own.Instance = base::InstanceId("entry-0");
    Own.Domain = base::FailureDomainId("domain-1");
    Own.Platform = {Platform};
    Own.PeerKey = "bench-peer-key-not-secret";
    this->Running =
        std::make_shared<daemon::Instance>(this->Worker.Context, Own);
    this->Running->start();
  }
  ~Entry() { this->Worker.join(); }
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;
};

/** Waits for a complete answer. @return Whether it came within 30 s. */
bool waitUntilServing(Caller &Client, uint32_t FanOut) {
  base::TimePoint End = base::Clock::now() + std::chrono::seconds(30);
  while (base::Clock::now() < End) {
    if (Client.ask(FanOut).Shards == FanOut) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

/** Measures an instance without queries. @return Share of one core. */
double measureBackground(Entry &Under, uint32_t Servers) {
  constexpr std::chrono::seconds Span(3);
  int64_t Before = Under.Worker.cpuNs();
  std::this_thread::sleep_for(Span);
  double Share = static_cast<double>(Under.Worker.cpuNs() - Before) / 1e9 /
                 static_cast<double>(Span.count());
  std::cout << json::object{{"kind", "background"},
                            {"servers", Servers},
                            {"cpu_share", Share}}
            << std::endl;
  return Share;
}

/** Runs both loops in turn. @param Rounds Rounds for each fan-out. */
void comparePaths(Entry &Under, Caller &Client, bench::Worker &BareWorker,
                  bench::BareLoop &Loop, int Rounds, double Background) {
  // About a second a round, so that each holds as much of the instance's
  // periodic work, such as reports, as the others.
  static constexpr std::pair<uint32_t, int> Sizes[] = {
      {10, 200}, {50, 120}, {150, 80}, {450, 40}};
  for (auto [Shards, QueriesARound] : Sizes) {
    uint32_t FanOut = Shards;
    Sample Tier;
    Sample Bare;
    auto AskTier = [&] { return Client.ask(FanOut).Shards; };
    auto AskBare = [&]() -> int64_t {
      std::promise<int64_t> Got;
      Loop.run(FanOut, [&Got](uint32_t Answered) { Got.set_value(Answered); });
      return Got.get_future().get();
    };
    Sample WarmUp; // Opens the connections of both.
    measure(Under.Worker, QueriesARound, FanOut, AskTier, WarmUp);
    measure(BareWorker, QueriesARound, FanOut, AskBare, WarmUp);
    for (int Round = 0; Round < Rounds; ++Round) {
      bool TierFirst = Round % 2 == 0;
      if (TierFirst) {
        measure(Under.Worker, QueriesARound, FanOut, AskTier, Tier);
      }
      measure(BareWorker, QueriesARound, FanOut, AskBare, Bare);
      if (!TierFirst) {
        measure(Under.Worker, QueriesARound, FanOut, AskTier, Tier);
      }
    }
    Summary Whole = report("tier", FanOut, Tier, Background);
    Summary Plain = report("bare", FanOut, Bare, 0);
    std::cout << json::object{{"kind", "ratio"},
                              {"fan_out", FanOut},
                              {"cpu", Whole.CpuUs / Plain.CpuUs},
                              {"cpu_without_background",
                               Whole.NetCpuUs / Plain.CpuUs},
                              {"p99", Whole.P99Ms / Plain.P99Ms}}
              << std::endl;
  }
}

/** Crashes a failure domain under load and prints half seconds. */
void loseDomain(Entry &Under, Caller &Client, const bench::StandIns &Stand) {
  constexpr uint32_t FanOut = 450;
  constexpr int SliceCount = 12;
  constexpr int CrashSlice = 4;
  constexpr std::chrono::milliseconds SliceTime(500);
  for (int Slice = 0; Slice < SliceCount; ++Slice) {
    if (Slice == CrashSlice) {
      Stand.crashDomain();
    }
    int64_t CpuBefore = Under.Worker.cpuNs();
    base::TimePoint Begin = base::Clock::now();
    std::vector<double> Latency;
    int64_t Answers = 0;
    int64_t Shards = 0;
    int64_t Attempts = 0;
    while (base::Clock::now() < Begin + SliceTime) {
      base::TimePoint Sent = base::Clock::now();
      CallerView View = Client.ask(FanOut);
      Latency.push_back(base::toMilliseconds(base::Clock::now() - Sent));
      Answers += View.Answered ? 1 : 0;
      Shards += View.Shards;
      Attempts += View.Attempts;
    }
    double Expected = static_cast<double>(Latency.size()) * FanOut;
    std::cout
        << json::object{{"kind", "domain_loss"},
                        {"from_ms", (Slice - CrashSlice) * SliceTime.count()},
                        {"queries", Latency.size()},
                        {"answers", Answers},
                        {"coverage", static_cast<double>(Shards) / Expected},
                        {"attempts_per_shard",
                         static_cast<double>(Attempts) / Expected},
                        {"cpu_us_per_query",
                         static_cast<double>(Under.Worker.cpuNs() - CpuBefore) /
                             1e3 / static_cast<double>(Latency.size())},
                        {"p50_ms", quantile(Latency, 0.5)},
                        {"max_ms", quantile(Latency, 1)}}
        << std::endl;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int DefaultRounds = 10;
  int Rounds = Count > 1 ? std::atoi(Arguments[1]) : DefaultRounds;
  if (Rounds < 1) {
    std::cerr << "give the number of rounds, at least 1\n";
    return EXIT_FAILURE;
  }
  daemon::initialiseLogging(Arguments[0]);
  FLAGS_minloglevel = google::GLOG_FATAL;
  // The processes of the stand-ins have to start before any thread.
  std::map<uint32_t, std::unique_ptr<bench::StandIns>> Stands;
  for (uint32_t Groups : {SmallGroups, MediumGroups, WideGroups}) {
    Stands[Groups] = std::make_unique<bench::StandIns>(Groups);
  }
  const bench::StandIns &Wide = *Stands[WideGroups];
  bench::printMemory();
  bench::Worker Callers;
  bench::printConnectionMemory(Callers.Context, Wide.platform());
  for (uint32_t Groups : {SmallGroups, MediumGroups}) {
    Entry Under(Stands[Groups]->platform());
    std::this_thread::sleep_for(SettleTime);
    measureBackground(Under, Groups * bench::ReplicaCount);
  }
  bench::Worker BareWorker;
  Entry Under(Wide.platform());
  Caller Client(Callers.Context, Under.Running->callerEndpoint());
  bench::BareLoop Loop(BareWorker.Context,
                       findServers(Callers.Context, Wide.platform()));
  if (!waitUntilServing(Client, WideGroups * bench::GroupShards)) {
    std::cerr << "the entry instance gave no complete answer in 30 s\n";
    return EXIT_FAILURE;
  }
  double Background =
      measureBackground(Under, WideGroups * bench::ReplicaCount);
  comparePaths(Under, Client, BareWorker, Loop, Rounds, Background);
  loseDomain(Under, Client, Wide);
  Callers.join();
  BareWorker.join();
  return EXIT_SUCCESS;
}
