#include "net/fleet_codec_func.h"

#include "config/settings_func.h"

#include <fleet_types.h>
#include <memory>
#include <optional>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace hickorycrank::net {

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;
using base::Error;
using base::ErrorKind;

namespace {

constexpr int RecursionLimit = 16;
/** More than any deployment has; bounds what a wrong sender can cost. */
constexpr size_t MaxListedPeers = 256;
constexpr size_t MaxQuarantined = 256;
constexpr size_t MaxItems = 65'536;
/** In thousandths of a core; no machine has more. */
constexpr int32_t MaxCapacity = 4'096'000;
/** An older view counts as never complete. */
constexpr std::chrono::milliseconds MaxViewAge = std::chrono::hours(1);

template <typename Message> std::string encode(const Message &Source) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Source.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename Message>
base::Result<Message> decode(std::string_view Bytes, const char *Name) {
  auto Limits = std::make_shared<TConfiguration>(
      static_cast<int>(Bytes.size()) + 1, static_cast<int>(Bytes.size()) + 1,
      RecursionLimit);
  // The buffer is only read.
  auto *Data =
      const_cast<uint8_t *>(reinterpret_cast<const uint8_t *>(Bytes.data()));
  auto Buffer =
      std::make_shared<TMemoryBuffer>(Data, static_cast<uint32_t>(Bytes.size()),
                                      TMemoryBuffer::OBSERVE, Limits);
  TCompactProtocol Protocol(Buffer);
  Message Decoded;
  try {
    Decoded.read(&Protocol);
  } catch (const TException &Failure) {
    return Error{ErrorKind::Protocol, std::string(Name) + ": " +
                                          Failure.what() +
                                          "; run one release on all instances"};
  } catch (const std::bad_alloc &) {
    return Error{ErrorKind::TooLarge,
                 std::string(Name) + ": states more than it holds"};
  }
  return Decoded;
}

/** @return The kind with a number on the wire, or nothing if it is unknown. */
std::optional<discovery::ItemKind> itemKindFromWire(int32_t Number) {
  using discovery::ItemKind;
  for (ItemKind Known :
       {ItemKind::Server, ItemKind::Configuration, ItemKind::Evacuation}) {
    if (Number == static_cast<int32_t>(Known)) {
      return Known;
    }
  }
  return std::nullopt;
}

/** Older releases send no epoch, which is decoded as 0. */
discovery::StorePosition fromWire(int64_t Epoch, int64_t Revision) {
  return {static_cast<uint64_t>(Epoch), static_cast<uint64_t>(Revision)};
}

} // namespace

std::string encodeHeartbeat(const fleet::Heartbeat &Source) {
  gen::Heartbeat Wire;
  Wire.address = Source.Address;
  Wire.control = Source.ControlAddress;
  Wire.leaving = Source.Leaving;
  Wire.changedAt = static_cast<int64_t>(Source.LastChange.Revision);
  Wire.__set_changedAtEpoch(static_cast<int64_t>(Source.LastChange.Epoch));
  Wire.storeHealthy = Source.StoreHealthy;
  Wire.storeStable = Source.StoreStable;
  Wire.__set_acceptsRelays(Source.AcceptsRelays);
  if (Source.ViewAge) {
    Wire.__set_viewAgeMs(Source.ViewAge->count());
  }
  if (Source.Capacity) {
    Wire.__set_capacity(static_cast<int32_t>(*Source.Capacity));
  }
  Wire.domain = Source.Domain.Value;
  Wire.peers = Source.Peers;
  for (base::Fingerprint Content : Source.QuarantinedFingerprints) {
    Wire.quarantined.push_back(static_cast<int64_t>(Content.Value));
  }
  if (Source.Crashes) {
    Wire.__isset.crashes = true;
    for (const forward::CrashReport &Report : *Source.Crashes) {
      gen::CrashReport Entry;
      Entry.content = static_cast<int64_t>(Report.Content.Value);
      Entry.calls.assign(Report.Calls.begin(), Report.Calls.end());
      Entry.ageMs = Report.Age.count();
      Entry.__set_services({Report.Services.begin(), Report.Services.end()});
      Wire.crashes.push_back(std::move(Entry));
    }
  }
  return encode(Wire);
}

base::Result<fleet::Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  auto Decoded = decode<gen::Heartbeat>(Bytes, "heartbeat");
  if (!Decoded) {
    return Decoded.error();
  }
  const gen::Heartbeat &Wire = Decoded.value();
  bool Valid = config::parseEndpoint(Wire.address) &&
               config::parseEndpoint(Wire.control) &&
               Wire.peers.size() <= MaxListedPeers &&
               Wire.quarantined.size() <= MaxQuarantined &&
               Wire.crashes.size() <= MaxQuarantined && Wire.viewAgeMs >= 0 &&
               Wire.viewAgeMs <= MaxViewAge.count() &&
               (!Wire.__isset.capacity ||
                (Wire.capacity > 0 && Wire.capacity <= MaxCapacity));
  if (!Valid) {
    return Error{ErrorKind::Protocol, "heartbeat: a field is out of range"};
  }
  fleet::Heartbeat Result;
  Result.Address = Wire.address;
  Result.ControlAddress = Wire.control;
  Result.Leaving = Wire.leaving;
  Result.LastChange = fromWire(Wire.changedAtEpoch, Wire.changedAt);
  Result.StoreHealthy = Wire.storeHealthy;
  Result.StoreStable = Wire.storeStable;
  Result.AcceptsRelays = Wire.acceptsRelays; // Older releases send none.
  if (Wire.__isset.viewAgeMs) {
    Result.ViewAge = std::chrono::milliseconds(Wire.viewAgeMs);
  }
  if (Wire.__isset.capacity) {
    Result.Capacity = static_cast<uint32_t>(Wire.capacity);
  }
  Result.Domain = base::FailureDomainId(Wire.domain);
  for (const std::string &Peer : Wire.peers) {
    if (config::parseEndpoint(Peer)) {
      Result.Peers.push_back(Peer);
    }
  }
  for (int64_t Content : Wire.quarantined) {
    Result.QuarantinedFingerprints.emplace_back(static_cast<uint64_t>(Content));
  }
  if (Wire.__isset.crashes) {
    Result.Crashes.emplace();
    for (const gen::CrashReport &Entry : Wire.crashes) {
      Result.Crashes->push_back(
          {base::Fingerprint(static_cast<uint64_t>(Entry.content)),
           {Entry.calls.begin(), Entry.calls.end()},
           std::chrono::milliseconds(Entry.ageMs),
           {Entry.services.begin(), Entry.services.end()}});
    }
  }
  return Result;
}

std::string encodeUpdate(const discovery::Update &Source) {
  gen::ViewUpdate Wire;
  Wire.revision = static_cast<int64_t>(Source.Position.Revision);
  Wire.__set_epoch(static_cast<int64_t>(Source.Position.Epoch));
  Wire.changedAt = static_cast<int64_t>(Source.LastChange.Revision);
  Wire.__set_changedAtEpoch(static_cast<int64_t>(Source.LastChange.Epoch));
  Wire.since = static_cast<int64_t>(Source.Since.Revision);
  Wire.__set_sinceEpoch(static_cast<int64_t>(Source.Since.Epoch));
  Wire.complete = Source.Complete;
  for (const discovery::Change &Entry : Source.Changes) {
    gen::ViewChange Change;
    Change.kind = static_cast<int32_t>(Entry.ChangedItem.Kind);
    Change.name = Entry.ChangedItem.Name;
    Change.value = Entry.ChangedItem.Value;
    Change.revision = static_cast<int64_t>(Entry.ChangedItem.Position.Revision);
    Change.__set_epoch(static_cast<int64_t>(Entry.ChangedItem.Position.Epoch));
    Change.deleted = Entry.Deleted;
    Wire.changes.push_back(std::move(Change));
  }
  return encode(Wire);
}

base::Result<discovery::Update> decodeUpdate(std::string_view Bytes) {
  auto Decoded = decode<gen::ViewUpdate>(Bytes, "view update");
  if (!Decoded) {
    return Decoded.error();
  }
  gen::ViewUpdate &Wire = Decoded.value();
  if (Wire.changes.size() > MaxItems) {
    return Error{ErrorKind::TooLarge, "view update: too many changes"};
  }
  discovery::Update Result;
  Result.Position = fromWire(Wire.epoch, Wire.revision);
  Result.LastChange = fromWire(Wire.changedAtEpoch, Wire.changedAt);
  Result.Since = fromWire(Wire.sinceEpoch, Wire.since);
  Result.Complete = Wire.complete;
  for (gen::ViewChange &Entry : Wire.changes) {
    auto Kind = itemKindFromWire(Entry.kind);
    if (!Kind) {
      continue; // A newer release may know more kinds.
    }
    Result.Changes.push_back(
        {{*Kind, std::move(Entry.name), std::move(Entry.value),
          fromWire(Entry.epoch, Entry.revision)},
         Entry.deleted});
  }
  return Result;
}

} // namespace hickorycrank::net
