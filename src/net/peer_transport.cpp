#include "net/peer_transport_base.h"

#include "config/settings_func.h"
#include "net/peer_codec_func.h"
#include "net/peer_connection_base.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/strand.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace hickorycrank::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Clock;

namespace {

/** Delay before accepting again after an error such as too many files. */
constexpr std::chrono::milliseconds AcceptRetryDelay(100);

/** @param Message A message. @return Whether it belongs to a call. */
bool isCall(const peers::Envelope &Message) {
  return std::holds_alternative<peers::ForwardOnce>(Message.Content) ||
         std::holds_alternative<peers::ForwardOnceReply>(Message.Content);
}

/** @param Where An endpoint. @return The same for Asio. */
tcp::endpoint toAsio(const config::Endpoint &Where) {
  return {asio::ip::make_address(Where.Address), Where.Port};
}

/** @param Payload Bytes of a frame. @return The same after their length. */
std::string withLength(const std::string &Payload) {
  std::string Frame;
  Frame.reserve(Payload.size() + 4);
  for (int Shift = 24; Shift >= 0; Shift -= 8) {
    Frame.push_back(static_cast<char>((Payload.size() >> Shift) & 0xFFU));
  }
  return Frame + Payload;
}

} // namespace

const char *toString(PeerCount Which) {
  static constexpr const char *Names[] = {
      "control_bytes_sent", "control_bytes_received",
      "call_bytes_sent",    "call_bytes_received",
      "frames_sent",        "frames_received",
      "malformed_frames",   "unauthenticated_frames",
      "too_large_frames",   "unsupported_version_frames",
      "queue_full_frames",  "connect_failures",
      "connections_opened"};
  return Names[static_cast<size_t>(Which)];
}

PeerTransport::PeerTransport(asio::io_context &Context,
                             const config::Endpoint &Where, std::string Key,
                             PeerLimits Limits)
    : Context(Context), Key(std::move(Key)), Limits(Limits),
      Acceptor(asio::make_strand(Context), toAsio(Where)) {
  this->Bound = {Where.Address, this->Acceptor.local_endpoint().port()};
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::start(Receiver Receive) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Receive = std::move(Receive);
  }
  asio::dispatch(this->Acceptor.get_executor(),
                 [Self = this->shared_from_this()] { Self->accept(); });
}

void PeerTransport::accept() {
  this->Acceptor.async_accept(
      asio::make_strand(this->Context),
      [Weak = this->weak_from_this()](boost::system::error_code Failure,
                                      tcp::socket Socket) {
        auto Self = Weak.lock();
        if (!Self || Self->Stopped) {
          return;
        }
        if (Failure) {
          auto Timer = std::make_shared<asio::steady_timer>(
              Self->Acceptor.get_executor(), AcceptRetryDelay);
          Timer->async_wait([Weak, Timer](boost::system::error_code) {
            if (auto Again = Weak.lock(); Again && !Again->Stopped) {
              Again->accept();
            }
          });
          return;
        }
        auto Connection = std::make_shared<PeerConnection>(std::move(Socket),
                                                           Weak, Self->Limits);
        bool Serve = false;
        {
          std::lock_guard Lock(Self->Mutex);
          Serve = Self->Open.size() < Self->Limits.MaxConnections;
          if (Serve) {
            Self->Open.insert(Connection);
          }
        }
        if (Serve) {
          Connection->serve();
        }
        Self->accept();
      });
}

void PeerTransport::stop() {
  this->Stopped = true;
  asio::dispatch(this->Acceptor.get_executor(),
                 [Self = this->shared_from_this()] {
                   boost::system::error_code Ignored;
                   Self->Acceptor.close(Ignored);
                 });
  std::set<std::shared_ptr<PeerConnection>> Closing;
  {
    std::lock_guard Lock(this->Mutex);
    Closing.swap(this->Open);
    this->ByAddress.clear();
    this->Receive = nullptr;
    this->Hook = nullptr;
  }
  for (const auto &Connection : Closing) {
    Connection->close();
  }
}

void PeerTransport::setFrameHook(FrameHook Hook) {
  std::lock_guard Lock(this->Mutex);
  this->Hook = std::move(Hook);
}

size_t PeerTransport::connections() const {
  std::lock_guard Lock(this->Mutex);
  return this->Open.size();
}

void PeerTransport::send(const std::string &Address,
                         const peers::Envelope &Message, bool NewConnection,
                         FailureCallback OnFailure) {
  FrameHook Ask;
  {
    std::lock_guard Lock(this->Mutex);
    Ask = this->Hook;
  }
  FrameFate Fate = Ask ? Ask(Message) : FrameFate{};
  if (Fate.Drop) {
    return;
  }
  if (Fate.Delay.count() == 0) {
    this->dispatch(Address, Message, NewConnection, std::move(OnFailure));
    return;
  }
  auto Timer = std::make_shared<asio::steady_timer>(this->Context, Fate.Delay);
  Timer->async_wait(
      [Self = this->shared_from_this(), Timer, Address, Message, NewConnection,
       OnFailure = std::move(OnFailure)](boost::system::error_code) {
        Self->dispatch(Address, Message, NewConnection, OnFailure);
      });
}

void PeerTransport::dispatch(const std::string &Address,
                             const peers::Envelope &Message, bool NewConnection,
                             FailureCallback OnFailure) {
  auto Target = config::parseEndpoint(Address);
  std::string Frame = withLength(encodePeerFrame(Message, this->Key));
  bool Fits = Frame.size() <= MaxPeerFrameBytes;
  std::shared_ptr<PeerConnection> Connection;
  bool Opened = false;
  if (Target && Fits && !this->Stopped) {
    std::lock_guard Lock(this->Mutex);
    std::shared_ptr<PeerConnection> &Known = this->ByAddress[Address];
    bool Quiet = Known && isCall(Message) &&
                 Clock::now() - Known->lastHeard() > this->Limits.TrustTime;
    if (!Known || NewConnection || Quiet) {
      // A replaced connection stays open until it is idle: replies may be on
      // their way on it.
      Known = std::make_shared<PeerConnection>(
          tcp::socket(asio::make_strand(this->Context)), this->weak_from_this(),
          this->Limits);
      this->Open.insert(Known);
      Opened = true;
    }
    Connection = Known;
  }
  if (!Connection) {
    if (OnFailure) {
      OnFailure(false);
    }
    return;
  }
  if (Opened) {
    this->add(PeerCount::ConnectionsOpened);
    Connection->connect(toAsio(*Target));
  }
  this->add(PeerCount::FramesSent);
  this->add(isCall(Message) ? PeerCount::CallBytesSent
                            : PeerCount::ControlBytesSent,
            Frame.size());
  Connection->write(std::move(Frame), std::move(OnFailure));
}

void PeerTransport::received(const std::shared_ptr<PeerConnection> &Source,
                             const std::string &Frame) {
  auto Message = decodePeerFrame(Frame, this->Key);
  if (Message.has_error()) {
    switch (Message.error().Kind) {
    case base::ErrorKind::Unauthorised:
      this->add(PeerCount::Unauthenticated);
      Source->close();
      return;
    case base::ErrorKind::Stale:
      this->add(PeerCount::UnsupportedVersion);
      return;
    default:
      this->add(PeerCount::Malformed);
      return;
    }
  }
  const peers::Envelope &Valid = Message.value();
  Source->heard();
  this->add(PeerCount::FramesReceived);
  this->add(isCall(Valid) ? PeerCount::CallBytesReceived
                          : PeerCount::ControlBytesReceived,
            Frame.size() + 4);
  Receiver Receive;
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Open.contains(Source)) {
      this->ByAddress.try_emplace(Valid.Sender.Address, Source);
    }
    Receive = this->Receive;
  }
  if (Receive) {
    Receive(Valid);
  }
}

void PeerTransport::closed(const std::shared_ptr<PeerConnection> &Connection) {
  std::lock_guard Lock(this->Mutex);
  this->Open.erase(Connection);
  std::erase_if(this->ByAddress,
                [&](const auto &Entry) { return Entry.second == Connection; });
}

} // namespace hickorycrank::net
