// Messages between entry instances that forward requests. Compact protocol.
// Fields may be added with new numbers; numbers are never reused.
namespace cpp hickorycrank.gen

// Servers that crashed during calls with the same content.
struct CrashReport {
  1: required i64 content;
  2: required list<i64> calls; // unique among all instances
  3: required i64 ageMs;       // since the last known crash
  4: optional list<i64> services; // of each call; not in older releases
}

// One datagram, sent to every known instance at a fixed period.
struct Heartbeat {
  1: required string address;       // "IP:port" for datagrams
  2: required string control;       // "IP:port" that serves snapshots
  // 3 was the number of the process.
  4: required bool leaving;
  5: required i64 changedAt;        // revision of the view's last change
  6: required bool storeHealthy;    // the last call to the store succeeded
  7: required list<string> peers;   // some datagram addresses
  8: required list<i64> quarantined; // content; for older releases
  9: required string domain;        // failure domain
  10: required bool storeStable;    // no call has failed for some seconds
  11: i64 changedAtEpoch;           // epoch of the store of changedAt
  12: bool acceptsRelays;           // serves callers' requests for others
  13: optional list<CrashReport> crashes; // replaces quarantined
  14: optional i64 viewAgeMs;       // since the view was known to be complete
  15: optional i32 capacity;        // thousandths of a core; not in older releases
}

struct ViewChange {
  1: required i32 kind;
  2: required string name;
  3: required binary value;
  4: required i64 revision;
  5: required bool deleted;
  6: i64 epoch;            // epoch of the store of the revision
}

// What an instance knows from the platform's store, or what has changed.
struct ViewUpdate {
  1: required i64 revision;
  2: required i64 changedAt;
  3: required i64 since;   // applies to views from this revision on
  4: required bool complete; // items that are not named are gone
  5: required list<ViewChange> changes;
  6: i64 epoch;            // epoch of the store of the revision
  7: i64 changedAtEpoch;
  8: i64 sinceEpoch;
}
