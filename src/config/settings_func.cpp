#include "config/settings_func.h"

#include "config/table_reader_base.h"
#include "config/toml_func.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <functional>
#include <sstream>

namespace hickorycrank::config {

using base::ErrorKind;

namespace {

/** Describes one integer setting. */
struct IntegerSetting {
  const char *Key;
  int64_t Min;
  int64_t Max;
  int64_t Default;
  const char *Meaning;
  void (*Store)(Settings &, int64_t);
};

/** All integer settings; parsing and --help both read this table. */
const std::array<IntegerSetting, 6> IntegerSettings = {{
    {"threads", 1, 256, 4, "threads that carry I/O and decisions",
     [](Settings &Target, int64_t Value) {
       Target.Threads = static_cast<uint32_t>(Value);
     }},
    {"max_body_bytes", 256, 1'048'576, 65'536, "largest body of a query",
     [](Settings &Target, int64_t Value) {
       Target.MaxBodyBytes = static_cast<uint32_t>(Value);
     }},
    {"max_waiting", 1, 1'000'000, 20'000,
     "sub-queries that may wait for a backend server, per service",
     [](Settings &Target, int64_t Value) {
       Target.MaxWaiting = static_cast<uint32_t>(Value);
     }},
    {"max_caller_connections", 1, 100'000, 4'096,
     "connections that callers may hold open",
     [](Settings &Target, int64_t Value) {
       Target.MaxCallerConnections = static_cast<uint32_t>(Value);
     }},
    {"request_read_timeout_ms", 10, 60'000, 2'000,
     "time in which a request must arrive whole",
     [](Settings &Target, int64_t Value) {
       Target.RequestReadTimeout = std::chrono::milliseconds(Value);
     }},
    {"idle_timeout_ms", 100, 600'000, 30'000,
     "time after which an idle connection is closed",
     [](Settings &Target, int64_t Value) {
       Target.IdleTimeout = std::chrono::milliseconds(Value);
     }},
}};

/** Describes one setting that is an endpoint. */
struct EndpointSetting {
  const char *Key;
  const char *Meaning;
  Endpoint Settings::*Member;
};

const std::array<EndpointSetting, 3> EndpointSettings = {{
    {"listen", "where callers connect", &Settings::Callers},
    {"admin", "where operators connect", &Settings::Admin},
    {"peer", "where other instances connect", &Settings::Peers},
}};

constexpr size_t MinPeerKeyBytes = 16;

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    Host = Host.substr(1, Host.size() - 2);
  }
  boost::system::error_code Failure;
  boost::asio::ip::make_address(std::string(Host), Failure);
  std::string_view Digits = Text.substr(Colon + 1);
  Endpoint Parsed;
  auto [End, Status] = std::from_chars(
      Digits.data(), Digits.data() + Digits.size(), Parsed.Port);
  if (Failure || Status != std::errc() ||
      End != Digits.data() + Digits.size()) {
    return std::nullopt;
  }
  Parsed.Address = Host;
  return Parsed;
}

std::string toString(const Endpoint &Target) {
  bool IsV6 = Target.Address.find(':') != std::string::npos;
  std::string Host = IsV6 ? "[" + Target.Address + "]" : Target.Address;
  return Host + ":" + std::to_string(Target.Port);
}

Settings parseSettings(std::string_view Text, const std::string &File,
                       std::vector<base::Error> &Errors) {
  Settings Parsed;
  size_t Before = Errors.size();
  toml::table Table = parseToml(Text, File, Errors);
  if (Errors.size() > Before) {
    return Parsed;
  }
  TableReader Reader(Table, File, "", Errors);
  Parsed.Instance = base::InstanceId(Reader.text("instance"));
  Parsed.Domain = base::FailureDomainId(Reader.text("failure_domain"));
  for (const EndpointSetting &Entry : EndpointSettings) {
    std::string Value = Reader.text(Entry.Key);
    if (auto Target = parseEndpoint(Value)) {
      Parsed.*Entry.Member = *Target;
    } else if (!Value.empty()) {
      Reader.fail(ErrorKind::OutOfRange, Entry.Key,
                  "must be an IP number and a port, such as 127.0.0.1:8080");
    }
  }
  for (const std::string &Value : Reader.textArray("platform")) {
    if (auto Target = parseEndpoint(Value)) {
      Parsed.Platform.push_back(*Target);
    } else {
      Reader.fail(ErrorKind::OutOfRange, "platform",
                  "must hold IP numbers with ports, such as 127.0.0.1:9000");
    }
  }
  if (Parsed.Platform.empty()) {
    Reader.fail(ErrorKind::MissingKey, "platform",
                "must list at least one address of the platform");
  }
  Parsed.PeerKey = Reader.text("peer_key");
  if (!Parsed.PeerKey.empty() && Parsed.PeerKey.size() < MinPeerKeyBytes) {
    Reader.fail(ErrorKind::OutOfRange, "peer_key",
                "must have at least 16 bytes; generate a random one");
  }
  for (const IntegerSetting &Entry : IntegerSettings) {
    Entry.Store(Parsed,
                Reader.integer(Entry.Key, Entry.Min, Entry.Max, Entry.Default));
  }
  Reader.finish();
  return Parsed;
}

std::string describeSettings() {
  std::ostringstream Text;
  Text << "instance = text, required: name of this instance\n"
       << "failure_domain = text, required: failure domain of this instance\n"
       << "platform = array of \"address:port\", required: the platform\n"
       << "peer_key = text of at least 16 bytes, required: secret shared by "
          "the instances\n";
  for (const EndpointSetting &Entry : EndpointSettings) {
    Text << Entry.Key << " = \"address:port\", required: " << Entry.Meaning
         << '\n';
  }
  for (const IntegerSetting &Entry : IntegerSettings) {
    Text << Entry.Key << " = integer from " << Entry.Min << " to " << Entry.Max
         << ", default " << Entry.Default << ": " << Entry.Meaning << '\n';
  }
  return Text.str();
}

} // namespace hickorycrank::config
