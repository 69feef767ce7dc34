#include "peers/node_base.h"

#include "peers/selection_func.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace hickorycrank::peers {

using base::InstanceId;
using base::TimePoint;

namespace {

/** First sequence number of relayed pings; distinct from those of probes of
 * this instance, which count up from 1. */
constexpr uint64_t FirstRelaySequence = uint64_t(1) << 48U;
/** Maximum number of relayed pings that await an Ack; while it is reached,
 * further requests are ignored. */
constexpr size_t MaxRelays = 1'024;
/** Time for which a relayed ping is remembered. */
constexpr base::Duration RelayTimeout = std::chrono::seconds(2);

} // namespace

Node::Node(TimePoint Now, const Member &Own, const NodeOptions &Options,
           uint64_t Seed)
    : Options(Options), Members(Own, Options.Membership, Seed),
      KnownFacts(Options.MaxFacts, Options.MaxFactLifetime), ServerSync(Now),
      NextRelaySequence(FirstRelaySequence), NextGossip(Now), NextJoin(Now),
      Started(Now) {}

uint32_t Node::transmissions() const {
  return this->Options.Membership.TransmissionFactor *
         static_cast<uint32_t>(std::bit_width(this->Members.all().size() + 1));
}

void Node::onListing(TimePoint Now, const std::vector<Member> &Entries) {
  this->Members.applyPlatformList(Now, Entries);
  this->ListRead = true;
  this->ListedPeers = static_cast<size_t>(std::count_if(
      Entries.begin(), Entries.end(), [this](const Member &Entry) {
        return Entry.Id != this->Members.own().Id;
      }));
}

Envelope Node::envelope(TimePoint Now, const InstanceId &Recipient,
                        Body Content, size_t MaxFacts) {
  Envelope Message;
  Message.Sender = this->Members.own();
  Message.Recipient = Recipient;
  Message.SenderReady = this->Readiness == StartReadiness::Ready;
  Message.ConfigVersion = this->ConfigurationSync.inForce();
  Message.ServerListVersion = this->ServerSync.version();
  Message.Members = this->Members.takeUpdatesFor(Recipient);
  Message.PublishedFacts = this->KnownFacts.takeForSending(Now, MaxFacts);
  Message.Content = std::move(Content);
  return Message;
}

void Node::send(TimePoint Now, const Member &Target, Body Content,
                Actions &Out) {
  Out.emplace_back(
      SendMessage{Target.Address,
                  this->envelope(Now, Target.Id, std::move(Content),
                                 this->Options.FactsPerFrame),
                  false});
}

std::optional<SendMessage>
Node::compose(TimePoint Now, const InstanceId &Target, Body Content) {
  const MemberRecord *Record = this->Members.find(Target);
  if (Record == nullptr) {
    return std::nullopt;
  }
  return SendMessage{Record->View.Address,
                     this->envelope(Now, Target, std::move(Content),
                                    this->Options.FactsPerFrame),
                     false};
}

void Node::publish(TimePoint Now, const query::PublishFact &Fact) {
  if (this->KnownFacts.add(Now, Fact, this->transmissions())) {
    this->HasUnsentChanges = true;
  }
}

void Node::onInForce(const config::ConfigurationVersion &Version,
                     ConfigSync::Texts Texts) {
  this->ConfigurationSync.setInForce(Version, std::move(Texts));
  this->HasUnsentChanges = true;
}

void Node::leave(TimePoint Now, Actions &Out) {
  this->Members.leave();
  for (const Member &Peer :
       this->Members.sampleLive(this->Options.GossipFanOut, InstanceId())) {
    this->send(Now, Peer, Leave{}, Out);
  }
}

void Node::applySenderState(TimePoint Now, const Envelope &Message,
                            Actions &Out) {
  const MemberRecord *Known = this->Members.find(Message.Sender.Id);
  bool Returned = Known == nullptr || Known->View.State == MemberState::Dead ||
                  Known->View.Process != Message.Sender.Process;
  if (this->Members.apply(Now, Message.Sender) && Returned) {
    // The sender may have missed facts while it was unreachable.
    this->KnownFacts.scheduleResend(this->transmissions());
  }
  for (const Member &Update : Message.Members) {
    this->Members.apply(Now, Update);
  }
  for (const query::PublishFact &Fact : Message.PublishedFacts) {
    if (this->KnownFacts.add(Now, Fact, this->transmissions())) {
      ++this->Counters.FactsLearnt;
      this->HasUnsentChanges = true;
      Out.emplace_back(ApplyFact{Fact});
    }
  }
}

void Node::applyConfigStep(TimePoint Now, const Member &Peer,
                           ConfigSyncStep Step, Actions &Out) {
  if (Step.Request) {
    ++this->Counters.Pulls;
    this->send(Now, Peer, std::move(*Step.Request), Out);
  }
  if (Step.Complete) {
    Out.emplace_back(
        OfferConfiguration{std::move(*Step.Complete), Step.CompleteVersion});
  }
  if (Step.Conflict) {
    ++this->Counters.Conflicts;
    Out.emplace_back(ReportConflict{Peer.Id});
  }
}

void Node::onMessage(TimePoint Now, const Envelope &Message, Actions &Out) {
  if (Message.Recipient != this->Members.own().Id ||
      Message.Sender.Id == this->Members.own().Id) {
    ++this->Counters.Misdelivered;
    return;
  }
  const MemberRecord *Known = this->Members.find(Message.Sender.Id);
  if (Known != nullptr && Known->View.Process > Message.Sender.Process) {
    ++this->Counters.StaleProcess;
    return;
  }
  this->applySenderState(Now, Message, Out);
  if (this->Readiness != StartReadiness::Ready &&
      this->PeerReadiness.size() < this->Options.Membership.MaxMembers) {
    this->PeerReadiness[Message.Sender.Id] = Message.SenderReady;
  }
  this->applyConfigStep(Now, Message.Sender,
                        this->ConfigurationSync.onAdvertised(
                            Now, Message.Sender.Id, Message.ConfigVersion),
                        Out);
  this->ServerSync.onAdvertised(Now, Message.Sender.Id,
                                Message.ServerListVersion);
  this->handle(Now, Message.Sender, Message.Content, Out);
  const MemberRecord *Record = this->Members.find(Message.Sender.Id);
  bool IsSuspected =
      Record != nullptr && (Record->View.State == MemberState::Suspect ||
                            Record->View.State == MemberState::Dead);
  if (IsSuspected && !std::holds_alternative<Ping>(Message.Content) &&
      !std::holds_alternative<Facts>(Message.Content)) {
    // It is evidently alive: tell it about the suspicion, so that it refutes.
    this->send(Now, Message.Sender, Facts{}, Out);
  }
}

void Node::handle(TimePoint Now, const Member &From, const Body &Content,
                  Actions &Out) {
  if (const auto *PingMessage = std::get_if<Ping>(&Content)) {
    this->send(Now, From, Ack{PingMessage->Sequence}, Out);
  } else if (const auto *AckMessage = std::get_if<Ack>(&Content)) {
    this->onAck(Now, *AckMessage, Out);
  } else if (const auto *Request = std::get_if<PingRequest>(&Content)) {
    this->onPingRequest(Now, From, *Request, Out);
  } else if (const auto *Pull = std::get_if<ConfigPull>(&Content)) {
    if (auto Push = this->ConfigurationSync.onPull(*Pull)) {
      this->send(Now, From, std::move(*Push), Out);
    }
  } else if (const auto *Push = std::get_if<ConfigPush>(&Content)) {
    this->applyConfigStep(
        Now, From, this->ConfigurationSync.onPush(Now, From.Id, *Push), Out);
  } else if (const auto *Call = std::get_if<ForwardOnce>(&Content)) {
    if (Call->Process == this->Members.own().Process) {
      Out.emplace_back(DeliverCall{From, *Call});
    } else {
      this->send(Now, From, ForwardOnceReply{Call->Call, false, {}}, Out);
    }
  } else if (const auto *Reply = std::get_if<ForwardOnceReply>(&Content)) {
    Out.emplace_back(DeliverReply{From.Id, *Reply});
  } else if (const auto *Pull = std::get_if<ServerPull>(&Content)) {
    if (auto Push = this->ServerSync.onPull(Now, *Pull)) {
      this->send(Now, From, std::move(*Push), Out);
    }
  } else if (const auto *Push = std::get_if<ServerPush>(&Content)) {
    this->onServerPush(Now, From, *Push, Out);
  }
}

void Node::onServerPush(TimePoint Now, const Member &From,
                        const ServerPush &Push, Actions &Out) {
  std::optional<ServerList> Complete =
      this->ServerSync.onPush(Now, From.Id, Push);
  if (!Complete) {
    return;
  }
  Out.emplace_back(OfferServers{std::move(*Complete)});
  // The query engines dropped facts about servers not known to them yet.
  for (query::FactKind Kind :
       {query::FactKind::ServerLeaving, query::FactKind::ServerCrashed}) {
    for (query::PublishFact &Fact : this->KnownFacts.factsOfKind(Now, Kind)) {
      Out.emplace_back(ApplyFact{std::move(Fact)});
    }
  }
}

void Node::onAck(TimePoint Now, const Ack &AckMessage, Actions &Out) {
  auto Found = this->Relays.find(AckMessage.Sequence);
  if (Found == this->Relays.end()) {
    this->Members.onAck(AckMessage.Sequence);
    return;
  }
  const MemberRecord *Requester = this->Members.find(Found->second.Requester);
  if (Requester != nullptr) {
    this->send(Now, Requester->View, Ack{Found->second.Sequence}, Out);
  }
  this->Relays.erase(Found);
}

void Node::onPingRequest(TimePoint Now, const Member &From,
                         const PingRequest &Request, Actions &Out) {
  std::erase_if(this->Relays, [Now](const auto &Entry) {
    return Entry.second.Expiry <= Now;
  });
  if (this->Relays.size() >= MaxRelays ||
      Request.Target == this->Members.own().Id) {
    return;
  }
  uint64_t Sequence = this->NextRelaySequence++;
  this->Relays[Sequence] = {From.Id, Request.Sequence, Now + RelayTimeout};
  Member Target;
  Target.Id = Request.Target;
  Target.Address = Request.Address;
  this->send(Now, Target, Ping{Sequence}, Out);
}

void Node::gossip(TimePoint Now, Actions &Out) {
  if (Now < this->NextGossip) {
    return;
  }
  bool Changed = this->Members.takeUnsentFlag();
  if (!std::exchange(this->HasUnsentChanges, false) && !Changed) {
    return;
  }
  this->NextGossip = Now + this->Options.GossipInterval;
  for (const Member &Peer :
       this->Members.sampleLive(this->Options.GossipFanOut, InstanceId())) {
    Out.emplace_back(SendMessage{
        Peer.Address,
        this->envelope(Now, Peer.Id, Facts{}, this->Options.FactsPerGossip),
        false});
  }
}

void Node::join(TimePoint Now, Actions &Out) {
  if (this->Readiness == StartReadiness::Ready || Now < this->NextJoin) {
    return;
  }
  this->NextJoin = Now + this->Options.JoinInterval;
  for (const Member &Peer :
       this->Members.sampleLive(this->Options.JoinFanOut, InstanceId())) {
    // No probe has sequence number 0, so no probe waits for this Ack.
    this->send(Now, Peer, Ping{0}, Out);
  }
}

void Node::onTick(TimePoint Now, Actions &Out) {
  for (const Probe &DueProbe : this->Members.tick(Now)) {
    Out.emplace_back(SendMessage{DueProbe.Address,
                                 this->envelope(Now, DueProbe.Target,
                                                Ping{DueProbe.Sequence},
                                                this->Options.FactsPerFrame),
                                 DueProbe.NewConnection});
    for (const Member &Prober : DueProbe.IndirectProbers) {
      this->send(
          Now, Prober,
          PingRequest{DueProbe.Sequence, DueProbe.Target, DueProbe.Address},
          Out);
    }
  }
  if (auto Request = this->ServerSync.tick(Now)) {
    if (auto Message = this->compose(Now, Request->Peer, Request->Pull)) {
      ++this->Counters.ServerPulls;
      Out.emplace_back(std::move(*Message));
    }
  }
  this->join(Now, Out);
  this->gossip(Now, Out);
}

StartReadiness Node::evaluateReadiness(TimePoint Now) {
  if (this->Readiness == StartReadiness::Ready) {
    return this->Readiness;
  }
  StartConditions Conditions;
  Conditions.TimeSinceStart = Now - this->Started;
  Conditions.HasConfiguration =
      this->ConfigurationSync.inForce().Number.Value != 0;
  Conditions.NewerAdvertised = this->ConfigurationSync.newerAdvertised();
  Conditions.PlatformRead = this->PlatformRead;
  Conditions.ListRead = this->ListRead;
  Conditions.ListedPeers = this->ListedPeers;
  Conditions.PeersAnswered = this->PeerReadiness.size();
  Conditions.ReadyPeerAnswered =
      std::any_of(this->PeerReadiness.begin(), this->PeerReadiness.end(),
                  [](const auto &Entry) { return Entry.second; });
  StartReadiness Evaluated = evaluateStart(Conditions);
  if (Evaluated != StartReadiness::NotReady) {
    this->Readiness = Evaluated;
  }
  return this->Readiness;
}

bool Node::isReader() const {
  const Member &Own = this->Members.own();
  std::vector<InstanceId> Others;
  for (const Member &Peer : this->Members.live()) {
    if (Peer.Domain == Own.Domain) {
      Others.push_back(Peer.Id);
    }
  }
  return hickorycrank::peers::isReader(Own.Domain, Own.Id, Others);
}

} // namespace hickorycrank::peers
