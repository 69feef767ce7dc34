// Log lines of a gateway.
#include "daemon/gateway_base.h"

#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Duration;

namespace {

/** @return A fingerprint in the log. */
std::string toText(base::Fingerprint Content) {
  char Text[20];
  std::snprintf(Text, sizeof Text, "%016" PRIx64, Content.Value);
  return Text;
}

} // namespace

net::RejectionHandler Gateway::rejectionLog(const char *Listener) {
  return [this, Listener](unsigned Status, const std::string &Reason) {
    this->EventLog.log(Clock::now(), LogLevel::Warning, "request.malformed",
                       {{"listener", Listener},
                        {"status", std::to_string(Status)},
                        {"reason", Reason}});
  };
}

void Gateway::logBadReply(const char *Event, const std::string &Address,
                          const std::string &Reason) {
  this->EventLog.log(Clock::now(), LogLevel::Warning, Event,
                     {{"address", Address}, {"reason", Reason}});
}

void Gateway::execute(const forward::LogRateLimit &Limit) {
  this->EventLog.log(
      Clock::now(), LogLevel::Info, "server.rate_limit",
      {{"server", Limit.ServerId.Value},
       {"per_second",
        Limit.PerSecond ? std::to_string(*Limit.PerSecond) : "none"}});
}

void Gateway::execute(const forward::LogReachability &Links) {
  logEvent(Links.Reaches ? LogLevel::Info : LogLevel::Warning,
           Links.Reaches ? "gateway.links_regained" : "gateway.links_lost",
           {{"silent", std::to_string(Links.Silent)},
            {"servers", std::to_string(Links.Servers)},
            {"last_reply_from", Links.LastReplyFrom.Value}});
}

void Gateway::execute(const forward::LogQuarantine &Refused) {
  this->EventLog.log(Clock::now(), LogLevel::Warning, "request.quarantined",
                     {{"content", toText(Refused.Content)}});
}

void Gateway::logResult(const Pending &Ended,
                        const forward::RespondCall &Outcome, Duration Took) {
  const forward::CallSummary &Summary = Outcome.Summary;
  const auto *Refused = std::get_if<forward::Refusal>(&Outcome.Result);
  const auto *Merged = std::get_if<forward::MergedAnswer>(&Outcome.Result);
  const auto *Received = std::get_if<forward::Reply>(&Outcome.Result);
  this->Metrics.recordLatency(Refused != nullptr ? "hickorycrank_refusal"
                                                 : "hickorycrank_answer",
                              {}, Took);
  bool Partial = Merged != nullptr && Merged->Missing > 0;
  bool ServerError = Received != nullptr && Received->Status >= 500;
  if (Refused == nullptr && !Partial && !ServerError) {
    return; // Metrics only: a log line would cost more than the request.
  }
  LogFields Fields{
      {"request", Ended.Source->AttemptId},
      {"route", Summary.Route},
      {"config_version", std::to_string(Summary.Version)},
      {"priority", std::to_string(Summary.Priority)},
      {"took_ms", std::to_string(std::lround(base::toMilliseconds(Took)))},
      {"shards", std::to_string(Summary.Shards)},
      {"answered", std::to_string(Summary.Answered)},
      {"attempts", std::to_string(Summary.Attempts)},
      {"broken", std::to_string(Summary.Broken)},
      {"not_reached", std::to_string(Summary.Unsent)},
      {"rate_limited", std::to_string(Summary.RateLimited)},
      {"view_revision", std::to_string(this->View.position().Revision)}};
  const char *Event = Partial ? "request.partial" : "request.server_error";
  if (Refused != nullptr) {
    Event = "request.refused";
    Fields["reason"] = forward::toString(Refused->Reason);
    Fields["ran"] = Refused->MayHaveRun ? "may_have_run" : "not_run";
    Fields["content"] = toText(Ended.Content);
    if (Refused->WithheldStatus) {
      Fields["withheld_status"] = std::to_string(*Refused->WithheldStatus);
    }
  }
  if (ServerError) {
    Fields["status"] = std::to_string(Received->Status);
  }
  this->EventLog.log(Clock::now(), LogLevel::Warning, Event, std::move(Fields));
}

} // namespace hickorycrank::daemon
