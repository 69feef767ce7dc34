#include "daemon/ticket_service_base.h"

#include "base/digest_func.h"
#include "daemon/log_func.h"
#include "daemon/request_func.h"
#include "once/ticket_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using once::Verdict;
using query::ExecutionState;
using query::Refusal;
using query::RefusalKind;

namespace {

constexpr size_t SecretBytes = 32;
// Retry delays advised to callers.
constexpr std::chrono::milliseconds NotReadyRetryAfter(500);
constexpr std::chrono::milliseconds ShuttingDownRetryAfter(50);
constexpr std::chrono::milliseconds UnreachableRetryAfter(500);
constexpr std::chrono::milliseconds RegistryFullRetryAfter(5'000);

/**
 * Converts a rejecting verdict to a refusal. Its run state describes
 * the rejected request, not an earlier one with the same ticket: a request with
 * a ticket of another organisation or with different content cannot have run.
 * @param Decision The verdict.
 * @return The refusal.
 */
Refusal toRefusal(Verdict Decision) {
  switch (Decision) {
  case Verdict::Reused:
    return {RefusalKind::TicketReused, ExecutionState::NotRun, std::nullopt,
            "this ticket was used for another request; take a new one"};
  case Verdict::OtherOrganisation:
    return {RefusalKind::TicketUnknown, ExecutionState::NotRun, std::nullopt,
            "take a ticket of your organisation with POST /v1/tickets"};
  case Verdict::Full:
    return {RefusalKind::Overloaded, ExecutionState::NotRun,
            RegistryFullRetryAfter,
            "too many tickets are in use at their issuer; retry later or take "
            "a ticket of another instance"};
  case Verdict::ResponseDropped:
    return {RefusalKind::TicketUnknown, ExecutionState::MayHaveRun,
            std::nullopt,
            "the request has finished but its response is no longer kept; "
            "check its effect before you send it with a new ticket"};
  default:
    return {RefusalKind::TicketUnknown, ExecutionState::MayHaveRun,
            std::nullopt,
            "the ticket expired or its issuer restarted; if you sent it "
            "before, check the effect before you use a new ticket"};
  }
}

/**
 * Converts a failed call to the issuer to a refusal.
 * @param Reason The failure.
 * @return The refusal.
 */
Refusal toRefusal(PeerCallError Reason) {
  if (Reason == PeerCallError::NotSent) {
    return {RefusalKind::IssuerUnreachable, ExecutionState::NotRun,
            UnreachableRetryAfter,
            "the instance that issued the ticket cannot be reached; retry with "
            "this ticket, or take a new one unless you sent this one before"};
  }
  return {RefusalKind::IssuerUnreachable, ExecutionState::MayHaveRun,
          UnreachableRetryAfter,
          "the instance that issued the ticket did not reply; retry with the "
          "same ticket to learn the outcome"};
}

} // namespace

TicketService::TicketService(boost::asio::io_context &Context, Tier &QueryTier,
                             base::Incarnation Process)
    : Context(Context), QueryTier(QueryTier),
      Registry(QueryTier.settings().Instance, Process,
               base::randomBytes(SecretBytes)) {}

void TicketService::setPeerCallFunction(PeerCallFunction CallPeer) {
  std::lock_guard Lock(this->Mutex);
  this->Call = std::move(CallPeer);
}

std::string TicketService::issue(const base::OrganisationId &Organisation) {
  std::lock_guard Lock(this->Mutex);
  return once::formatTicket(this->Registry.issue(Clock::now(), Organisation,
                                                 base::randomAttemptId()));
}

void TicketService::expire(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Registry.expire(Now);
}

size_t TicketService::running() const {
  std::lock_guard Lock(this->Mutex);
  return this->Waiters.size();
}

void TicketService::submit(const TicketedRequest &Source, Callback Done) {
  auto ParsedTicket = once::parseTicket(Source.Ticket);
  if (!ParsedTicket) {
    // Possibly issued by a version with another format, so it may have run.
    Done(makeTicketedResponse(Source.RequestId, toRefusal(Verdict::Forged)));
    return;
  }
  if (ParsedTicket->Organisation != Source.Organisation) {
    Done(makeTicketedResponse(Source.RequestId,
                              toRefusal(Verdict::OtherOrganisation)));
    return;
  }
  if (ParsedTicket->Issuer == this->QueryTier.settings().Instance) {
    this->runHere(Source, *ParsedTicket, std::move(Done));
    return;
  }
  this->forward(Source, *ParsedTicket, std::move(Done));
}

TicketService::Prepared TicketService::prepare(const TicketedRequest &Source) {
  Prepared Outcome;
  auto Refuse = [&Outcome](
                    RefusalKind Kind, std::string Remedy,
                    std::optional<std::chrono::milliseconds> Retry = {}) {
    Outcome.Reason = {Kind, ExecutionState::NotRun, Retry, std::move(Remedy)};
    return Outcome;
  };
  auto InForce = this->QueryTier.configuration();
  if (this->QueryTier.State == Readiness::Draining) {
    return Refuse(RefusalKind::ShuttingDown,
                  "the ticket's issuer is shutting down; take a new ticket",
                  ShuttingDownRetryAfter);
  }
  if (!InForce || this->QueryTier.State != Readiness::Ready) {
    return Refuse(RefusalKind::NotReady,
                  "the ticket's issuer has no configuration yet; retry later",
                  NotReadyRetryAfter);
  }
  auto Organisation = InForce->Organisations.find(Source.Organisation);
  auto Template = InForce->Templates.find(Source.Template);
  if (Organisation == InForce->Organisations.end() ||
      Template == InForce->Templates.end() ||
      Organisation->second->Templates.count(Source.Template) == 0) {
    return Refuse(RefusalKind::UnknownTemplate,
                  "the ticket's issuer does not know this template of your "
                  "organisation");
  }
  if (Template->second->Idempotent) {
    // Under this configuration it would be hedged and retried.
    return Refuse(RefusalKind::NotReady,
                  "the ticket's issuer has another revision of this template; "
                  "retry later",
                  NotReadyRetryAfter);
  }
  auto Remaining = Source.DeadlineWall - wallClockNow();
  auto Limit = std::min<base::Duration>(Remaining, Template->second->Deadline);
  if (Limit <= base::Duration::zero()) {
    return Refuse(RefusalKind::DeadlinePassed,
                  "the deadline has passed; send it with a later one");
  }
  auto Built =
      buildRequest({Source.RequestId, Template->second, Organisation->second,
                    Source.Body, Clock::now() + Limit, Source.DeadlineWall});
  if (Built.has_error()) {
    return Refuse(RefusalKind::BadRequest, Built.error().Message);
  }
  Outcome.Engine = this->QueryTier.serviceEngine(Template->second->Service);
  if (!Outcome.Engine) {
    return Refuse(RefusalKind::NoSnapshot,
                  "the backend service is not known yet; retry later",
                  NotReadyRetryAfter);
  }
  Outcome.Source = std::move(Built.value());
  return Outcome;
}

void TicketService::runHere(const TicketedRequest &Source,
                            const once::Ticket &ParsedTicket, Callback Done) {
  Prepared PreparedRequest = this->prepare(Source);
  std::string Content = once::contentDigest(Source.Template.Value, Source.Body);
  once::TicketDecision Result;
  {
    std::lock_guard Lock(this->Mutex);
    base::TimePoint Now = Clock::now();
    // A request that cannot be executed must not consume its ticket.
    Result = PreparedRequest.Source
                 ? this->Registry.use(Now, ParsedTicket, Source.Organisation,
                                      Content)
                 : this->Registry.check(Now, ParsedTicket, Source.Organisation,
                                        Content);
    bool MustWait = Result.Decision == Verdict::Wait ||
                    (Result.Decision == Verdict::Run && PreparedRequest.Source);
    if (MustWait) {
      auto Added = std::make_shared<Waiter>(this->Context);
      Added->Done.swap(Done);
      if (Result.Decision == Verdict::Wait) {
        Added->Timer.expires_after(Source.DeadlineWall - wallClockNow());
        Added->Timer.async_wait(
            [Self = this->shared_from_this(), Added, Nonce = ParsedTicket.Nonce,
             Id = Source.RequestId](boost::system::error_code Failure) {
              if (!Failure) {
                Self->onWaiterDue(Nonce, Added, Id);
              }
            });
      }
      this->Waiters[ParsedTicket.Nonce].push_back(std::move(Added));
    }
  }
  this->QueryTier.metrics().add("hickorycrank_ticket_verdicts",
                                {{"verdict", toString(Result.Decision)}});
  if (Result.Decision == Verdict::Wait) {
    return;
  }
  if (Result.Decision == Verdict::Run && PreparedRequest.Source) {
    PreparedRequest.Engine->submit(
        PreparedRequest.Source,
        [Self = this->shared_from_this(), Nonce = ParsedTicket.Nonce,
         Ran = PreparedRequest.Source](const query::Response &QueryResult) {
          Self->onFinished(Nonce, *Ran, QueryResult);
        });
    return;
  }
  if (Result.Decision == Verdict::Replay) {
    if (auto Recorded = decodeTicketedResponse(Result.Response)) {
      Done(std::move(*Recorded));
      return;
    }
    Result.Decision = Verdict::ResponseDropped;
  }
  Done(
      makeTicketedResponse(Source.RequestId, Result.Decision == Verdict::Run
                                                 ? PreparedRequest.Reason
                                                 : toRefusal(Result.Decision)));
}

void TicketService::onFinished(base::AttemptId Nonce,
                               const query::Request &Source,
                               const query::Response &Result) {
  TicketedResponse TicketResponse =
      makeTicketedResponse(Source.RequestId, Result);
  std::string Record = encodeTicketedResponse(TicketResponse);
  std::vector<Callback> Waiting;
  {
    std::lock_guard Lock(this->Mutex);
    this->Registry.finish(Nonce, std::move(Record));
    for (const WaiterPointer &Entry : this->Waiters[Nonce]) {
      Entry->Timer.cancel();
      Waiting.push_back(std::exchange(Entry->Done, {}));
    }
    this->Waiters.erase(Nonce);
  }
  if (const auto *Answered = std::get_if<query::Answer>(&Result)) {
    this->QueryTier.metrics().recordShare(
        "hickorycrank_answer_coverage",
        {{"template", Source.Template->Name.Value},
         {"organisation", Source.Organisation->Name.Value}},
        static_cast<double>(Answered->Covered.Answered) /
            static_cast<double>(Answered->Covered.Expected));
  }
  logEvent(LogLevel::Info, "ticket.run_finished",
           {{"request_id", Source.RequestId},
            {"kind", TicketResponse.Kind},
            {"ran", TicketResponse.Ran},
            {"waiters", std::to_string(Waiting.size())}});
  for (const Callback &Done : Waiting) {
    Done(TicketResponse);
  }
}

void TicketService::onWaiterDue(base::AttemptId Nonce, const WaiterPointer &Due,
                                const std::string &RequestId) {
  Callback Done;
  {
    std::lock_guard Lock(this->Mutex);
    auto Found = this->Waiters.find(Nonce);
    if (!Due->Done || Found == this->Waiters.end()) {
      return;
    }
    Done = std::exchange(Due->Done, {});
    std::erase(Found->second, Due);
  }
  Done(makeTicketedResponse(
      RequestId,
      Refusal{RefusalKind::DeadlineExceeded, ExecutionState::MayHaveRun,
              std::nullopt,
              "the first request with this ticket has not finished; send "
              "it again with the same ticket"}));
}

void TicketService::forward(const TicketedRequest &Source,
                            const once::Ticket &ParsedTicket, Callback Done) {
  PeerCallFunction CallPeer;
  {
    std::lock_guard Lock(this->Mutex);
    CallPeer = this->Call;
  }
  auto Remaining = Source.DeadlineWall - wallClockNow();
  if (!CallPeer) {
    Done(makeTicketedResponse(Source.RequestId,
                              toRefusal(PeerCallError::NotSent)));
    return;
  }
  CallPeer(ParsedTicket.Issuer, ParsedTicket.IssuerIncarnation,
           encodeTicketedRequest(Source), Clock::now() + Remaining,
           [Id = Source.RequestId,
            Done = std::move(Done)](const PeerCallResult &Result) {
             PeerCallError Reason = PeerCallError::NoReply;
             if (const auto *Bytes = std::get_if<std::string>(&Result)) {
               if (auto TicketResponse = decodeTicketedResponse(*Bytes)) {
                 Done(std::move(*TicketResponse));
                 return;
               }
             } else {
               Reason = std::get<PeerCallError>(Result);
             }
             Done(makeTicketedResponse(Id, toRefusal(Reason)));
           });
}

PeerCallHandler TicketService::peerCallHandler() {
  return [Weak = this->weak_from_this()](
             const std::string &Payload,
             const std::function<void(std::string)> &Reply) {
    auto Self = Weak.lock();
    auto Source = decodeTicketedRequest(Payload);
    auto ParsedTicket =
        Source ? once::parseTicket(Source->Ticket) : std::nullopt;
    if (!Self || !ParsedTicket) {
      Reply(std::string()); // The calling instance treats it as a lost reply.
      return;
    }
    Self->runHere(*Source, *ParsedTicket,
                  [Reply](const TicketedResponse &TicketResponse) {
                    Reply(encodeTicketedResponse(TicketResponse));
                  });
  };
}

} // namespace hickorycrank::daemon
