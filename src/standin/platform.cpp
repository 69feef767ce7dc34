#include "standin/platform_base.h"

#include "base/digest_func.h"
#include "config/document_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace hickorycrank::standin {

namespace json = boost::json;

namespace {

/**
 * Reads a numeric query parameter.
 * @param Request The request.
 * @param Name Name of the parameter.
 * @return Its value, 0 if absent.
 */
uint64_t numberOf(const net::HttpRequest &Request, const std::string &Name) {
  auto Found = Request.Query.find(Name);
  uint64_t Value = 0;
  if (Found != Request.Query.end()) {
    const std::string &Text = Found->second;
    std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  }
  return Value;
}

/**
 * Writes the list of instances.
 * @param Instances The instances.
 * @return JSON array.
 */
std::string encodeInstances(const std::vector<ListedInstance> &Instances) {
  json::array Entries;
  for (const ListedInstance &Listed : Instances) {
    Entries.push_back(
        json::object{{"id", Listed.Id},
                     {"kind", Listed.Kind},
                     {"service", Listed.Service},
                     {"address", Listed.Address},
                     {"failure_domain", Listed.Domain},
                     {"incarnation", Listed.Incarnation},
                     {"state", Listed.Leaving ? "leaving" : "live"}});
  }
  return json::serialize(Entries);
}

} // namespace

Platform::Platform(boost::asio::io_context &Context,
                   const config::Endpoint &Where)
    : Context(Context),
      Server(Context, Where, net::HttpLimits{},
             [this](net::HttpCall Call) { this->handle(std::move(Call)); }) {
  this->Server.start();
}

void Platform::publish(uint64_t Revision,
                       const std::map<std::string, std::string> &Documents) {
  for (const auto &[Name, Text] : Documents) {
    this->setValue("hickorycrank/doc/" + base::sha256Hex(Text), Text);
  }
  this->setValue("hickorycrank/manifest",
                 config::formatManifest(base::Revision(Revision), Documents));
}

void Platform::setValue(const std::string &Key, const std::string &Text) {
  {
    std::lock_guard Lock(this->Mutex);
    Entry &Value = this->Values[Key];
    if (Value.Text == Text) {
      return;
    }
    Value = {this->NextVersion++, Text};
  }
  this->changed(Key);
}

void Platform::setInstances(const std::vector<ListedInstance> &Instances) {
  this->setValue("", encodeInstances(Instances));
}

void Platform::stop() { this->Server.abort(); }

void Platform::handle(net::HttpCall Call) {
  ++this->Calls;
  PlatformFault Present = this->Fault;
  if (Present == PlatformFault::Stalled) {
    return;
  }
  bool IsList = Call.Request.Path == "/v1/instances";
  if (Present == PlatformFault::Down ||
      (!IsList && Call.Request.Path != "/v1/value")) {
    net::HttpResponse Response;
    Response.Status = Present == PlatformFault::Down ? 503 : 404;
    Call.Respond(std::move(Response));
    return;
  }
  std::string Key = IsList ? std::string() : Call.Request.Query["key"];
  uint64_t After = numberOf(Call.Request, "after");
  std::chrono::milliseconds Wait(numberOf(Call.Request, "wait_ms"));
  {
    std::lock_guard Lock(this->Mutex);
    bool Newer = this->Values[Key].Version > After;
    if (!Newer && Wait.count() != 0) {
      auto Added = std::make_shared<Watch>();
      Added->Key = Key;
      Added->Respond = std::move(Call.Respond);
      Added->Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
      Added->Timer->expires_after(Wait);
      Added->Timer->async_wait(
          [this, Added](boost::system::error_code Failure) {
            if (Failure) {
              return;
            }
            {
              std::lock_guard Inner(this->Mutex);
              this->Watches.remove(Added);
            }
            this->answer(Added->Key, Added->Respond);
          });
      this->Watches.push_back(std::move(Added));
      return;
    }
  }
  this->answer(Key, Call.Respond);
}

void Platform::answer(const std::string &Key,
                      const std::function<void(net::HttpResponse)> &Respond) {
  Entry Value;
  {
    std::lock_guard Lock(this->Mutex);
    Value = this->Values[Key];
  }
  net::HttpResponse Response;
  json::object Body{{"version", Value.Version}};
  if (Key.empty()) {
    Body["instances"] = Value.Text.empty() ? json::value(json::array())
                                           : json::parse(Value.Text);
  } else {
    Body["value"] = Value.Text;
  }
  Response.Body = json::serialize(Body);
  Respond(std::move(Response));
}

void Platform::changed(const std::string &Key) {
  std::vector<std::shared_ptr<Watch>> Due;
  {
    std::lock_guard Lock(this->Mutex);
    for (auto It = this->Watches.begin(); It != this->Watches.end();) {
      if ((*It)->Key == Key) {
        Due.push_back(*It);
        It = this->Watches.erase(It);
      } else {
        ++It;
      }
    }
  }
  for (const auto &Entry : Due) {
    Entry->Timer->cancel();
    this->answer(Key, Entry->Respond);
  }
}

} // namespace hickorycrank::standin
