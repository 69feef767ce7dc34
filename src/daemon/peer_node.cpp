#include "daemon/peer_node_base.h"

#include "base/digest_func.h"
#include "config/settings_func.h"
#include "daemon/server_list_func.h"
#include "net/peer_codec_func.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;

namespace {

/**
 * Returns an incarnation above all earlier ones of this instance. An instance
 * has no persistent storage, so the wall clock is used.
 * @return Microseconds since 1970.
 */
base::Incarnation newIncarnation() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return base::Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
          .count()));
}

/**
 * Builds the membership record of this instance.
 * @param Settings Settings of the process.
 * @param Process Its incarnation.
 * @param Bound Endpoint of the peer listener.
 * @return The description.
 */
peers::Member describe(const config::Settings &Settings,
                       base::Incarnation Process,
                       const config::Endpoint &Bound) {
  peers::Member Self;
  Self.Id = Settings.Instance;
  Self.Address = config::toString(Bound);
  Self.Domain = Settings.Domain;
  Self.Process = Process;
  return Self;
}

} // namespace

PeerNode::PeerNode(boost::asio::io_context &Context,
                   const config::Settings &Settings)
    : Context(Context), Process(newIncarnation()),
      Transport(std::make_shared<net::PeerTransport>(
          Context, Settings.Peers, Settings.PeerKey, net::PeerLimits{})),
      Node(Clock::now(),
           describe(Settings, this->Process, this->Transport->endpoint()),
           peers::NodeOptions{}, base::randomAttemptId().Low) {}

void PeerNode::start(PeerNodeCallbacks Callbacks) {
  this->Callbacks = std::move(Callbacks);
  this->Transport->start(
      [Weak = this->weak_from_this()](const peers::Envelope &Message) {
        if (auto Self = Weak.lock()) {
          Self->receive(Message);
        }
      });
}

void PeerNode::leave() {
  peers::Actions Actions;
  {
    std::lock_guard Lock(this->Mutex);
    this->Node.leave(Clock::now(), Actions);
  }
  this->executeActions(Actions);
}

void PeerNode::stop() {
  this->Transport->stop();
  std::vector<uint64_t> Unfinished;
  {
    std::lock_guard Lock(this->Mutex);
    this->Handler = nullptr;
    for (const auto &[Id, Entry] : this->Calls) {
      Unfinished.push_back(Id);
    }
  }
  for (uint64_t Id : Unfinished) {
    this->finishCall(Id, PeerCallError::NoReply);
  }
}

void PeerNode::tick(const base::Tick &Event) {
  peers::Actions Actions;
  {
    std::lock_guard Lock(this->Mutex);
    if (Event.Pause) {
      this->Node.onPause(Event.Now);
    }
    this->Node.onTick(Event.Now, Actions);
  }
  this->executeActions(Actions);
}

void PeerNode::applyInstances(const net::InstanceList &List) {
  std::vector<peers::Member> Entries;
  for (const net::InstanceListing &Listing : List.Entries) {
    if (!isLiveInstance(Listing)) {
      continue;
    }
    peers::Member Entry;
    Entry.Id = base::InstanceId(Listing.Server.Server.Value);
    Entry.Address = Listing.Server.Address;
    Entry.Domain = Listing.Server.Domain;
    Entries.push_back(std::move(Entry));
  }
  peers::ServerList Servers = toServerList(List);
  std::lock_guard Lock(this->Mutex);
  this->Node.onListing(Clock::now(), Entries);
  this->Node.onServers(std::move(Servers));
}

void PeerNode::onPlatformRead() {
  std::lock_guard Lock(this->Mutex);
  this->Node.onPlatformRead();
}

void PeerNode::publish(const query::PublishFact &Fact) {
  std::lock_guard Lock(this->Mutex);
  this->Node.publish(Clock::now(), Fact);
}

void PeerNode::setConfiguration(
    const config::ConfigurationVersion &Version,
    std::shared_ptr<const config::ConfigurationTexts> Texts) {
  std::lock_guard Lock(this->Mutex);
  this->Node.onInForce(Version, std::move(Texts));
}

peers::StartReadiness PeerNode::updateStartVerdict() {
  std::lock_guard Lock(this->Mutex);
  return this->Node.evaluateReadiness(Clock::now());
}

bool PeerNode::isReader() const {
  std::lock_guard Lock(this->Mutex);
  return this->Node.isReader();
}

void PeerNode::receive(const peers::Envelope &Message) {
  peers::Actions Actions;
  {
    std::lock_guard Lock(this->Mutex);
    this->Node.onMessage(Clock::now(), Message, Actions);
  }
  this->executeActions(Actions);
}

void PeerNode::executeActions(peers::Actions &Actions) {
  for (peers::Action &Action : Actions) {
    if (const auto *Send = std::get_if<peers::SendMessage>(&Action)) {
      this->Transport->send(Send->Address, Send->Message, Send->NewConnection);
    } else if (const auto *Apply = std::get_if<peers::ApplyFact>(&Action)) {
      this->Callbacks.OnFact(Apply->Fact);
    } else if (auto *Offer = std::get_if<peers::OfferConfiguration>(&Action)) {
      this->offer(*Offer);
    } else if (const auto *Servers =
                   std::get_if<peers::OfferServers>(&Action)) {
      this->Callbacks.OnServers(Servers->List);
    } else if (const auto *Report =
                   std::get_if<peers::ReportConflict>(&Action)) {
      this->Callbacks.OnConflict(Report->Peer);
    } else if (const auto *Delivery =
                   std::get_if<peers::DeliverCall>(&Action)) {
      this->serveCall(*Delivery);
    } else if (const auto *Reply = std::get_if<peers::DeliverReply>(&Action)) {
      this->onReply(*Reply);
    }
  }
}

void PeerNode::offer(const peers::OfferConfiguration &Offer) {
  if (!this->Callbacks.OnConfiguration(Offer.Texts)) {
    std::lock_guard Lock(this->Mutex);
    this->Node.refuse(Offer.Version);
  }
}

void PeerNode::sendTo(const base::InstanceId &Target, peers::Body Content) {
  std::optional<peers::SendMessage> Message;
  {
    std::lock_guard Lock(this->Mutex);
    Message = this->Node.compose(Clock::now(), Target, std::move(Content));
  }
  if (Message) {
    this->Transport->send(Message->Address, Message->Message, false);
  }
}

void PeerNode::serveCall(const peers::DeliverCall &Delivery) {
  PeerCallHandler Handle;
  {
    std::lock_guard Lock(this->Mutex);
    Handle = this->Handler;
  }
  base::InstanceId From = Delivery.From.Id;
  uint64_t Id = Delivery.Call.Call;
  if (!Handle) {
    this->sendTo(From, peers::ForwardOnceReply{Id, false, {}});
    return;
  }
  Handle(Delivery.Call.Payload, [Weak = this->weak_from_this(), From,
                                 Id](std::string Payload) {
    if (auto Self = Weak.lock()) {
      Self->sendTo(From, peers::ForwardOnceReply{Id, true, std::move(Payload)});
    }
  });
}

void PeerNode::setCallHandler(PeerCallHandler Handler) {
  std::lock_guard Lock(this->Mutex);
  this->Handler = std::move(Handler);
}

PeerCallFunction PeerNode::peerCall() {
  return [Self = this->shared_from_this()](
             const base::InstanceId &Target, base::Incarnation Process,
             std::string Payload, base::TimePoint Deadline,
             std::function<void(PeerCallResult)> Done) {
    Self->call(Target, Process, std::move(Payload), Deadline, std::move(Done));
  };
}

void PeerNode::call(const base::InstanceId &Target, base::Incarnation Process,
                    std::string Payload, base::TimePoint Deadline,
                    std::function<void(PeerCallResult)> Done) {
  uint64_t Id = 0;
  std::optional<peers::SendMessage> Message;
  {
    auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
    Timer->expires_at(Deadline);
    std::lock_guard Lock(this->Mutex);
    Id = this->NextCall++;
    this->Calls[Id] = {Target, std::move(Done), Timer};
    const peers::MemberRecord *Known = this->Node.members().find(Target);
    bool Replaced = Known != nullptr && Known->View.Process > Process;
    if (!Replaced && Payload.size() <= net::MaxPeerPayloadBytes) {
      Message = this->Node.compose(
          Clock::now(), Target,
          peers::ForwardOnce{Id, Process, std::move(Payload)});
    }
    if (Message) {
      Timer->async_wait([Weak = this->weak_from_this(),
                         Id](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (!Failure && Self) {
          Self->finishCall(Id, PeerCallError::NoReply);
        }
      });
    }
  }
  if (!Message) {
    this->finishCall(Id, PeerCallError::NotSent);
    return;
  }
  this->Transport->send(Message->Address, Message->Message, false,
                        [Weak = this->weak_from_this(), Id](bool MayHaveLeft) {
                          if (auto Self = Weak.lock()) {
                            Self->finishCall(Id, MayHaveLeft
                                                     ? PeerCallError::NoReply
                                                     : PeerCallError::NotSent);
                          }
                        });
}

void PeerNode::onReply(const peers::DeliverReply &Delivery) {
  {
    std::lock_guard Lock(this->Mutex);
    auto Found = this->Calls.find(Delivery.Reply.Call);
    if (Found == this->Calls.end() || Found->second.Target != Delivery.From) {
      return; // Late, or from an instance that was not called.
    }
  }
  if (Delivery.Reply.Handled) {
    this->finishCall(Delivery.Reply.Call, Delivery.Reply.Payload);
  } else {
    this->finishCall(Delivery.Reply.Call, PeerCallError::NotSent);
  }
}

void PeerNode::finishCall(uint64_t Id, PeerCallResult Result) {
  Call Finished;
  {
    std::lock_guard Lock(this->Mutex);
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end()) {
      return;
    }
    Finished = std::move(Found->second);
    this->Calls.erase(Found);
    Finished.Timer->cancel();
  }
  boost::asio::post(this->Context, [Done = std::move(Finished.Done),
                                    Result = std::move(Result)]() mutable {
    Done(std::move(Result));
  });
}

PeerStatus PeerNode::status() const {
  PeerStatus Status;
  Status.Process = this->Process;
  Status.Connections = this->Transport->connections();
  for (size_t I = 0; I < net::PeerCountSize; ++I) {
    auto Counter = static_cast<net::PeerCount>(I);
    Status.Transport.emplace_back(toString(Counter),
                                  this->Transport->count(Counter));
  }
  std::lock_guard Lock(this->Mutex);
  Status.Unconfirmed =
      this->Node.readiness() == peers::StartReadiness::ReadyUnconfirmed;
  Status.Reader = this->Node.isReader();
  for (const auto &[Id, Record] : this->Node.members().all()) {
    Status.Members.push_back(Record);
  }
  Status.Membership = this->Node.members().counters();
  Status.Node = this->Node.counters();
  Status.Facts = this->Node.factCount();
  return Status;
}

} // namespace hickorycrank::daemon
