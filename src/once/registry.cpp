#include "once/registry_base.h"

#include "base/digest_func.h"
#include "once/ticket_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::once {

using base::AttemptId;
using base::OrganisationId;
using base::TimePoint;

TimePoint TicketRegistry::observe(TimePoint Now) {
  if (!this->Rules.HoldLatestTime) {
    return Now;
  }
  this->Latest = std::max(this->Latest, Now);
  return this->Latest;
}

std::string TicketRegistry::macOf(const Ticket &Source) const {
  return base::toHex(base::hmacSha256(this->Secret, signedText(Source)));
}

Ticket TicketRegistry::issue(TimePoint Now, const OrganisationId &Organisation,
                             AttemptId Nonce) {
  Ticket Issued;
  Issued.Issuer = this->Self;
  Issued.IssuerIncarnation = this->Process;
  Issued.Organisation = Organisation;
  Issued.Nonce = Nonce;
  Issued.ExpiresAt = this->observe(Now) + this->Rules.Lifetime;
  Issued.Mac = this->macOf(Issued);
  return Issued;
}

TicketDecision TicketRegistry::check(TimePoint Now, const Ticket &Offered,
                                     const OrganisationId &Organisation,
                                     const std::string &Content) {
  TimePoint Current = this->observe(Now);
  if (Offered.Organisation != Organisation) {
    return {Verdict::OtherOrganisation, {}};
  }
  if (Offered.Issuer != this->Self ||
      Offered.IssuerIncarnation != this->Process) {
    return {Verdict::OtherProcess, {}};
  }
  if (!base::equalConstantTime(Offered.Mac, this->macOf(Offered))) {
    return {Verdict::Forged, {}};
  }
  if (Offered.ExpiresAt <= Current) {
    return {Verdict::Expired, {}};
  }
  auto Found = this->Uses.find(Offered.Nonce);
  if (Found == this->Uses.end()) {
    bool Full = this->Uses.size() >= this->Rules.MaxUsed;
    return {Full ? Verdict::Full : Verdict::Run, {}};
  }
  const Use &Known = Found->second;
  if (Known.Content != Content) {
    return {Verdict::Reused, {}};
  }
  switch (Known.State) {
  case UseState::Running:
    return {Verdict::Wait, {}};
  case UseState::Finished:
    return {Verdict::Replay, Known.Response};
  case UseState::Dropped:
    break;
  }
  return {Verdict::RecordDropped, {}};
}

TicketDecision TicketRegistry::use(TimePoint Now, const Ticket &Offered,
                                   const OrganisationId &Organisation,
                                   const std::string &Content) {
  this->expire(Now);
  TicketDecision Result = this->check(Now, Offered, Organisation, Content);
  if (Result.Decision == Verdict::Run) {
    this->Uses[Offered.Nonce] =
        Use{Content, Offered.ExpiresAt, UseState::Running, {}};
    this->Expiries.emplace(Offered.ExpiresAt, Offered.Nonce);
  }
  return Result;
}

void TicketRegistry::drop(Use &Target) {
  this->RecordBytes -= Target.Response.size();
  Target.Response = std::string();
  Target.State = UseState::Dropped;
}

void TicketRegistry::finish(AttemptId Nonce, std::string Response) {
  auto Found = this->Uses.find(Nonce);
  if (Found == this->Uses.end() || Found->second.State != UseState::Running) {
    return;
  }
  Use &Target = Found->second;
  Target.State = UseState::Finished;
  Target.Response = std::move(Response);
  this->RecordBytes += Target.Response.size();
  this->Finished.push_back(Nonce);
  while (this->RecordBytes > this->Rules.MaxRecordBytes) {
    auto Oldest = this->Uses.find(this->Finished.front());
    this->Finished.pop_front();
    if (Oldest != this->Uses.end() &&
        Oldest->second.State == UseState::Finished) {
      this->drop(Oldest->second);
    }
  }
}

void TicketRegistry::expire(TimePoint Now) {
  TimePoint Current = this->observe(Now);
  auto Next = this->Expiries.begin();
  while (Next != this->Expiries.end() && Next->first <= Current) {
    auto Found = this->Uses.find(Next->second);
    if (Found->second.State == UseState::Running) {
      ++Next; // Its run will still be recorded and waiters answered.
      continue;
    }
    this->RecordBytes -= Found->second.Response.size();
    this->Uses.erase(Found);
    Next = this->Expiries.erase(Next);
  }
  while (!this->Finished.empty() &&
         this->Uses.count(this->Finished.front()) == 0) {
    this->Finished.pop_front();
  }
}

} // namespace hickorycrank::once
