#ifndef HICKORYCRANK_TESTS_FORWARD_HARNESS_H
#define HICKORYCRANK_TESTS_FORWARD_HARNESS_H

#include "forward/engine_base.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorycrank::tests {

/** Drives a forwarding engine by hand on virtual time. */
class ForwardHarness {
public:
  explicit ForwardHarness(limits::ExtraAttemptLimits Extra = {0.2, 50})
      : Engine(forward::EngineOptions{base::FailureDomainId("a"), Extra}, 7) {}

  /** @return A route to one service. */
  static forward::Route single(bool Idempotent) {
    forward::Route Made;
    Made.Name = "single";
    Made.Host = "one.example";
    Made.Prefix = "/one/";
    Made.Idempotent = Idempotent;
    Made.Timeout = std::chrono::milliseconds(4'000);
    Made.Target = std::chrono::milliseconds(600);
    Made.MaxAttempts = 2;
    Made.Choices = {{"one", 1}};
    return Made;
  }

  /** @return A route to shards "s0", "s1" and so on. */
  static forward::Route wide(size_t Shards, double MinShare) {
    forward::Route Made;
    Made.Name = "wide";
    Made.Host = "wide.example";
    Made.Prefix = "/wide/";
    Made.Idempotent = true;
    Made.Timeout = std::chrono::milliseconds(1'500);
    Made.Target = std::chrono::milliseconds(150);
    Made.MaxAttempts = 2;
    Made.TopK = 4;
    Made.MinShardShare = MinShare;
    for (size_t I = 0; I < Shards; ++I) {
      Made.Shards.push_back("s" + std::to_string(I));
    }
    return Made;
  }

  /** Puts routes in force under the next version. */
  void publish(std::vector<forward::Route> Routes) {
    auto Table = std::make_shared<forward::RouteTable>();
    Table->Version = ++this->Version;
    for (const forward::Route &Entry : Routes) {
      for (const auto &Choice : Entry.Choices) {
        Table->Services[Choice.Service].MaxConnections = 30;
      }
      for (const std::string &Shard : Entry.Shards) {
        Table->Services[Shard].MaxConnections = 30;
      }
    }
    Table->Routes = std::move(Routes);
    this->Engine.onRoutes(Table);
  }

  /** Lists a server; announce() makes the list known. */
  forward::ServerEntry &addServer(const std::string &Service,
                                  const std::string &Id,
                                  const std::string &Domain = "a") {
    forward::ServerEntry Entry;
    Entry.Id = base::ServerId(Id);
    Entry.Service = Service;
    Entry.Address = "127.0.0.1:" + std::to_string(++this->Port);
    Entry.Domain = base::FailureDomainId(Domain);
    Entry.Slots = 3;
    Entry.StartedAt = 1;
    this->Listed.push_back(Entry);
    return this->Listed.back();
  }

  /** Lists servers NAME-a, NAME-b and NAME-c, one in each failure domain. */
  void addReplicas(const std::string &Service, size_t Count = 3) {
    static const char *Domains[] = {"a", "b", "c"};
    for (size_t I = 0; I < Count; ++I) {
      this->addServer(Service, Service + "-" + Domains[I % 3], Domains[I % 3]);
    }
  }

  void announce() {
    this->Engine.onServers(this->Now, this->Listed, this->Out);
  }

  /** Sends a caller's request. */
  forward::CallId
  ask(const std::string &Host, const std::string &Target,
      base::Duration Remaining = std::chrono::milliseconds(1'500),
      uint64_t Content = 1) {
    forward::CallRequest Request;
    Request.Host = Host;
    Request.Target = Target;
    Request.Remaining = Remaining;
    Request.Content = base::Fingerprint(Content);
    return this->Engine.onRequest(this->Now, Request, this->Out);
  }

  /** @return A good reply. */
  static forward::Reply good(const std::string &Signature,
                             const std::string &Body = "") {
    forward::Reply Made;
    Made.Status = 200;
    Made.Signature = Signature;
    Made.Body = Body;
    return Made;
  }

  void reply(const forward::SendAttempt &To, forward::Reply Received) {
    this->Engine.onReply(this->Now, To.Ref, To.Server, std::move(Received),
                         this->Out);
  }

  void fail(const forward::SendAttempt &To, forward::AttemptFailure Kind) {
    this->Engine.onFailure(this->Now, To.Ref, To.Server, Kind, this->Out);
  }

  /** Lets time pass in steps of 1 ms. */
  void pass(base::Duration Time) {
    for (base::Duration Step{}; Step < Time;
         Step += std::chrono::milliseconds(1)) {
      this->Now += std::chrono::milliseconds(1);
      this->Engine.onTick(this->Now, this->Out);
    }
  }

  /** Takes all recorded actions of one kind; the others stay. */
  template <typename Kind> std::vector<Kind> take() {
    std::vector<Kind> Taken;
    forward::Actions Others;
    for (forward::Action &Entry : this->Out) {
      if (auto *Found = std::get_if<Kind>(&Entry)) {
        Taken.push_back(std::move(*Found));
      } else {
        Others.push_back(std::move(Entry));
      }
    }
    this->Out = std::move(Others);
    return Taken;
  }

  /** @return The refusal of a final answer, or nullptr. */
  static const forward::Refusal *refusal(const forward::RespondCall &Final) {
    return std::get_if<forward::Refusal>(&Final.Result);
  }
  /** @return The merged answer of a final answer, or nullptr. */
  static const forward::MergedAnswer *
  merged(const forward::RespondCall &Final) {
    return std::get_if<forward::MergedAnswer>(&Final.Result);
  }

  /** @return An engine with a service of three servers behind one route. */
  static ForwardHarness singleService(bool Idempotent) {
    ForwardHarness Test;
    Test.publish({single(Idempotent)});
    Test.addReplicas("one");
    Test.announce();
    return Test;
  }

  /** @return An engine with ten shards of three servers behind one route. */
  static ForwardHarness tenShards(double MinShare = 0.89) {
    ForwardHarness Test;
    Test.publish({wide(10, MinShare)});
    for (size_t I = 0; I < 10; ++I) {
      Test.addReplicas("s" + std::to_string(I));
    }
    Test.announce();
    return Test;
  }

  /** @return The same with a second route to these shards, "/urgent/", whose
   * target is 60 ms. */
  static ForwardHarness withUrgentRoute() {
    ForwardHarness Test = tenShards();
    forward::Route Urgent = wide(10, 0.75);
    Urgent.Name = "urgent";
    Urgent.Prefix = "/urgent/";
    Urgent.Target = std::chrono::milliseconds(60);
    Test.publish({wide(10, 0.89), Urgent});
    return Test;
  }

  forward::Engine Engine;
  base::TimePoint Now{std::chrono::hours(1)};
  forward::Actions Out;
  std::vector<forward::ServerEntry> Listed;

private:
  uint64_t Version = 0;
  int Port = 1'000;
};

} // namespace hickorycrank::tests

#endif
