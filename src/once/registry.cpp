#include "once/registry_base.h"

#include "base/digest_func.h"
#include "once/ticket_func.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::once {

using base::AttemptId;
using base::OrganisationId;
using base::TimePoint;

TimePoint TicketRegistry::clampTime(TimePoint Now) {
  if (!this->Policy.ClampToLatestTime) {
    return Now;
  }
  this->LatestTime = std::max(this->LatestTime, Now);
  return this->LatestTime;
}

std::string TicketRegistry::computeMac(const Ticket &Source) const {
  return base::toHex(base::hmacSha256(this->Secret, signedText(Source)));
}

Ticket TicketRegistry::issue(TimePoint Now, const OrganisationId &Organisation,
                             AttemptId Nonce) {
  Ticket Issued;
  Issued.Issuer = this->Self;
  Issued.IssuerIncarnation = this->OwnIncarnation;
  Issued.Organisation = Organisation;
  Issued.Nonce = Nonce;
  Issued.ExpiresAt = this->clampTime(Now) + this->Policy.Lifetime;
  Issued.Mac = this->computeMac(Issued);
  return Issued;
}

TicketDecision TicketRegistry::check(TimePoint Now, const Ticket &Offered,
                                     const OrganisationId &Organisation,
                                     const std::string &ContentDigest) {
  TimePoint Current = this->clampTime(Now);
  if (Offered.Organisation != Organisation) {
    return {Verdict::OtherOrganisation, {}};
  }
  if (Offered.Issuer != this->Self ||
      Offered.IssuerIncarnation != this->OwnIncarnation) {
    return {Verdict::OtherProcess, {}};
  }
  if (!base::equalConstantTime(Offered.Mac, this->computeMac(Offered))) {
    return {Verdict::Forged, {}};
  }
  if (Offered.ExpiresAt <= Current) {
    return {Verdict::Expired, {}};
  }
  auto Found = this->UsedTickets.find(Offered.Nonce);
  if (Found == this->UsedTickets.end()) {
    bool Full = this->UsedTickets.size() >= this->Policy.MaxUsed;
    return {Full ? Verdict::Full : Verdict::Run, {}};
  }
  const UsedTicket &Used = Found->second;
  if (Used.ContentDigest != ContentDigest) {
    return {Verdict::Reused, {}};
  }
  switch (Used.State) {
  case TicketState::Running:
    return {Verdict::Wait, {}};
  case TicketState::ResponseRecorded:
    return {Verdict::Replay, Used.Response};
  case TicketState::ResponseDropped:
    break;
  }
  return {Verdict::ResponseDropped, {}};
}

TicketDecision TicketRegistry::use(TimePoint Now, const Ticket &Offered,
                                   const OrganisationId &Organisation,
                                   const std::string &ContentDigest) {
  this->expire(Now);
  TicketDecision Result =
      this->check(Now, Offered, Organisation, ContentDigest);
  if (Result.Decision == Verdict::Run) {
    this->UsedTickets[Offered.Nonce] =
        UsedTicket{ContentDigest, Offered.ExpiresAt, TicketState::Running, {}};
    this->Expiries.emplace(Offered.ExpiresAt, Offered.Nonce);
  }
  return Result;
}

void TicketRegistry::dropResponse(UsedTicket &Target) {
  this->ResponseBytes -= Target.Response.size();
  Target.Response = std::string();
  Target.State = TicketState::ResponseDropped;
}

void TicketRegistry::finish(AttemptId Nonce, std::string Response) {
  auto Found = this->UsedTickets.find(Nonce);
  if (Found == this->UsedTickets.end() ||
      Found->second.State != TicketState::Running) {
    return;
  }
  UsedTicket &Target = Found->second;
  Target.State = TicketState::ResponseRecorded;
  Target.Response = std::move(Response);
  this->ResponseBytes += Target.Response.size();
  this->FinishedNonces.push_back(Nonce);
  while (this->ResponseBytes > this->Policy.MaxResponseBytes) {
    auto Oldest = this->UsedTickets.find(this->FinishedNonces.front());
    this->FinishedNonces.pop_front();
    if (Oldest != this->UsedTickets.end() &&
        Oldest->second.State == TicketState::ResponseRecorded) {
      this->dropResponse(Oldest->second);
    }
  }
}

void TicketRegistry::expire(TimePoint Now) {
  TimePoint Current = this->clampTime(Now);
  auto Next = this->Expiries.begin();
  while (Next != this->Expiries.end() && Next->first <= Current) {
    auto Found = this->UsedTickets.find(Next->second);
    if (Found->second.State == TicketState::Running) {
      ++Next; // Its response is yet to be recorded and returned to waiters.
      continue;
    }
    this->ResponseBytes -= Found->second.Response.size();
    this->UsedTickets.erase(Found);
    Next = this->Expiries.erase(Next);
  }
  while (!this->FinishedNonces.empty() &&
         this->UsedTickets.count(this->FinishedNonces.front()) == 0) {
    this->FinishedNonces.pop_front();
  }
}

} // namespace hickorycrank::once
