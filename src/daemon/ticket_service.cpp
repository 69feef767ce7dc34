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
constexpr std::chrono::milliseconds NotReadyRetry(500);
constexpr std::chrono::milliseconds ShuttingDownRetry(50);
constexpr std::chrono::milliseconds UnreachableRetry(500);
constexpr std::chrono::milliseconds FullRetry(5'000);

/**
 * Maps a verdict that neither runs, waits nor replays to a refusal. The refusal
 * speaks of the request that was sent: under a ticket of another organisation
 * or with another content it cannot have run.
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
    return {RefusalKind::Overloaded, ExecutionState::NotRun, FullRetry,
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
 * Maps a failed call of the issuer to a refusal.
 * @param Reason The failure.
 * @return The refusal.
 */
Refusal toRefusal(PeerCallError Reason) {
  if (Reason == PeerCallError::NotSent) {
    return {RefusalKind::IssuerUnreachable, ExecutionState::NotRun,
            UnreachableRetry,
            "the instance that issued the ticket cannot be reached; retry with "
            "this ticket, or take a new one unless you sent this one before"};
  }
  return {RefusalKind::IssuerUnreachable, ExecutionState::MayHaveRun,
          UnreachableRetry,
          "the instance that issued the ticket did not reply; retry with the "
          "same ticket to learn the outcome"};
}

} // namespace

TicketService::TicketService(boost::asio::io_context &Context, Tier &Serving,
                             base::Incarnation Process)
    : Context(Context), Serving(Serving),
      Registry(Serving.settings().Instance, Process,
               base::randomBytes(SecretBytes)) {}

void TicketService::setPeerCall(PeerCall NewCall) {
  std::lock_guard Lock(this->Mutex);
  this->Call = std::move(NewCall);
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
  auto Offered = once::parseTicket(Source.Ticket);
  if (!Offered) {
    // May come from a version with another format: nothing is known of it.
    Done(toTicketed(Source.RequestId, toRefusal(Verdict::Forged)));
    return;
  }
  if (Offered->Organisation != Source.Organisation) {
    Done(toTicketed(Source.RequestId, toRefusal(Verdict::OtherOrganisation)));
    return;
  }
  if (Offered->Issuer == this->Serving.settings().Instance) {
    this->runHere(Source, *Offered, std::move(Done));
    return;
  }
  this->forward(Source, *Offered, std::move(Done));
}

TicketService::Prepared TicketService::prepare(const TicketedRequest &Source) {
  Prepared Made;
  auto Refuse = [&Made](RefusalKind Kind, std::string Remedy,
                        std::optional<std::chrono::milliseconds> Retry = {}) {
    Made.Reason = {Kind, ExecutionState::NotRun, Retry, std::move(Remedy)};
    return Made;
  };
  auto InForce = this->Serving.configuration();
  if (this->Serving.State == Readiness::Draining) {
    return Refuse(RefusalKind::ShuttingDown,
                  "the ticket's issuer stops; take a new ticket",
                  ShuttingDownRetry);
  }
  if (!InForce || this->Serving.State != Readiness::Ready) {
    return Refuse(RefusalKind::NotReady,
                  "the ticket's issuer has no configuration yet; retry later",
                  NotReadyRetry);
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
    // Run under this configuration, it would be hedged and retried.
    return Refuse(RefusalKind::NotReady,
                  "the ticket's issuer has another revision of this template; "
                  "retry later",
                  NotReadyRetry);
  }
  auto Remaining = Source.DeadlineWall - wallNow();
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
  Made.Shard = this->Serving.shard(Template->second->Service);
  if (!Made.Shard) {
    return Refuse(RefusalKind::NoSnapshot,
                  "the backend service is not known yet; retry later",
                  NotReadyRetry);
  }
  Made.Source = std::move(Built.value());
  return Made;
}

void TicketService::runHere(const TicketedRequest &Source,
                            const once::Ticket &Offered, Callback Done) {
  Prepared Ready = this->prepare(Source);
  std::string Content = once::contentDigest(Source.Template.Value, Source.Body);
  once::TicketDecision Result;
  {
    std::lock_guard Lock(this->Mutex);
    base::TimePoint Now = Clock::now();
    // A request that cannot be run must not use up its ticket.
    Result =
        Ready.Source
            ? this->Registry.use(Now, Offered, Source.Organisation, Content)
            : this->Registry.check(Now, Offered, Source.Organisation, Content);
    bool Joins = Result.Decision == Verdict::Wait ||
                 (Result.Decision == Verdict::Run && Ready.Source);
    if (Joins) {
      auto Added = std::make_shared<Waiter>(this->Context);
      Added->Done.swap(Done);
      if (Result.Decision == Verdict::Wait) {
        Added->Timer.expires_after(Source.DeadlineWall - wallNow());
        Added->Timer.async_wait(
            [Self = this->shared_from_this(), Added, Nonce = Offered.Nonce,
             Id = Source.RequestId](boost::system::error_code Failure) {
              if (!Failure) {
                Self->onWaiterDue(Nonce, Added, Id);
              }
            });
      }
      this->Waiters[Offered.Nonce].push_back(std::move(Added));
    }
  }
  this->Serving.metrics().add("hickorycrank_ticket_verdicts",
                              {{"verdict", toString(Result.Decision)}});
  if (Result.Decision == Verdict::Wait) {
    return;
  }
  if (Result.Decision == Verdict::Run && Ready.Source) {
    Ready.Shard->submit(Ready.Source,
                        [Self = this->shared_from_this(), Nonce = Offered.Nonce,
                         Ran = Ready.Source](const query::Response &Given) {
                          Self->onFinished(Nonce, *Ran, Given);
                        });
    return;
  }
  if (Result.Decision == Verdict::Replay) {
    if (auto Recorded = decodeTicketed(Result.Response)) {
      Done(std::move(*Recorded));
      return;
    }
    Result.Decision = Verdict::ResponseDropped;
  }
  Done(toTicketed(Source.RequestId, Result.Decision == Verdict::Run
                                        ? Ready.Reason
                                        : toRefusal(Result.Decision)));
}

void TicketService::onFinished(base::AttemptId Nonce,
                               const query::Request &Source,
                               const query::Response &Result) {
  TicketedResponse Given = toTicketed(Source.RequestId, Result);
  std::string Record = encodeTicketed(Given);
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
    this->Serving.metrics().recordShare(
        "hickorycrank_answer_coverage",
        {{"template", Source.Template->Name.Value},
         {"organisation", Source.Organisation->Name.Value}},
        static_cast<double>(Answered->Covered.Answered) /
            static_cast<double>(Answered->Covered.Expected));
  }
  logEvent(LogLevel::Info, "ticket.run_finished",
           {{"request_id", Source.RequestId},
            {"kind", Given.Kind},
            {"ran", Given.Ran},
            {"waiters", std::to_string(Waiting.size())}});
  for (const Callback &Done : Waiting) {
    Done(Given);
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
  Done(toTicketed(
      RequestId,
      Refusal{RefusalKind::DeadlineExceeded, ExecutionState::MayHaveRun,
              std::nullopt,
              "the first run of this ticket is not finished; send it again "
              "with the same ticket"}));
}

void TicketService::forward(const TicketedRequest &Source,
                            const once::Ticket &Offered, Callback Done) {
  PeerCall Reach;
  {
    std::lock_guard Lock(this->Mutex);
    Reach = this->Call;
  }
  auto Remaining = Source.DeadlineWall - wallNow();
  if (!Reach) {
    Done(toTicketed(Source.RequestId, toRefusal(PeerCallError::NotSent)));
    return;
  }
  Reach(Offered.Issuer, Offered.IssuerIncarnation, encodeForward(Source),
        Clock::now() + Remaining,
        [Id = Source.RequestId,
         Done = std::move(Done)](const PeerCallResult &Result) {
          PeerCallError Reason = PeerCallError::NoReply;
          if (const auto *Bytes = std::get_if<std::string>(&Result)) {
            if (auto Given = decodeTicketed(*Bytes)) {
              Done(std::move(*Given));
              return;
            }
          } else {
            Reason = std::get<PeerCallError>(Result);
          }
          Done(toTicketed(Id, toRefusal(Reason)));
        });
}

PeerCallHandler TicketService::peerCallHandler() {
  return [Weak = this->weak_from_this()](
             const std::string &Payload,
             const std::function<void(std::string)> &Reply) {
    auto Self = Weak.lock();
    auto Source = decodeForward(Payload);
    auto Offered = Source ? once::parseTicket(Source->Ticket) : std::nullopt;
    if (!Self || !Offered) {
      Reply(std::string()); // The caller takes it as a lost reply.
      return;
    }
    Self->runHere(*Source, *Offered, [Reply](const TicketedResponse &Given) {
      Reply(encodeTicketed(Given));
    });
  };
}

} // namespace hickorycrank::daemon
