// Messages between entry instances. Compact protocol, one PeerFrame per frame.
// Fields may be added with new numbers; numbers are never reused. A release
// drops frames whose "compatible" is above its own protocol version.
namespace cpp hickorycrank.gen

struct Version {
  1: required i64 revision;
  2: required binary manifestSha256;
}

struct PeerMember {
  1: required string id;
  2: required string address;
  3: required string domain;
  4: required i64 process;
  5: required i64 refutation;
  6: required i32 state;
}

struct Fact {
  1: required i32 kind;
  2: optional string server;
  3: optional i64 process;
  4: optional i64 fingerprint;
  5: required i32 lifetimeMs;
}

struct PingBody { 1: required i64 sequence; }

struct AckBody { 1: required i64 sequence; }

struct PingRequestBody {
  1: required i64 sequence;
  2: required string target;
  3: required string address;
}

struct FactsBody {}

struct ConfigPullBody {
  1: required Version version;
  2: required list<binary> wanted;
}

struct ConfigPushBody {
  1: required Version version;
  2: optional binary manifest;
  3: required list<binary> documents;
}

struct ForwardOnceBody {
  1: required i64 call;
  2: required i64 process;
  3: required binary payload;
}

struct ForwardOnceReplyBody {
  1: required i64 call;
  2: required bool handled;
  3: optional binary payload;
}

struct LeaveBody {}

// The indices are positions in the lists of names of ServerPushBody.
struct ListedServer {
  1: required string id;
  2: required i32 serviceIndex;
  3: required string address;
  4: required i32 domainIndex;
  5: required i64 process;
  6: optional bool leaving;
}

struct ServerPullBody {
  1: required i64 version;
  2: required i32 first;
}

struct ServerPushBody {
  1: required i64 version;
  2: required i32 instances;
  3: required i32 total;
  4: required i32 first;
  5: required list<string> services;
  6: required list<string> domains;
  7: required list<ListedServer> servers;
}

union PeerBody {
  1: PingBody ping;
  2: AckBody ack;
  3: PingRequestBody pingRequest;
  4: FactsBody facts;
  5: ConfigPullBody configPull;
  6: ConfigPushBody configPush;
  7: ForwardOnceBody forwardOnce;
  8: ForwardOnceReplyBody forwardOnceReply;
  9: LeaveBody leave;
  10: ServerPullBody serverPull;
  11: ServerPushBody serverPush;
}

struct PeerFrame {
  1: required i32 protocol;
  2: required i32 compatible;
  3: required PeerMember sender;
  4: required string recipient;
  5: optional bool ready;
  6: optional Version shown;
  7: optional list<PeerMember> members;
  8: optional list<Fact> facts;
  9: required PeerBody body;
  10: optional i64 servers;
}
