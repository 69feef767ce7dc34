#include "net/peer_connection_base.h"

#include "net/peer_codec_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace hickorycrank::net {

namespace asio = boost::asio;
using base::Clock;
using boost::system::error_code;

PeerConnection::PeerConnection(asio::ip::tcp::socket Socket,
                               std::weak_ptr<PeerTransport> Owner,
                               const PeerLimits &Limits)
    : Socket(std::move(Socket)), Owner(std::move(Owner)), Limits(Limits),
      Timer(this->Socket.get_executor()), LastHeard(Clock::now()),
      LastUsed(Clock::now()) {}

void PeerConnection::serve() {
  asio::dispatch(
      this->Socket.get_executor(), [Self = this->shared_from_this()] {
        error_code Ignored;
        Self->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
        Self->Connected = true;
        // The side that opened it closes it first when idle, so
        // that its next frame does not meet a closed socket.
        Self->watchIdle(2 * Self->Limits.IdleTime);
        Self->readLength();
        Self->writeNext();
      });
}

void PeerConnection::connect(const asio::ip::tcp::endpoint &Target) {
  asio::dispatch(
      this->Socket.get_executor(), [Self = this->shared_from_this(), Target] {
        Self->Timer.expires_after(Self->Limits.ConnectTimeout);
        Self->Timer.async_wait([Self](error_code Failure) {
          if (!Failure && !Self->Connected) {
            Self->closeNow();
          }
        });
        Self->Socket.async_connect(Target, [Self](error_code Failure) {
          if (Self->Closed) {
            return;
          }
          if (Failure) {
            if (auto Owner = Self->Owner.lock()) {
              Owner->add(PeerCount::ConnectFailed);
            }
            Self->closeNow();
            return;
          }
          error_code Ignored;
          Self->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
          Self->Connected = true;
          Self->watchIdle(Self->Limits.IdleTime);
          Self->readLength();
          Self->writeNext();
        });
      });
}

void PeerConnection::write(std::string Frame,
                           PeerTransport::FailureCallback OnFailure) {
  asio::dispatch(
      this->Socket.get_executor(),
      [Self = this->shared_from_this(), Frame = std::move(Frame),
       OnFailure = std::move(OnFailure)]() mutable {
        bool Full =
            Self->QueuedBytes + Frame.size() > Self->Limits.MaxQueuedBytes;
        if (Self->Closed || Full) {
          if (auto Owner = Self->Owner.lock(); Owner && Full) {
            Owner->add(PeerCount::QueueFull);
          }
          if (OnFailure) {
            OnFailure(false);
          }
          return;
        }
        Self->QueuedBytes += Frame.size();
        Self->Queue.push_back({std::move(Frame), std::move(OnFailure)});
        Self->writeNext();
      });
}

void PeerConnection::writeNext() {
  if (!this->Connected || this->Writing || this->Closed ||
      this->Queue.empty()) {
    return;
  }
  this->Writing = true;
  this->LastUsed = Clock::now();
  asio::async_write(
      this->Socket, asio::buffer(this->Queue.front().Frame),
      [Self = this->shared_from_this()](error_code Failure, size_t) {
        if (Self->Closed) {
          return;
        }
        if (Failure) {
          Self->closeNow();
          return;
        }
        Self->Writing = false;
        Self->QueuedBytes -= Self->Queue.front().Frame.size();
        Self->Queue.pop_front();
        Self->writeNext();
      });
}

void PeerConnection::readLength() {
  asio::async_read(
      this->Socket, asio::buffer(this->Length),
      [Self = this->shared_from_this()](error_code Failure, size_t) {
        if (Failure || Self->Closed) {
          Self->closeNow();
          return;
        }
        size_t Length = 0;
        for (unsigned char Byte : Self->Length) {
          Length = Length * 256 + Byte;
        }
        if (Length == 0 || Length > MaxPeerFrameBytes) {
          // What follows cannot be told apart from frames any more.
          if (auto Owner = Self->Owner.lock()) {
            Owner->add(PeerCount::TooLarge);
          }
          Self->closeNow();
          return;
        }
        Self->readFrame(Length);
      });
}

void PeerConnection::readFrame(size_t Length) {
  this->Incoming.resize(Length);
  asio::async_read(
      this->Socket, asio::buffer(this->Incoming),
      [Self = this->shared_from_this()](error_code Failure, size_t) {
        auto Owner = Self->Owner.lock();
        if (Failure || Self->Closed || !Owner) {
          Self->closeNow();
          return;
        }
        Self->LastUsed = Clock::now();
        std::string Frame = std::exchange(Self->Incoming, {});
        Owner->received(Self, Frame);
        if (!Self->Closed) {
          Self->readLength();
        }
      });
}

void PeerConnection::watchIdle(std::chrono::milliseconds Span) {
  this->Timer.expires_at(this->LastUsed + Span);
  this->Timer.async_wait(
      [Self = this->shared_from_this(), Span](error_code Failure) {
        if (Failure || Self->Closed) {
          return;
        }
        if (Clock::now() - Self->LastUsed >= Span) {
          Self->closeNow();
          return;
        }
        Self->watchIdle(Span);
      });
}

void PeerConnection::close() {
  asio::dispatch(this->Socket.get_executor(),
                 [Self = this->shared_from_this()] { Self->closeNow(); });
}

void PeerConnection::closeNow() {
  if (this->Closed) {
    return;
  }
  this->Closed = true;
  this->Timer.cancel();
  error_code Ignored;
  this->Socket.close(Ignored);
  std::deque<Pending> Lost = std::move(this->Queue);
  this->Queue.clear();
  for (size_t I = 0; I < Lost.size(); ++I) {
    if (Lost[I].OnFailure) {
      Lost[I].OnFailure(I == 0 && this->Writing);
    }
  }
  if (auto Owner = this->Owner.lock()) {
    Owner->closed(this->shared_from_this());
  }
}

} // namespace hickorycrank::net
