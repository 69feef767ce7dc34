#include "net/forward_server_base.h"

#include "net/forward_session_base.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickorycrank::net {

namespace asio = boost::asio;
using asio::ip::tcp;

ForwardServer::ForwardServer(asio::io_context &Context,
                             const config::Endpoint &Where, Callbacks Handlers)
    : Shared(std::make_shared<State>(Context, std::move(Handlers))) {
  tcp::endpoint Target(asio::ip::make_address(Where.Address), Where.Port);
  this->Shared->Acceptor.open(Target.protocol());
  this->Shared->Acceptor.set_option(asio::socket_base::reuse_address(true));
  this->Shared->Acceptor.bind(Target);
  this->Shared->Acceptor.listen();
}

ForwardServer::~ForwardServer() {
  this->Shared->Stopped = true;
  boost::system::error_code Ignored;
  this->Shared->Acceptor.close(Ignored);
  this->Shared->Sessions.clear();
}

void ForwardServer::start() { accept(this->Shared); }

void ForwardServer::accept(const std::shared_ptr<State> &Shared) {
  Shared->Acceptor.async_accept(
      [Shared](boost::system::error_code Failure, tcp::socket Socket) {
        if (Shared->Stopped || Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure) {
          boost::system::error_code Ignored;
          Socket.set_option(tcp::no_delay(true), Ignored);
          ++Shared->Counters.Accepted;
          auto Session =
              std::make_shared<ForwardSession>(std::move(Socket), Shared);
          Shared->Sessions.insert(Session);
          Session->start();
        }
        accept(Shared);
      });
}

void ForwardServer::setLimits(const forward::CallerLimits &Limits) {
  this->Shared->Limits = Limits;
  this->Shared->Limits.MaxHeaderBytes =
      std::min<uint32_t>(Limits.MaxHeaderBytes, MaxUnparsedBytes);
}

void ForwardServer::setLedger(std::shared_ptr<limits::MemoryLedger> Ledger) {
  this->Shared->Ledger = std::move(Ledger);
}

void ForwardServer::listHolders(std::vector<MemoryHolder> &Out) {
  for (const auto &Session : this->Shared->Sessions) {
    if (Session->heldBytes() > 0) {
      Out.push_back(
          {Session->heldBytes(), [Session] { Session->closeForMemory(); }});
    }
  }
}

void ForwardServer::respond(ForwardToken Token, ForwardResponse &&Response,
                            base::Duration TimeLeft) {
  auto Found = this->Shared->Waiting.find(Token);
  if (Found != this->Shared->Waiting.end()) {
    Found->second->respond(std::move(Response), TimeLeft);
  }
}

void ForwardServer::setClosing(bool Closing) {
  this->Shared->Closing = Closing || this->Shared->Stopped;
}

void ForwardServer::stopAccepting() {
  this->Shared->Closing = true;
  this->Shared->Stopped = true;
  boost::system::error_code Ignored;
  this->Shared->Acceptor.close(Ignored);
  std::vector<std::shared_ptr<ForwardSession>> Open(
      this->Shared->Sessions.begin(), this->Shared->Sessions.end());
  for (const auto &Session : Open) {
    Session->closeIfIdle();
  }
}

void ForwardServer::sweep(base::TimePoint Now) {
  std::vector<std::shared_ptr<ForwardSession>> Open(
      this->Shared->Sessions.begin(), this->Shared->Sessions.end());
  for (const auto &Session : Open) {
    Session->sweep(Now);
  }
}

size_t ForwardServer::requestsInProgress() const {
  return this->Shared->InProgress;
}

size_t ForwardServer::connections() const {
  return this->Shared->Sessions.size();
}

config::Endpoint ForwardServer::endpoint() const {
  tcp::endpoint Local = this->Shared->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

const ForwardServerCounters &ForwardServer::counters() const {
  return this->Shared->Counters;
}

} // namespace hickorycrank::net
