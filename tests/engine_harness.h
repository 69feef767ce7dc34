#ifndef HICKORYCRANK_TESTS_ENGINE_HARNESS_H
#define HICKORYCRANK_TESTS_ENGINE_HARNESS_H

#include "query/engine_base.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorycrank::tests {

/** @return The answer of a response, or nullptr. */
inline const query::Answer *answerOf(const query::Respond &Response) {
  return std::get_if<query::Answer>(&Response.Result);
}

/** @return The refusal of a response, or nullptr. */
inline const query::Refusal *refusalOf(const query::Respond &Response) {
  return std::get_if<query::Refusal>(&Response.Result);
}

/** Drives an engine in virtual time and records its actions. */
class EngineHarness {
public:
  explicit EngineHarness(routing::Policy Rules = {}, uint32_t Share = 6)
      : Engine(query::EngineBuilder()
                   .rules(Rules)
                   .domain(base::FailureDomainId("a"))
                   .serverConcurrency(3)
                   .connectionShare(Share)
                   .seed(7)
                   .build()) {}

  /** Adds servers that all hold every shard of the given versions. */
  void addServers(size_t Count, size_t Shards,
                  const std::vector<uint64_t> &Versions = {1}) {
    std::vector<routing::ServerListing> Listed;
    for (size_t I = 0; I < Count; ++I) {
      Listed.push_back({base::ServerId("s" + std::to_string(I)),
                        "127.0.0.1:" + std::to_string(1000 + I),
                        base::FailureDomainId("a"), base::Incarnation(1),
                        false});
    }
    this->Engine.onServerList(this->Now, Listed, this->Out);
    for (size_t I = 0; I < Count; ++I) {
      this->report(I, Shards, Versions);
    }
    // Skip the slow start of the new servers.
    this->Now += std::chrono::seconds(30);
  }

  /** Applies a report of the versions that one server holds. */
  void report(size_t Index, size_t Shards,
              const std::vector<uint64_t> &Versions, uint64_t Process = 1,
              bool Leaving = false) {
    routing::ServerReport Report;
    Report.Server = base::ServerId("s" + std::to_string(Index));
    Report.Process = base::Incarnation(Process);
    Report.Leaving = Leaving;
    Report.HasVersions = true;
    for (uint64_t Version : Versions) {
      Report.Versions.push_back(this->holding(Version, Shards));
    }
    this->Engine.onServerReport(this->Now, Report, this->Out);
  }

  /** @return A report entry of a server that holds all shards of a version. */
  routing::VersionReport holding(uint64_t Version, size_t Shards) {
    auto &Layout = this->Layouts[{Version, Shards}];
    if (!Layout) {
      Layout = std::make_shared<routing::Layout>();
      Layout->Version = base::VersionId(Version);
      for (size_t I = 0; I < Shards; ++I) {
        Layout->Shards.push_back("shard-" + std::to_string(I));
      }
    }
    routing::VersionReport Report;
    Report.ShardLayout = Layout;
    for (uint32_t I = 0; I < Shards; ++I) {
      Report.Holds.emplace_back(I);
    }
    return Report;
  }

  /** Creates a request to all shards. */
  std::shared_ptr<query::Request> request(const std::string &Content = "q") {
    auto Template = std::make_shared<config::TemplateDoc>();
    Template->Name = base::TemplateId("t");
    Template->CoverageGoal = 1.0;
    Template->CoverageFloor = 0.5;
    auto Organisation = std::make_shared<config::OrganisationDoc>();
    Organisation->Name = base::OrganisationId("o");
    auto Source = std::make_shared<query::Request>();
    Source->Template = Template;
    Source->Organisation = Organisation;
    Source->Parameters.Json = "{}";
    Source->Parameters.Content =
        base::Fingerprint(std::hash<std::string>()(Content));
    Source->Parameters.Shape = base::Fingerprint(1);
    Source->Deadline = this->Now + std::chrono::seconds(1);
    return Source;
  }

  /** Creates the same request with a modified template. */
  template <typename Edit>
  std::shared_ptr<query::Request>
  requestWith(Edit Apply, const std::string &Content = "q") {
    auto Source = this->request(Content);
    auto Template = std::make_shared<config::TemplateDoc>(*Source->Template);
    Apply(*Template);
    Source->Template = Template;
    return Source;
  }

  /** Submits a request. @return The identifier of its query. */
  base::QueryId submit(std::shared_ptr<const query::Request> Source) {
    base::QueryId Query(this->NextQuery++);
    this->Engine.onRequest(this->Now, Query, std::move(Source), this->Out);
    return Query;
  }

  /** Replies to an attempt. @return Whether its connection may be reused. */
  bool reply(const query::SendAttempt &Attempt,
             query::ReplyStatus Status = query::ReplyStatus::Ok,
             query::ExecutionState Ran = query::ExecutionState::MayHaveRun) {
    query::Reply Received;
    Received.Echo = Attempt.Id;
    Received.Version = Attempt.Version;
    Received.Status = Status;
    Received.Ran = Ran;
    Received.Records = 10;
    Received.RecordsTotal = 10;
    return this->Engine.onReply(this->Now, Attempt.Ref, std::move(Received),
                                this->Out);
  }

  /** Reports the failure of an attempt. */
  void fail(const query::SendAttempt &Attempt, query::FailureKind Kind,
            bool BytesSent) {
    this->Engine.onAttemptFailed(this->Now, Attempt.Ref, Kind, BytesSent,
                                 this->Out);
  }

  /** Advances the time in steps of 5 ms, with a tick after each. */
  void advance(std::chrono::milliseconds Span) {
    auto End = this->Now + Span;
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(5);
      this->Engine.onTick(this->Now, this->Out);
    }
  }

  /** Removes and returns the recorded actions of one type. */
  template <typename Kind> std::vector<Kind> take() {
    std::vector<Kind> Taken;
    query::Actions Rest;
    for (query::Action &Item : this->Out) {
      if (auto *Match = std::get_if<Kind>(&Item)) {
        Taken.push_back(std::move(*Match));
      } else {
        Rest.push_back(std::move(Item));
      }
    }
    this->Out = std::move(Rest);
    return Taken;
  }

  /** Makes the engine observe a latency by queries that are answered. */
  void learnLatency(size_t Count, std::chrono::milliseconds Latency) {
    for (size_t I = 0; I < Count; ++I) {
      this->submit(this->request("learn" + std::to_string(I)));
      auto Sent = this->take<query::SendAttempt>();
      this->Now += Latency;
      for (size_t J = 0; J < Sent.size(); ++J) {
        this->reply(Sent[J]);
        for (auto &More : this->take<query::SendAttempt>()) {
          Sent.push_back(More);
        }
      }
      this->take<query::Respond>();
    }
  }

  base::TimePoint Now{std::chrono::hours(1)};
  query::Actions Out;
  query::Engine Engine;

private:
  std::map<std::pair<uint64_t, size_t>, std::shared_ptr<routing::Layout>>
      Layouts;
  uint64_t NextQuery = 1;
};

} // namespace hickorycrank::tests

#endif
