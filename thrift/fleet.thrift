// Messages between entry instances that forward requests. Compact protocol.
// Fields may be added with new numbers; numbers are never reused.
namespace cpp hickorycrank.gen

// One datagram, sent to every known instance at a fixed period.
struct Heartbeat {
  1: required string address;       // "IP:port" for datagrams
  2: required string control;       // "IP:port" that serves snapshots
  3: required i64 incarnation;
  4: required bool leaving;
  5: required i64 changedAt;        // revision of the view's last change
  6: required bool storeHealthy;
  7: required list<string> peers;   // datagram addresses
  8: required list<i64> quarantined; // content of crashing requests
}

struct SnapshotItem {
  1: required i32 kind;
  2: required string name;
  3: required binary value;
  4: required i64 revision;
}

// Everything that an instance knows from the platform's store.
struct ViewSnapshot {
  1: required i64 revision;
  2: required i64 changedAt;
  3: required list<SnapshotItem> items;
}
