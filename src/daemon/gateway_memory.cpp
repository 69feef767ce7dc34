#include "daemon/gateway_base.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace hickorycrank::daemon {

void Gateway::startMemoryLimit() {
  this->Ledger = std::make_shared<limits::MemoryLedger>(
      limits::heldBytesLimit(this->Settings.Size.MemoryBytes),
      [Weak = this->weak_from_this()] {
        if (auto Self = Weak.lock()) {
          Self->onMemoryExceeded();
        }
      });
  this->Upstream.setLedger(this->Ledger);
  this->PeerLinks.setLedger(this->Ledger);
  this->CallerServer.setLedger(this->Ledger);
  this->RelayServer.setLedger(this->Ledger);
}

void Gateway::onMemoryExceeded() {
  if (std::exchange(this->ReleasePending, true)) {
    return;
  }
  // The connection that reports it is in use further up the stack.
  boost::asio::post(this->Context, [Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock()) {
      Self->closeLargestHolders();
    }
  });
}

void Gateway::closeLargestHolders() {
  this->ReleasePending = false;
  std::vector<net::MemoryHolder> Holders;
  this->CallerServer.listHolders(Holders);
  this->RelayServer.listHolders(Holders);
  this->Upstream.listHolders(Holders);
  this->PeerLinks.listHolders(Holders);
  uint64_t Before = this->Ledger->heldBytes();
  net::ReleasedMemory Released =
      net::closeLargestHolders(*this->Ledger, Holders);
  if (Released.Connections == 0) {
    return; // Messages have ended in the meantime.
  }
  this->EventLog.log(
      base::Clock::now(), LogLevel::Warning, "gateway.memory_limit",
      {{"closed", std::to_string(Released.Connections)},
       {"released_bytes", std::to_string(Released.Bytes)},
       {"held_bytes", std::to_string(Before)},
       {"limit_bytes", std::to_string(this->Ledger->maxBytes())}});
}

} // namespace hickorycrank::daemon
