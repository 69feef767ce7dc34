#include "replay/report_func.h"
#include "base/digest_func.h"
#include "replay/queue_floor_func.h"
#include "replay/session_base.h"
#include "replay/trace_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <limits>
#include <optional>
#include <utility>

namespace hickorycrank::replay {

namespace json = boost::json;

namespace {

/** Time in which the goodput must be back after a fault. */
constexpr base::Duration RecoveryTime = std::chrono::seconds(3);

/**
 * Formats like printf.
 * @param Format Format.
 * @return The text.
 */
[[gnu::format(printf, 1, 2)]] std::string format(const char *Format, ...) {
  char Buffer[256];
  va_list Values;
  va_start(Values, Format);
  std::vsnprintf(Buffer, sizeof(Buffer), Format, Values);
  va_end(Values);
  return Buffer;
}

/**
 * Takes a quantile by nearest rank.
 * @param Sorted Values in ascending order.
 * @param Share From 0 to 1.
 * @return The value, or 0 if there is none.
 */
double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty()) {
    return 0;
  }
  auto Rank = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return Sorted[std::max<size_t>(Rank, 1) - 1];
}

/**
 * Divides counts.
 * @param Part Dividend.
 * @param Whole Divisor.
 * @return The ratio, or 0 if the divisor is 0.
 */
double ratio(uint64_t Part, uint64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/**
 * Digests all records, so that two runs can be compared exactly.
 * @param Record The records.
 * @return Hexadecimal SHA-256.
 */
std::string digest(const RunRecord &Record) {
  std::string Text;
  for (const QueryRecord &Query : Record.Queries) {
    int Kind = Query.Refused ? static_cast<int>(*Query.Refused) : -1;
    Text += format("%u %lld %lld %u %u %u %llu %d\n", Query.Class,
                   static_cast<long long>(Query.SentAt.count()),
                   static_cast<long long>(Query.Latency.count()),
                   Query.Answered, Query.Attempts, Query.Runs,
                   static_cast<unsigned long long>(Query.Snapshot), Kind);
  }
  for (const SecondRecord &Second : Record.Seconds) {
    Text += format("%llu %llu %llu\n",
                   static_cast<unsigned long long>(Second.First),
                   static_cast<unsigned long long>(Second.All),
                   static_cast<unsigned long long>(Second.Good));
  }
  return base::sha256Hex(Text);
}

/**
 * Compares the goodput after the last fault with that before the first.
 * @param Source The trace.
 * @param Record What was recorded.
 * @return The ratio; the worst of the seconds from 3 s after the fault on,
 *   each over the mean before.
 */
double goodputRecovery(const Trace &Source, const RunRecord &Record) {
  base::Duration First = Source.Config.Length;
  base::Duration Last{};
  for (const TraceEvent &Event : Source.Events) {
    if (Event.Kind != EventKind::Load) {
      First = std::min(First, Event.At);
      Last = std::max(Last, Event.At + Event.For);
    }
  }
  auto Second = [](base::Duration Time) {
    return static_cast<size_t>(
        std::chrono::ceil<std::chrono::seconds>(Time).count());
  };
  auto Mean = [&Record](size_t From, size_t To) {
    uint64_t Sum = 0;
    for (size_t I = From; I < To && I < Record.Seconds.size(); ++I) {
      Sum += Record.Seconds[I].Good;
    }
    return To > From ? static_cast<double>(Sum) / static_cast<double>(To - From)
                     : 0;
  };
  size_t End = Second(Source.Config.Length);
  double Before = Mean(Second(Source.Config.Warmup), Second(First));
  double After = Mean(Second(Last + RecoveryTime), End);
  return Before > 0 ? After / Before : 0;
}

/** Adds the figures of one query. @param Query The query. @param Deadline Of
 * its class. @param Figures Receives them. @param Latencies Receives it. */
void addQuery(const QueryRecord &Query, base::Duration Deadline,
              Summary &Figures, std::vector<double> &Latencies) {
  ++Figures.Queries;
  if (Query.Refused) {
    ++Figures.Refusals[static_cast<size_t>(*Query.Refused)];
  } else {
    ++Figures.Snapshots[Query.Snapshot];
  }
  if (Query.Crashing) {
    return;
  }
  Figures.Coverage += ratio(Query.Answered, Query.Expected);
  Figures.OthersAffected += Query.Answered < Query.Expected ? 1 : 0;
  Latencies.push_back(
      base::toMilliseconds(Query.Refused ? Deadline : Query.Latency));
}

/**
 * Finds the figure that a bound limits.
 * @param Kind The bound.
 * @param Figures Figures of the run.
 * @param Other Figures of the run it relates to, if it is relative.
 * @return The value.
 */
double measure(BoundKind Kind, const Summary &Figures, const Summary &Other) {
  switch (Kind) {
  case BoundKind::P99OverFaultFree:
  case BoundKind::P99OverNoReports:
  case BoundKind::P99OverQueueFloor:
    return Other.P99Ms > 0 ? Figures.P99Ms / Other.P99Ms
                           : std::numeric_limits<double>::max();
  case BoundKind::ExtraLoad:
    return Figures.ExtraLoad;
  case BoundKind::ExtraLoadAnySecond:
    return Figures.WorstExtraLoad;
  case BoundKind::Coverage:
    return Figures.Coverage;
  case BoundKind::GoodputRecovery:
    return Figures.GoodputRecovery;
  case BoundKind::TimeoutsPerConnection:
    return Figures.MostTimeouts;
  case BoundKind::Ejections:
    return static_cast<double>(Figures.Ejections);
  case BoundKind::RestartShare:
    return ratio(Figures.Restarts, Figures.Queries);
  case BoundKind::ServersLost:
    return Figures.ServersLost;
  case BoundKind::OthersAffected:
    return static_cast<double>(Figures.OthersAffected);
  }
  return 0;
}

/**
 * Runs a trace.
 * @param Source The trace.
 * @param Rules The policy.
 * @return Its figures.
 */
Summary runOnce(const Trace &Source, const routing::Policy &Rules) {
  return summarise(Source, Session(Source, Rules).run());
}

/** @return Figures of one central queue a group, for the work of a run. */
Summary floorSummary(const Trace &Source, const RunRecord &Record) {
  std::vector<double> Latencies;
  for (base::Duration Latency : queueFloor(Source, Record)) {
    Latencies.push_back(base::toMilliseconds(Latency));
  }
  std::sort(Latencies.begin(), Latencies.end());
  Summary Figures;
  Figures.P99Ms = quantile(Latencies, 0.99);
  return Figures;
}

} // namespace

routing::Policy baselinePolicy() {
  routing::Policy Rules;
  Rules.Replica = routing::ReplicaRule::Random;
  Rules.MaxRetries = 3;
  Rules.Hedge = false;
  Rules.Budget = false;
  Rules.Ejection = false;
  Rules.ConcurrencyLimit = false;
  Rules.Admission = false;
  Rules.UseReports = false;
  Rules.Canary = false;
  Rules.IsolateSuspects = false;
  Rules.AttributeTimeoutToConnection = false;
  return Rules;
}

Summary summarise(const Trace &Source, const RunRecord &Record) {
  Summary Figures;
  std::vector<double> Latencies;
  for (const QueryRecord &Query : Record.Queries) {
    if (Query.SentAt >= Source.Config.Warmup) {
      addQuery(Query, Source.Config.Classes[Query.Class].Deadline, Figures,
               Latencies);
    }
  }
  std::sort(Latencies.begin(), Latencies.end());
  Figures.P50Ms = quantile(Latencies, 0.5);
  Figures.P99Ms = quantile(Latencies, 0.99);
  Figures.Coverage /=
      std::max<double>(1, static_cast<double>(Latencies.size()));
  uint64_t First = 0;
  uint64_t All = 0;
  // After the last arrival hardly any first attempts are left to compare with.
  auto From = static_cast<size_t>(
      std::chrono::ceil<std::chrono::seconds>(Source.Config.Warmup).count());
  auto To = static_cast<size_t>(
      std::chrono::floor<std::chrono::seconds>(Source.Config.Length).count());
  for (size_t I = From; I < Record.Seconds.size(); ++I) {
    const SecondRecord &Second = Record.Seconds[I];
    First += Second.First;
    All += Second.All;
    if (I < To) {
      double Extra = static_cast<double>(Second.All - Second.First) /
                     std::max<double>(1, static_cast<double>(Second.First));
      Figures.WorstExtraLoad = std::max(Figures.WorstExtraLoad, Extra);
    }
  }
  Figures.AttemptsPerShard = ratio(All, First);
  Figures.ExtraLoad = ratio(All - First, First);
  Figures.GoodputRecovery = goodputRecovery(Source, Record);
  Figures.MostTimeouts = Record.MostTimeouts;
  Figures.Ejections = Record.Counters.Ejections;
  Figures.Restarts = Record.Counters.Restarts;
  Figures.ServersLost = Record.ServersLost;
  Figures.Violations = Record.ViolationCount;
  Figures.ViolationTexts = Record.Violations;
  Figures.Digest = digest(Record);
  return Figures;
}

Row replayTrace(const Trace &Source, const std::string &Policy,
                const routing::Policy &Rules) {
  Row Result;
  Result.Trace = Source.Config.Name;
  Result.Policy = Policy;
  RunRecord Record = Session(Source, Rules).run();
  Result.Figures = summarise(Source, Record);
  Result.Passed = Result.Figures.Violations == 0;
  std::optional<Summary> FaultFree;
  std::optional<Summary> NoReports;
  for (const Bound &Stated : Source.Bounds) {
    Summary Other;
    if (Stated.Kind == BoundKind::P99OverFaultFree) {
      FaultFree = FaultFree ? FaultFree : runOnce(withoutFaults(Source), Rules);
      Other = *FaultFree;
    } else if (Stated.Kind == BoundKind::P99OverNoReports) {
      routing::Policy Blind = Rules;
      Blind.UseReports = false;
      NoReports = NoReports ? NoReports : runOnce(Source, Blind);
      Other = *NoReports;
    } else if (Stated.Kind == BoundKind::P99OverQueueFloor) {
      Other = floorSummary(Source, Record);
    }
    double Measured = measure(Stated.Kind, Result.Figures, Other);
    bool Smallest = Stated.Kind == BoundKind::Coverage ||
                    Stated.Kind == BoundKind::GoodputRecovery;
    bool Held = Smallest ? Measured >= Stated.Limit : Measured <= Stated.Limit;
    Result.Bounds.push_back({Stated, Measured, Held});
    Result.Passed = Result.Passed && Held;
  }
  return Result;
}

std::string tableHeading() {
  return format("%-34s %-9s %8s %8s %8s %9s %7s %-6s %s\n", "trace", "policy",
                "p50 ms", "p99 ms", "coverage", "att/shard", "worst+", "passed",
                "refusals");
}

std::string toTable(const Row &Source) {
  const Summary &Figures = Source.Figures;
  std::string Refusals;
  for (size_t I = 0; I < query::RefusalKindCount; ++I) {
    if (Figures.Refusals[I] != 0) {
      Refusals += format("%s%s=%llu", Refusals.empty() ? "" : " ",
                         query::toString(static_cast<query::RefusalKind>(I)),
                         static_cast<unsigned long long>(Figures.Refusals[I]));
    }
  }
  std::string Text =
      format("%-34s %-9s %8.2f %8.2f %8.5f %9.4f %7.4f %-6s ",
             Source.Trace.c_str(), Source.Policy.c_str(), Figures.P50Ms,
             Figures.P99Ms, Figures.Coverage, Figures.AttemptsPerShard,
             Figures.WorstExtraLoad, Source.Passed ? "yes" : "no");
  Text += (Refusals.empty() ? "-" : Refusals) + "\n";
  for (const BoundResult &Entry : Source.Bounds) {
    if (!Entry.Held) {
      Text += format("  missed: %s is %.4f, stated %.4f\n",
                     toString(Entry.Stated.Kind), Entry.Measured,
                     Entry.Stated.Limit);
    }
  }
  for (const std::string &Broken : Figures.ViolationTexts) {
    Text += "  broken: " + Broken + "\n";
  }
  return Text;
}

std::string toJson(const Row &Source) {
  const Summary &Figures = Source.Figures;
  json::object Refusals;
  for (size_t I = 0; I < query::RefusalKindCount; ++I) {
    if (Figures.Refusals[I] != 0) {
      Refusals[query::toString(static_cast<query::RefusalKind>(I))] =
          Figures.Refusals[I];
    }
  }
  json::array Bounds;
  for (const BoundResult &Entry : Source.Bounds) {
    Bounds.push_back(json::object{{"bound", toString(Entry.Stated.Kind)},
                                  {"stated", Entry.Stated.Limit},
                                  {"measured", Entry.Measured},
                                  {"held", Entry.Held}});
  }
  json::array Broken;
  for (const std::string &Text : Figures.ViolationTexts) {
    Broken.emplace_back(Text);
  }
  json::object Snapshots;
  for (const auto &[Version, Count] : Figures.Snapshots) {
    Snapshots[std::to_string(Version)] = Count;
  }
  return json::serialize(
      json::object{{"trace", Source.Trace},
                   {"policy", Source.Policy},
                   {"queries", Figures.Queries},
                   {"p50_ms", Figures.P50Ms},
                   {"p99_ms", Figures.P99Ms},
                   {"coverage", Figures.Coverage},
                   {"attempts_per_shard", Figures.AttemptsPerShard},
                   {"worst_extra_load", Figures.WorstExtraLoad},
                   {"ejections", Figures.Ejections},
                   {"restarts", Figures.Restarts},
                   {"servers_lost", Figures.ServersLost},
                   {"refusals", std::move(Refusals)},
                   {"snapshots", std::move(Snapshots)},
                   {"bounds", std::move(Bounds)},
                   {"broken_promises", Figures.Violations},
                   {"broken", std::move(Broken)},
                   {"passed", Source.Passed},
                   {"digest", Figures.Digest}});
}

} // namespace hickorycrank::replay
