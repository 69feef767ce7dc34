#include "standin/backend_server_base.h"

#include "base/digest_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

namespace hickorycrank::standin {

namespace json = boost::json;

namespace {

constexpr uint64_t RecordsPerShard = 100;
constexpr int ShedRetryMs = 50;

/**
 * Current UTC time.
 * @return Milliseconds since the epoch.
 */
int64_t wallMilliseconds() {
  return std::chrono::floor<std::chrono::milliseconds>(
             std::chrono::system_clock::now())
      .time_since_epoch()
      .count();
}

/**
 * Writes the rows of one shard: a few, with a stable order.
 * @param Shard Name of the shard.
 * @param Version Index version.
 * @param Limit Largest number of rows.
 * @return JSON array.
 */
json::array makeRows(const std::string &Shard, uint64_t Version,
                     uint64_t Limit) {
  json::array Rows;
  constexpr uint64_t RowCount = 2;
  for (uint64_t I = 0; I < std::min(Limit, RowCount); ++I) {
    uint64_t Stock =
        base::stableHash(Shard + std::to_string(I) + std::to_string(Version)) %
        100;
    Rows.push_back(json::object{{"shard", Shard},
                                {"version", Version},
                                {"item", Shard + "-" + std::to_string(I)},
                                {"stock", Stock}});
  }
  return Rows;
}

/**
 * Writes the versions of a report.
 * @param Versions Versions held.
 * @return JSON array.
 */
json::array describeVersions(const std::vector<BackendVersion> &Versions) {
  json::array All;
  for (const BackendVersion &Held : Versions) {
    All.push_back(json::object{{"version", Held.Version},
                               {"layout", json::value_from(Held.Layout)},
                               {"holds", json::value_from(Held.Holds)}});
  }
  return All;
}

} // namespace

BackendServer::BackendServer(boost::asio::io_context &Context,
                             const config::Endpoint &Where, std::string Id,
                             uint64_t Incarnation, uint64_t Seed)
    : Context(Context), Id(std::move(Id)), Incarnation(Incarnation),
      Generator(Seed),
      Server(Context, Where, net::HttpLimits{},
             [this](const net::HttpCall &Call) { this->handle(Call); }) {
  this->Address = this->Server.endpoint();
  this->Server.start();
}

BackendServer::~BackendServer() { this->crash(); }

void BackendServer::change(
    const std::function<void(BackendBehaviour &)> &Change) {
  {
    std::lock_guard Lock(this->Mutex);
    Change(this->Behaviour);
  }
  this->startNext(); // More slots let waiting searches run.
}

void BackendServer::setVersions(std::vector<BackendVersion> Held) {
  std::string Digest = base::sha256Hex(json::serialize(describeVersions(Held)));
  std::lock_guard Lock(this->Mutex);
  this->Versions = std::move(Held);
  this->VersionsDigest = std::move(Digest);
}

void BackendServer::crash() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Crashed = true;
    for (auto &[Attempt, Entry] : this->Jobs) {
      Entry->Timer->cancel();
    }
    this->Jobs.clear();
    this->Waiting.clear();
  }
  this->Server.abort();
}

BackendCounters BackendServer::counters() const {
  std::lock_guard Lock(this->Mutex);
  BackendCounters Copy = this->Counters;
  Copy.Accepted = this->Server.counters().Accepted;
  return Copy;
}

std::string BackendServer::reportText(bool WithVersions,
                                      const std::string &KnownDigest) const {
  double Load =
      static_cast<double>(this->Running + this->Waiting.size()) /
      static_cast<double>(this->Behaviour.Slots + this->Behaviour.QueueLimit);
  if (this->Behaviour.ReportedLoad >= 0) {
    Load = this->Behaviour.ReportedLoad;
  }
  json::object Report{{"server", this->Id},
                      {"incarnation", this->Incarnation},
                      {"leaving", this->Behaviour.Leaving},
                      {"load", Load},
                      {"slots", this->Behaviour.Slots}};
  bool Offers = this->Behaviour.OfferDigest && !this->VersionsDigest.empty();
  if (Offers) {
    Report["versions_digest"] = this->VersionsDigest;
  }
  if (WithVersions && !(Offers && KnownDigest == this->VersionsDigest)) {
    Report["versions"] = describeVersions(this->Versions);
  }
  return json::serialize(Report);
}

void BackendServer::handle(const net::HttpCall &Call) {
  const std::string Path = Call.Request.Path;
  if (Path == "/v1/report") {
    net::HttpResponse Response;
    {
      std::lock_guard Lock(this->Mutex);
      if (this->Crashed) {
        return;
      }
      auto Known = Call.Request.Query.find("versions_digest");
      Response.Body = this->reportText(
          true, Known == Call.Request.Query.end() ? "" : Known->second);
      ++this->Counters.Reports;
      this->Counters.ReportBytes += Response.Body.size();
    }
    Call.Respond(std::move(Response));
    return;
  }
  if (Path == "/v1/cancel") {
    net::HttpResponse Response;
    Response.Body = "{}";
    boost::system::error_code Failure;
    json::value Body = json::parse(Call.Request.Body, Failure);
    std::shared_ptr<Job> Cancelled;
    bool WasWaiting = false;
    if (!Failure && Body.is_object()) {
      std::lock_guard Lock(this->Mutex);
      auto Found =
          this->Jobs.find(std::string(Body.at("attempt").as_string().c_str()));
      if (Found != this->Jobs.end()) {
        ++this->Counters.Cancelled;
        Cancelled = Found->second;
        WasWaiting = std::erase(this->Waiting, Cancelled) != 0;
        if (WasWaiting) {
          this->Jobs.erase(Found);
        }
      }
    }
    Call.Respond(std::move(Response));
    if (WasWaiting) {
      this->replyStatus(Cancelled->Attempt, Cancelled->Version, "cancelled",
                        false, Cancelled->Respond);
    } else if (Cancelled) {
      Cancelled->Timer->cancel();
    }
    return;
  }
  if (Path == "/v1/search") {
    this->handleSearch(Call);
    return;
  }
  net::HttpResponse Response;
  Response.Status = 404;
  Call.Respond(std::move(Response));
}

void BackendServer::replyStatus(
    const std::string &Attempt, uint64_t Version, const std::string &Status,
    bool Ran, const std::function<void(net::HttpResponse)> &Respond) {
  json::object Body{{"attempt", Attempt},
                    {"version", Version},
                    {"status", Status},
                    {"ran", Ran ? "ran" : "not_run"}};
  if (Status == "shed") {
    Body["retry_after_ms"] = ShedRetryMs;
  }
  net::HttpResponse Response;
  Response.Body = json::serialize(Body);
  Respond(std::move(Response));
}

void BackendServer::handleSearch(const net::HttpCall &Call) {
  json::object Body = json::parse(Call.Request.Body).as_object();
  auto Entry = std::make_shared<Job>();
  Entry->Attempt = Body.at("attempt").as_string().c_str();
  Entry->Shard = Body.at("shard").as_string().c_str();
  Entry->Version = Body.at("version").to_number<uint64_t>();
  Entry->Limit = Body.at("limit").to_number<uint64_t>();
  Entry->Parameters = json::serialize(Body.at("parameters"));
  Entry->Respond = Call.Respond;
  Entry->Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  const char *Status = nullptr;
  bool Crashes = false;
  bool Garbage = false;
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Crashed) {
      return;
    }
    ++this->Counters.Searches;
    this->Counters.MaxConnections = std::max<uint64_t>(
        this->Counters.MaxConnections, this->Server.connections());
    this->Counters.LastSearchMs = static_cast<uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count());
    const BackendBehaviour &How = this->Behaviour;
    Crashes = !How.CrashText.empty() &&
              Call.Request.Body.find(How.CrashText) != std::string::npos;
    if (How.Silent && !Crashes) {
      return;
    }
    Garbage = How.Garbage;
    auto Held = std::find_if(this->Versions.begin(), this->Versions.end(),
                             [&](const BackendVersion &Candidate) {
                               return Candidate.Version == Entry->Version;
                             });
    const json::value *Expiry = Body.if_contains("expires_at_ms");
    if (Expiry != nullptr &&
        Expiry->to_number<int64_t>() <= wallMilliseconds()) {
      ++this->Counters.Expired;
      Status = "expired";
    } else if (How.FailAll) {
      Status = "error";
    } else if (How.ShedAll || this->Waiting.size() >= How.QueueLimit) {
      ++this->Counters.Shed;
      Status = "shed";
    } else if (Held == this->Versions.end()) {
      Status = "version_gone";
    } else if (!Crashes && !Garbage) {
      const json::value *Key =
          Body.at("parameters").as_object().if_contains("key");
      if (Key != nullptr && Key->is_string()) {
        ++this->Counters.RunsByKey[Key->as_string().c_str()];
      }
      this->Jobs[Entry->Attempt] = Entry;
      this->Waiting.push_back(Entry);
    }
  }
  if (Crashes) {
    this->crash();
  } else if (Garbage) {
    net::HttpResponse Response;
    Response.Body = "<<< not a reply >>>";
    Entry->Respond(std::move(Response));
  } else if (Status != nullptr) {
    bool Ran = std::string(Status) == "error";
    this->replyStatus(Entry->Attempt, Entry->Version, Status, Ran,
                      Entry->Respond);
  } else {
    this->startNext();
  }
}

void BackendServer::startNext() {
  std::lock_guard Lock(this->Mutex);
  while (this->Running < this->Behaviour.Slots && !this->Waiting.empty()) {
    std::shared_ptr<Job> Next = this->Waiting.front();
    this->Waiting.pop_front();
    ++this->Running;
    double Draw = -std::log(1 - this->Generator.unit());
    // Half fixed, half exponential: a plausible spread without a huge tail.
    auto Time = std::chrono::duration_cast<std::chrono::microseconds>(
        this->Behaviour.ServiceTime * this->Behaviour.Slowdown *
        (0.5 + 0.5 * Draw));
    Next->Timer->expires_after(Time);
    Next->Timer->async_wait([this, Next](boost::system::error_code) {
      this->finish(Next);
      this->startNext();
    });
  }
}

void BackendServer::finish(const std::shared_ptr<Job> &Finished) {
  json::object Body;
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Crashed) {
      return;
    }
    --this->Running;
    ++this->Counters.Served;
    this->Jobs.erase(Finished->Attempt);
    Body = json::object{
        {"attempt", this->Behaviour.WrongEcho
                        ? base::toString(base::AttemptId{1, 2})
                        : Finished->Attempt},
        {"version", Finished->Version},
        {"status", "ok"},
        {"ran", "ran"},
        {"records", RecordsPerShard},
        {"records_total", RecordsPerShard},
        {"rows", makeRows(Finished->Shard, Finished->Version, Finished->Limit)},
        {"report", json::parse(this->reportText(false))}};
    if (this->Behaviour.EchoParameters) {
      for (json::value &Row : Body.at("rows").as_array()) {
        Row.as_object()["parameters"] = json::parse(Finished->Parameters);
      }
    }
  }
  net::HttpResponse Response;
  Response.Body = json::serialize(Body);
  Finished->Respond(std::move(Response));
}

} // namespace hickorycrank::standin
