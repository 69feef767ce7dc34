#include "net/upstream_pool_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::net {

using base::Clock;

namespace {

/** Idle time after which a connection is not used for a request that must not
 * run twice: the server may have closed it, and then nobody knows whether the
 * request ran. */
constexpr base::Duration MaxIdleOnce = std::chrono::milliseconds(900);
constexpr base::Duration AnyIdle = std::chrono::hours(1);

} // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context &Context,
                           ForwardHeaders Names, UpstreamCallbacks Handlers)
    : Context(Context), Names(std::move(Names)), Handlers(std::move(Handlers)) {
}

UpstreamPool::~UpstreamPool() {
  auto Closing = std::exchange(this->Open, {});
  for (auto &[Key, Connections] : Closing) {
    for (const Connection &Entry : Connections) {
      Entry->close();
    }
  }
}

void UpstreamPool::setLedger(std::shared_ptr<limits::MemoryLedger> Bound) {
  this->Ledger = std::move(Bound);
}

void UpstreamPool::listHolders(std::vector<MemoryHolder> &Out) const {
  for (const auto &[Key, Connections] : this->Open) {
    for (const Connection &Entry : Connections) {
      if (Entry->heldBytes() > 0) {
        Out.push_back(
            {Entry->heldBytes(), [Entry] { Entry->failForMemory(); }});
      }
    }
  }
}

UpstreamPool::Connection UpstreamPool::takeIdle(const UpstreamAttempt &Next) {
  auto Found = this->Open.find(Next.Order.Server);
  if (Found == this->Open.end()) {
    return nullptr;
  }
  // The one used last is at the end and the least likely to be closed.
  auto &Connections = Found->second;
  base::Duration MaxIdle = Next.Order.Idempotent ? AnyIdle : MaxIdleOnce;
  for (auto It = Connections.rbegin(); It != Connections.rend(); ++It) {
    if ((*It)->isReusable(Clock::now(), MaxIdle) &&
        !(*It)->hasCarried(Next.Source->IdHash)) {
      Connection Taken = *It;
      std::rotate(std::prev(It.base()), It.base(), Connections.end());
      return Taken;
    }
  }
  return nullptr;
}

void UpstreamPool::send(UpstreamAttempt Next) {
  forward::ServerKey Server = Next.Order.Server;
  if (Connection Idle = this->takeIdle(Next)) {
    ++this->Counters.Reused;
    Idle->send(std::move(Next));
    return;
  }
  auto &Connections = this->Open[Server];
  if (Connections.size() >= Next.MaxConnections) {
    // All of them are idle for too long or busy: make room.
    auto Idle = std::find_if(Connections.begin(), Connections.end(),
                             [](const Connection &Entry) {
                               return Entry->phase() == UpstreamPhase::Idle;
                             });
    if (Idle != Connections.end()) {
      Connection Closing = *Idle;
      Closing->close();
    }
  }
  auto Opened =
      std::make_shared<UpstreamConnection>(this->Context, *this, Server);
  forward::AttemptRef Ref = Next.Order.Ref;
  std::string Address = Next.Order.Address;
  this->Open[Server].push_back(Opened);
  ++this->Counters.Opened;
  if (!Opened->open(Address, std::move(Next))) {
    Opened->close();
    this->Handlers.OnFailure(Ref, Server, forward::AttemptFailure::NotSent);
  }
}

void UpstreamPool::probe(forward::ServerKey Server,
                         const std::string &Address) {
  auto Opened =
      std::make_shared<UpstreamConnection>(this->Context, *this, Server);
  this->Open[Server].push_back(Opened);
  ++this->Counters.Opened;
  if (!Opened->open(Address, std::nullopt)) {
    Opened->close();
    this->Handlers.OnProbed(Server, false);
  }
}

UpstreamPool::Connection
UpstreamPool::findAttempt(const forward::AttemptRef &Ref,
                          forward::ServerKey Server) const {
  auto Found = this->Open.find(Server);
  if (Found == this->Open.end()) {
    return nullptr;
  }
  for (const Connection &Entry : Found->second) {
    if (Entry->attempt() && Entry->attempt()->Order.Ref == Ref) {
      return Entry;
    }
  }
  return nullptr;
}

void UpstreamPool::abandon(const forward::AttemptRef &Ref,
                           forward::ServerKey Server) {
  if (Connection Found = this->findAttempt(Ref, Server)) {
    Found->abandon(Clock::now());
  }
}

void UpstreamPool::cancel(const forward::AttemptRef &Ref,
                          forward::ServerKey Server) {
  if (Connection Found = this->findAttempt(Ref, Server)) {
    Found->close();
  }
}

void UpstreamPool::retire(forward::ServerKey Server) {
  auto Found = this->Open.find(Server);
  if (Found == this->Open.end()) {
    return;
  }
  std::vector<Connection> Connections = Found->second;
  for (const Connection &Entry : Connections) {
    Entry->Retired = true;
    if (Entry->phase() == UpstreamPhase::Idle) {
      Entry->close();
    }
  }
}

void UpstreamPool::sweep(base::TimePoint Now) {
  std::vector<Connection> All;
  for (const auto &[Key, Connections] : this->Open) {
    All.insert(All.end(), Connections.begin(), Connections.end());
  }
  std::vector<forward::ServerKey> Silent;
  for (const Connection &Entry : All) {
    if (Entry->sweep(Now)) {
      Silent.push_back(Entry->server());
    }
  }
  // Connections that went silent together are not tried one by one.
  for (forward::ServerKey Server : Silent) {
    this->retire(Server);
  }
}

size_t UpstreamPool::connections() const {
  size_t Count = 0;
  for (const auto &[Key, Connections] : this->Open) {
    Count += Connections.size();
  }
  return Count;
}

void UpstreamPool::limitUnfinishedBytes() {
  while (this->UnfinishedBytes > MaxUnfinishedBytes) {
    Connection Largest;
    for (const auto &[Key, Connections] : this->Open) {
      for (const Connection &Entry : Connections) {
        if (!Largest || Entry->receivedBytes() > Largest->receivedBytes()) {
          Largest = Entry;
        }
      }
    }
    if (!Largest) {
      return;
    }
    Largest->failOversized();
  }
}

void UpstreamPool::closed(const UpstreamConnection &Ended) {
  auto Found = this->Open.find(Ended.server());
  if (Found == this->Open.end()) {
    return;
  }
  std::erase_if(Found->second,
                [&](const Connection &Entry) { return Entry.get() == &Ended; });
  if (Found->second.empty()) {
    this->Open.erase(Found);
  }
}

} // namespace hickorycrank::net
