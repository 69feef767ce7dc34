#include "net/peer_codec_func.h"

#include "base/digest_func.h"
#include "peers/server_list_sync_base.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <peer_types.h>
#include <stdexcept>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <utility>

namespace hickorycrank::net {

using base::Error;
using base::ErrorKind;

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr size_t MacBytes = 32;
constexpr int RecursionLimit = 16;
/** Limits that no valid sender exceeds; more is an attack or a fault. */
constexpr size_t MaxMembers = 64;
constexpr size_t MaxFacts = 128;
constexpr size_t MaxDigests = 16'384;
constexpr size_t MaxNameBytes = 256;
constexpr size_t DigestBytes = 32;

/** Thrown inside the decoder when a field is out of its range. */
struct BadField : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Converts between the unsigned ids here and Thrift's signed integers. */
int64_t toWire(uint64_t Value) { return static_cast<int64_t>(Value); }
uint64_t fromWire(int64_t Value) { return static_cast<uint64_t>(Value); }

/**
 * Reads hexadecimal digits.
 * @param Text Two digits a byte, as toHex() writes them.
 * @return Raw bytes.
 */
std::string fromHex(std::string_view Text) {
  auto Digit = [](char Sign) {
    return static_cast<unsigned>(Sign <= '9' ? Sign - '0' : Sign - 'a' + 10);
  };
  std::string Bytes;
  for (size_t I = 0; I + 1 < Text.size(); I += 2) {
    Bytes.push_back(
        static_cast<char>(Digit(Text[I]) * 16 + Digit(Text[I + 1])));
  }
  return Bytes;
}

/** Checks and returns a name. */
std::string readName(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxNameBytes) {
    throw BadField("name");
  }
  return Text;
}

/** Checks a digest and returns it as hexadecimal digits. */
std::string readDigest(const std::string &Bytes) {
  if (Bytes.size() != DigestBytes) {
    throw BadField("digest");
  }
  return base::toHex(Bytes);
}

gen::Version writeVersion(const config::ConfigurationVersion &Source) {
  gen::Version Wire;
  Wire.revision = toWire(Source.Number.Value);
  Wire.manifestSha256 = fromHex(Source.ManifestSha256);
  return Wire;
}

config::ConfigurationVersion readVersion(const gen::Version &Wire) {
  return {base::Revision(fromWire(Wire.revision)),
          readDigest(Wire.manifestSha256)};
}

gen::PeerMember writeMember(const peers::Member &Source) {
  gen::PeerMember Wire;
  Wire.id = Source.Id.Value;
  Wire.address = Source.Address;
  Wire.domain = Source.Domain.Value;
  Wire.process = toWire(Source.Process.Value);
  Wire.refutation = toWire(Source.Refutation);
  Wire.state = static_cast<int32_t>(Source.State);
  return Wire;
}

peers::Member readMember(const gen::PeerMember &Wire) {
  if (Wire.state < 0 ||
      static_cast<size_t>(Wire.state) >= peers::MemberStateCount ||
      Wire.refutation < 0) {
    throw BadField("member");
  }
  peers::Member Member;
  Member.Id = base::InstanceId(readName(Wire.id));
  Member.Address = readName(Wire.address);
  Member.Domain = base::FailureDomainId(readName(Wire.domain));
  Member.Process = base::Incarnation(fromWire(Wire.process));
  Member.Refutation = fromWire(Wire.refutation);
  Member.State = static_cast<peers::MemberState>(Wire.state);
  return Member;
}

/** Tells whether a fact is about a request, not about a server. */
bool concernsRequest(query::FactKind Kind) {
  return Kind == query::FactKind::Quarantined ||
         Kind == query::FactKind::Suspected;
}

gen::Fact writeFact(const query::PublishFact &Source) {
  gen::Fact Wire;
  Wire.kind = static_cast<int32_t>(Source.Kind);
  if (concernsRequest(Source.Kind)) {
    Wire.__set_fingerprint(toWire(Source.Request.Value));
  } else {
    Wire.__set_server(Source.Server.Value);
    Wire.__set_process(toWire(Source.Process.Value));
  }
  auto Lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(Source.Lifetime);
  Wire.lifetimeMs = static_cast<int32_t>(std::clamp<int64_t>(
      Lifetime.count(), 0, std::numeric_limits<int32_t>::max()));
  return Wire;
}

/** Reads facts; kinds of later releases are skipped. */
std::vector<query::PublishFact> readFacts(const std::vector<gen::Fact> &Wire) {
  if (Wire.size() > MaxFacts) {
    throw BadField("facts");
  }
  std::vector<query::PublishFact> Facts;
  for (const gen::Fact &Entry : Wire) {
    if (Entry.kind < 0 ||
        Entry.kind > static_cast<int32_t>(query::FactKind::Suspected)) {
      continue;
    }
    query::PublishFact Fact;
    Fact.Kind = static_cast<query::FactKind>(Entry.kind);
    if (concernsRequest(Fact.Kind)) {
      Fact.Request = base::Fingerprint(fromWire(Entry.fingerprint));
    } else {
      Fact.Server = base::ServerId(readName(Entry.server));
      Fact.Process = base::Incarnation(fromWire(Entry.process));
    }
    Fact.Lifetime = std::chrono::milliseconds(Entry.lifetimeMs);
    Facts.push_back(std::move(Fact));
  }
  return Facts;
}

/**
 * Finds a name in a list of names, or adds it.
 * @param Names The list; a part of a server list has few.
 * @param Name The name.
 * @return Its position.
 */
int32_t positionOf(std::vector<std::string> &Names, const std::string &Name) {
  auto Found = std::find(Names.begin(), Names.end(), Name);
  auto Position = static_cast<int32_t>(Found - Names.begin());
  if (Found == Names.end()) {
    Names.push_back(Name);
  }
  return Position;
}

/** Checks a position and returns the name there, which may be empty. */
const std::string &nameAt(const std::vector<std::string> &Names,
                          int32_t Position) {
  if (Position < 0 || static_cast<size_t>(Position) >= Names.size()) {
    throw BadField("position");
  }
  const std::string &Name = Names[static_cast<size_t>(Position)];
  if (Name.size() > MaxNameBytes) {
    throw BadField("name");
  }
  return Name;
}

/** Checks and returns a count or position in a list of servers. */
uint32_t readListCount(int32_t Wire) {
  if (Wire < 0 || static_cast<uint32_t>(Wire) > peers::MaxListedServers) {
    throw BadField("server list");
  }
  return static_cast<uint32_t>(Wire);
}

gen::ServerPushBody writeServers(const peers::ServerPush &Source) {
  gen::ServerPushBody Wire;
  Wire.version = toWire(Source.Version);
  Wire.instances = static_cast<int32_t>(Source.Instances);
  Wire.total = static_cast<int32_t>(Source.Total);
  Wire.first = static_cast<int32_t>(Source.First);
  for (const peers::ServerEntry &Entry : Source.Servers) {
    gen::ListedServer Listed;
    Listed.id = Entry.Server.Server.Value;
    Listed.serviceIndex = positionOf(Wire.services, Entry.Service.Value);
    Listed.address = Entry.Server.Address;
    Listed.domainIndex = positionOf(Wire.domains, Entry.Server.Domain.Value);
    Listed.process = toWire(Entry.Server.Process.Value);
    if (Entry.Server.Leaving) {
      Listed.__set_leaving(true);
    }
    Wire.servers.push_back(std::move(Listed));
  }
  return Wire;
}

peers::ServerPush readServers(const gen::ServerPushBody &Wire) {
  if (Wire.servers.size() > peers::MaxPushServers) {
    throw BadField("servers");
  }
  peers::ServerPush Push;
  Push.Version = fromWire(Wire.version);
  Push.Instances = readListCount(Wire.instances);
  Push.Total = readListCount(Wire.total);
  Push.First = readListCount(Wire.first);
  for (const gen::ListedServer &Listed : Wire.servers) {
    peers::ServerEntry Entry;
    Entry.Service =
        base::ServiceId(readName(nameAt(Wire.services, Listed.serviceIndex)));
    Entry.Server.Server = base::ServerId(readName(Listed.id));
    Entry.Server.Address = readName(Listed.address);
    Entry.Server.Domain =
        base::FailureDomainId(nameAt(Wire.domains, Listed.domainIndex));
    Entry.Server.Process = base::Incarnation(fromWire(Listed.process));
    Entry.Server.Leaving = Listed.leaving;
    Push.Servers.push_back(std::move(Entry));
  }
  return Push;
}

/** Writes the body of a message, one overload a kind. */
struct BodyWriter {
  gen::PeerBody &Wire;

  void operator()(const peers::Ping &Source) const {
    gen::PingBody Target;
    Target.sequence = toWire(Source.Sequence);
    this->Wire.__set_ping(Target);
  }
  void operator()(const peers::Ack &Source) const {
    gen::AckBody Target;
    Target.sequence = toWire(Source.Sequence);
    this->Wire.__set_ack(Target);
  }
  void operator()(const peers::PingRequest &Source) const {
    gen::PingRequestBody Target;
    Target.sequence = toWire(Source.Sequence);
    Target.target = Source.Target.Value;
    Target.address = Source.Address;
    this->Wire.__set_pingRequest(Target);
  }
  void operator()(const peers::Facts & /*Source*/) const {
    this->Wire.__set_facts(gen::FactsBody());
  }
  void operator()(const peers::ConfigPull &Source) const {
    gen::ConfigPullBody Target;
    Target.version = writeVersion(Source.Version);
    for (const std::string &Digest : Source.Wanted) {
      if (Target.wanted.size() < MaxDigests) {
        Target.wanted.push_back(fromHex(Digest));
      }
    }
    this->Wire.__set_configPull(Target);
  }
  void operator()(const peers::ConfigPush &Source) const {
    gen::ConfigPushBody Target;
    Target.version = writeVersion(Source.Version);
    if (!Source.Manifest.empty()) {
      Target.__set_manifest(Source.Manifest);
    }
    for (const auto &[Digest, Text] : Source.Documents) {
      Target.documents.push_back(Text);
    }
    this->Wire.__set_configPush(Target);
  }
  void operator()(const peers::ForwardOnce &Source) const {
    gen::ForwardOnceBody Target;
    Target.call = toWire(Source.Call);
    Target.process = toWire(Source.Process.Value);
    Target.payload = Source.Payload;
    this->Wire.__set_forwardOnce(Target);
  }
  void operator()(const peers::ForwardOnceReply &Source) const {
    gen::ForwardOnceReplyBody Target;
    Target.call = toWire(Source.Call);
    Target.handled = Source.Handled;
    Target.__set_payload(Source.Payload);
    this->Wire.__set_forwardOnceReply(Target);
  }
  void operator()(const peers::Leave & /*Source*/) const {
    this->Wire.__set_leave(gen::LeaveBody());
  }
  void operator()(const peers::ServerPull &Source) const {
    gen::ServerPullBody Target;
    Target.version = toWire(Source.Version);
    Target.first = static_cast<int32_t>(Source.First);
    this->Wire.__set_serverPull(Target);
  }
  void operator()(const peers::ServerPush &Source) const {
    this->Wire.__set_serverPush(writeServers(Source));
  }
};

/** Reads the bodies that concern configurations. */
peers::Body readConfigBody(const gen::PeerBody &Wire) {
  if (Wire.__isset.configPull) {
    peers::ConfigPull Pull;
    Pull.Version = readVersion(Wire.configPull.version);
    if (Wire.configPull.wanted.size() > MaxDigests) {
      throw BadField("wanted");
    }
    for (const std::string &Digest : Wire.configPull.wanted) {
      Pull.Wanted.push_back(readDigest(Digest));
    }
    return Pull;
  }
  peers::ConfigPush Push;
  Push.Version = readVersion(Wire.configPush.version);
  Push.Manifest = Wire.configPush.manifest;
  for (const std::string &Text : Wire.configPush.documents) {
    // A document's digest is computed here, so that it cannot be claimed.
    Push.Documents[base::sha256Hex(Text)] = Text;
  }
  return Push;
}

/** Reads the body of a message; an unknown kind is read as Facts. */
peers::Body readBody(const gen::PeerBody &Wire) {
  if (Wire.__isset.ping) {
    return peers::Ping{fromWire(Wire.ping.sequence)};
  }
  if (Wire.__isset.ack) {
    return peers::Ack{fromWire(Wire.ack.sequence)};
  }
  if (Wire.__isset.pingRequest) {
    return peers::PingRequest{
        fromWire(Wire.pingRequest.sequence),
        base::InstanceId(readName(Wire.pingRequest.target)),
        readName(Wire.pingRequest.address)};
  }
  if (Wire.__isset.configPull || Wire.__isset.configPush) {
    return readConfigBody(Wire);
  }
  if (Wire.__isset.forwardOnce) {
    return peers::ForwardOnce{
        fromWire(Wire.forwardOnce.call),
        base::Incarnation(fromWire(Wire.forwardOnce.process)),
        Wire.forwardOnce.payload};
  }
  if (Wire.__isset.forwardOnceReply) {
    return peers::ForwardOnceReply{fromWire(Wire.forwardOnceReply.call),
                                   Wire.forwardOnceReply.handled,
                                   Wire.forwardOnceReply.payload};
  }
  if (Wire.__isset.leave) {
    return peers::Leave{};
  }
  if (Wire.__isset.serverPull) {
    return peers::ServerPull{fromWire(Wire.serverPull.version),
                             readListCount(Wire.serverPull.first)};
  }
  if (Wire.__isset.serverPush) {
    return readServers(Wire.serverPush);
  }
  return peers::Facts{};
}

/** Converts a frame that has been parsed. */
peers::Envelope readFrame(const gen::PeerFrame &Wire) {
  if (Wire.members.size() > MaxMembers) {
    throw BadField("members");
  }
  peers::Envelope Message;
  Message.Sender = readMember(Wire.sender);
  Message.Recipient = base::InstanceId(readName(Wire.recipient));
  Message.SenderReady = Wire.ready;
  if (Wire.__isset.shown) {
    Message.ConfigVersion = readVersion(Wire.shown);
  }
  if (Wire.__isset.servers) {
    Message.ServerListVersion = fromWire(Wire.servers);
  }
  for (const gen::PeerMember &Entry : Wire.members) {
    Message.Members.push_back(readMember(Entry));
  }
  Message.PublishedFacts = readFacts(Wire.facts);
  Message.Content = readBody(Wire.body);
  return Message;
}

} // namespace

std::string encodePeerFrame(const peers::Envelope &Message,
                            std::string_view Key) {
  gen::PeerFrame Wire;
  Wire.protocol = peers::ProtocolVersion;
  Wire.compatible = peers::CompatibleVersion;
  Wire.sender = writeMember(Message.Sender);
  Wire.recipient = Message.Recipient.Value;
  if (Message.SenderReady) {
    Wire.__set_ready(true);
  }
  if (Message.ConfigVersion.Number.Value != 0) {
    Wire.__set_shown(writeVersion(Message.ConfigVersion));
  }
  if (Message.ServerListVersion != 0) {
    Wire.__set_servers(toWire(Message.ServerListVersion));
  }
  for (const peers::Member &Entry : Message.Members) {
    Wire.members.push_back(writeMember(Entry));
  }
  Wire.__isset.members = !Wire.members.empty();
  for (const query::PublishFact &Fact : Message.PublishedFacts) {
    Wire.facts.push_back(writeFact(Fact));
  }
  Wire.__isset.facts = !Wire.facts.empty();
  std::visit(BodyWriter{Wire.body}, Message.Content);
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Wire.write(&Protocol);
  std::string Payload = Buffer->getBufferAsString();
  return base::hmacSha256(Key, Payload) + Payload;
}

base::Result<peers::Envelope> decodePeerFrame(std::string_view Frame,
                                              std::string_view Key) {
  if (Frame.size() <= MacBytes) {
    return Error{ErrorKind::Protocol, "the frame is too short"};
  }
  std::string_view Payload = Frame.substr(MacBytes);
  if (!base::equalConstantTime(base::hmacSha256(Key, Payload),
                               Frame.substr(0, MacBytes))) {
    return Error{ErrorKind::Unauthorised,
                 "the frame's HMAC is wrong; give all instances one peer_key"};
  }
  try {
    // The buffer is not written to; Thrift's interface lacks the const.
    auto *Bytes =
        reinterpret_cast<uint8_t *>(const_cast<char *>(Payload.data()));
    auto Limits = std::make_shared<TConfiguration>(
        static_cast<int>(MaxPeerFrameBytes),
        static_cast<int>(MaxPeerFrameBytes), RecursionLimit);
    auto Buffer = std::make_shared<TMemoryBuffer>(
        Bytes, static_cast<uint32_t>(Payload.size()), TMemoryBuffer::OBSERVE,
        Limits);
    TCompactProtocol Protocol(Buffer);
    gen::PeerFrame Wire;
    Wire.read(&Protocol);
    if (Wire.compatible > static_cast<int32_t>(peers::ProtocolVersion)) {
      return Error{ErrorKind::Stale,
                   "the sender's release is too new; update this instance"};
    }
    return readFrame(Wire);
  } catch (const std::exception &Failure) {
    return Error{ErrorKind::Protocol,
                 std::string("the frame cannot be read: ") + Failure.what()};
  }
}

} // namespace hickorycrank::net
