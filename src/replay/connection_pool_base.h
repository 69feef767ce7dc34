#ifndef HICKORYCRANK_REPLAY_CONNECTION_POOL_BASE_H
#define HICKORYCRANK_REPLAY_CONNECTION_POOL_BASE_H

#include "query/action_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hickorycrank::replay {

/** A connection from an instance to a server; carries one attempt at a time. */
struct Connection {
  bool Silent = false;   ///< Carries no more bytes, but stays open.
  bool Retired = false;  ///< To be closed once it is idle.
  uint32_t Timeouts = 0; ///< Attempts that timed out on it.
  std::optional<query::SendAttempt> Carried;
};

/**
 * Connections of one instance to one server: reuses idle ones, opens others up
 * to a limit, and lets attempts wait beyond it.
 */
class ConnectionPool {
public:
  /** @param Limit Largest number of connections. */
  explicit ConnectionPool(uint32_t Limit) : Limit(Limit) {}

  /**
   * Takes an idle connection.
   * @param Sent The attempt it is to carry.
   * @return The connection, or nothing.
   */
  std::optional<uint64_t> reuse(const query::SendAttempt &Sent) {
    if (this->Idle.empty()) {
      return std::nullopt;
    }
    uint64_t Id = this->Idle.back();
    this->Idle.pop_back();
    this->Open[Id].Carried = Sent;
    return Id;
  }

  /**
   * Begins to open a connection; closes an idle one at the limit.
   * @param Id Name of the connection.
   * @param Sent The attempt it is to carry.
   * @return Whether the limit allows it.
   */
  bool open(uint64_t Id, const query::SendAttempt &Sent) {
    if (this->Open.size() >= this->Limit) {
      if (this->Idle.empty()) {
        return false;
      }
      this->Open.erase(this->Idle.front());
      this->Idle.erase(this->Idle.begin());
    }
    this->Open[Id].Carried = Sent;
    return true;
  }

  /** @param Id A connection whose exchange has ended. */
  void release(uint64_t Id) {
    auto Found = this->Open.find(Id);
    if (Found == this->Open.end()) {
      return;
    }
    Found->second.Carried.reset();
    if (Found->second.Retired) {
      this->Open.erase(Found);
    } else {
      this->Idle.push_back(Id);
    }
  }

  /** @param Id A connection to close. */
  void close(uint64_t Id) {
    this->Open.erase(Id);
    std::erase(this->Idle, Id);
  }

  /** Closes idle connections at once and the others after their exchange. */
  void retireAll() {
    for (uint64_t Id : this->Idle) {
      this->Open.erase(Id);
    }
    this->Idle.clear();
    for (auto &[Id, Entry] : this->Open) {
      Entry.Retired = true;
    }
  }

  /** Makes all open connections silent. */
  void silence() {
    for (auto &[Id, Entry] : this->Open) {
      Entry.Silent = true;
    }
  }

  /** @param Id A connection. @return It, or nullptr if it is closed. */
  Connection *find(uint64_t Id) {
    auto Found = this->Open.find(Id);
    return Found == this->Open.end() ? nullptr : &Found->second;
  }

  /** @param Id An attempt. @return The connection that carries it. */
  std::optional<uint64_t> carrier(base::AttemptId Id) const {
    for (const auto &[Name, Entry] : this->Open) {
      if (Entry.Carried && Entry.Carried->Id == Id) {
        return Name;
      }
    }
    return std::nullopt;
  }

  /** Attempts that wait for a connection. */
  std::deque<query::SendAttempt> Waiting;

private:
  uint32_t Limit;
  std::map<uint64_t, Connection> Open;
  std::vector<uint64_t> Idle;
};

} // namespace hickorycrank::replay

#endif
