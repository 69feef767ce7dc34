#include "peers/node_base.h"

#include "peers/selection_func.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace hickorycrank::peers {

using base::InstanceId;
using base::TimePoint;

namespace {

/** Sequences of relayed pings; apart from those of the own probes. */
constexpr uint64_t FirstRelay = uint64_t(1) << 48U;
constexpr size_t MaxRelays = 1'024;
constexpr base::Duration RelayTime = std::chrono::seconds(2);

} // namespace

Node::Node(TimePoint Now, const Member &Own, const NodeOptions &Rules,
           uint64_t Seed)
    : Rules(Rules), Members(Own, Rules.Membership, Seed),
      News(Rules.MaxFacts, Rules.MaxLifetime), Servers(Now),
      NextRelay(FirstRelay), NextGossip(Now), NextJoin(Now), Started(Now) {}

uint32_t Node::transmissions() const {
  return this->Rules.Membership.Transmissions *
         static_cast<uint32_t>(std::bit_width(this->Members.all().size() + 1));
}

void Node::onListing(TimePoint Now, const std::vector<Member> &Entries) {
  this->Members.applyListing(Now, Entries);
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
  Message.SenderReady = this->Verdict == StartReadiness::Ready;
  Message.ConfigVersion = this->Spread.inForce();
  Message.ServerListVersion = this->Servers.version();
  Message.Members = this->Members.takeUpdates(Recipient);
  Message.PublishedFacts = this->News.take(Now, MaxFacts);
  Message.Content = std::move(Content);
  return Message;
}

void Node::send(TimePoint Now, const Member &Target, Body Content,
                Actions &Out) {
  Out.emplace_back(
      SendMessage{Target.Address,
                  this->envelope(Now, Target.Id, std::move(Content),
                                 this->Rules.FactsPerFrame),
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
                                    this->Rules.FactsPerFrame),
                     false};
}

void Node::publish(TimePoint Now, const query::PublishFact &Fact) {
  if (this->News.add(Now, Fact, this->transmissions())) {
    this->Fresh = true;
  }
}

void Node::onInForce(const config::ConfigurationVersion &Version,
                     ConfigSync::Texts Texts) {
  this->Spread.setInForce(Version, std::move(Texts));
  this->Fresh = true;
}

void Node::leave(TimePoint Now, Actions &Out) {
  this->Members.leave();
  for (const Member &Peer :
       this->Members.drawLive(this->Rules.GossipTargets, InstanceId())) {
    this->send(Now, Peer, Leave{}, Out);
  }
}

void Node::observeSender(TimePoint Now, const Envelope &Message, Actions &Out) {
  const MemberRecord *Known = this->Members.find(Message.Sender.Id);
  bool Returned = Known == nullptr || Known->View.State == MemberState::Dead ||
                  Known->View.Process != Message.Sender.Process;
  if (this->Members.apply(Now, Message.Sender) && Returned) {
    // It may have missed what was told while it was out of reach.
    this->News.renew(this->transmissions());
  }
  for (const Member &Update : Message.Members) {
    this->Members.apply(Now, Update);
  }
  for (const query::PublishFact &Fact : Message.PublishedFacts) {
    if (this->News.add(Now, Fact, this->transmissions())) {
      ++this->Counters.FactsLearnt;
      this->Fresh = true;
      Out.emplace_back(ApplyFact{Fact});
    }
  }
}

void Node::applySpread(TimePoint Now, const Member &Peer, SpreadStep Step,
                       Actions &Out) {
  if (Step.Ask) {
    ++this->Counters.Pulls;
    this->send(Now, Peer, std::move(*Step.Ask), Out);
  }
  if (Step.Whole) {
    Out.emplace_back(
        OfferConfiguration{std::move(*Step.Whole), Step.WholeVersion});
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
  this->observeSender(Now, Message, Out);
  if (this->Verdict != StartReadiness::Ready &&
      this->Answered.size() < this->Rules.Membership.MaxMembers) {
    this->Answered[Message.Sender.Id] = Message.SenderReady;
  }
  this->applySpread(
      Now, Message.Sender,
      this->Spread.onShown(Now, Message.Sender.Id, Message.ConfigVersion), Out);
  this->Servers.onShown(Now, Message.Sender.Id, Message.ServerListVersion);
  this->handle(Now, Message.Sender, Message.Content, Out);
  const MemberRecord *Record = this->Members.find(Message.Sender.Id);
  bool Accused =
      Record != nullptr && (Record->View.State == MemberState::Suspect ||
                            Record->View.State == MemberState::Dead);
  if (Accused && !std::holds_alternative<Ping>(Message.Content) &&
      !std::holds_alternative<Facts>(Message.Content)) {
    // It is evidently there; tell it, so that it refutes.
    this->send(Now, Message.Sender, Facts{}, Out);
  }
}

void Node::handle(TimePoint Now, const Member &From, const Body &Content,
                  Actions &Out) {
  if (const auto *Asked = std::get_if<Ping>(&Content)) {
    this->send(Now, From, Ack{Asked->Sequence}, Out);
  } else if (const auto *Received = std::get_if<Ack>(&Content)) {
    this->onAck(Now, *Received, Out);
  } else if (const auto *Request = std::get_if<PingRequest>(&Content)) {
    this->onPingRequest(Now, From, *Request, Out);
  } else if (const auto *Pull = std::get_if<ConfigPull>(&Content)) {
    if (auto Push = this->Spread.onPull(*Pull)) {
      this->send(Now, From, std::move(*Push), Out);
    }
  } else if (const auto *Push = std::get_if<ConfigPush>(&Content)) {
    this->applySpread(Now, From, this->Spread.onPush(Now, From.Id, *Push), Out);
  } else if (const auto *Call = std::get_if<ForwardOnce>(&Content)) {
    if (Call->Process == this->Members.own().Process) {
      Out.emplace_back(DeliverCall{From, *Call});
    } else {
      this->send(Now, From, ForwardOnceReply{Call->Call, false, {}}, Out);
    }
  } else if (const auto *Reply = std::get_if<ForwardOnceReply>(&Content)) {
    Out.emplace_back(DeliverReply{From.Id, *Reply});
  } else if (const auto *Pull = std::get_if<ServerPull>(&Content)) {
    if (auto Push = this->Servers.onPull(Now, *Pull)) {
      this->send(Now, From, std::move(*Push), Out);
    }
  } else if (const auto *Push = std::get_if<ServerPush>(&Content)) {
    this->onServerPush(Now, From, *Push, Out);
  }
}

void Node::onServerPush(TimePoint Now, const Member &From,
                        const ServerPush &Push, Actions &Out) {
  std::optional<ServerList> Whole = this->Servers.onPush(Now, From.Id, Push);
  if (!Whole) {
    return;
  }
  Out.emplace_back(OfferServers{std::move(*Whole)});
  // The engines dropped facts about servers that they did not know yet.
  for (query::FactKind Kind :
       {query::FactKind::ServerLeaving, query::FactKind::ServerCrashed}) {
    for (query::PublishFact &Fact : this->News.held(Now, Kind)) {
      Out.emplace_back(ApplyFact{std::move(Fact)});
    }
  }
}

void Node::onAck(TimePoint Now, const Ack &Received, Actions &Out) {
  auto Found = this->Relays.find(Received.Sequence);
  if (Found == this->Relays.end()) {
    this->Members.onAck(Received.Sequence);
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
  uint64_t Sequence = this->NextRelay++;
  this->Relays[Sequence] = {From.Id, Request.Sequence, Now + RelayTime};
  Member Target;
  Target.Id = Request.Target;
  Target.Address = Request.Address;
  this->send(Now, Target, Ping{Sequence}, Out);
}

void Node::gossip(TimePoint Now, Actions &Out) {
  if (Now < this->NextGossip) {
    return;
  }
  bool Changed = this->Members.takeFresh();
  if (!std::exchange(this->Fresh, false) && !Changed) {
    return;
  }
  this->NextGossip = Now + this->Rules.GossipInterval;
  for (const Member &Peer :
       this->Members.drawLive(this->Rules.GossipTargets, InstanceId())) {
    Out.emplace_back(SendMessage{
        Peer.Address,
        this->envelope(Now, Peer.Id, Facts{}, this->Rules.FactsPerGossip),
        false});
  }
}

void Node::join(TimePoint Now, Actions &Out) {
  if (this->Verdict == StartReadiness::Ready || Now < this->NextJoin) {
    return;
  }
  this->NextJoin = Now + this->Rules.JoinInterval;
  for (const Member &Peer :
       this->Members.drawLive(this->Rules.JoinTargets, InstanceId())) {
    this->send(Now, Peer, Ping{0}, Out);
  }
}

void Node::onTick(TimePoint Now, Actions &Out) {
  for (const Probe &Due : this->Members.tick(Now)) {
    Out.emplace_back(
        SendMessage{Due.Address,
                    this->envelope(Now, Due.Target, Ping{Due.Sequence},
                                   this->Rules.FactsPerFrame),
                    Due.Retry});
    for (const Member &Helper : Due.Helpers) {
      this->send(Now, Helper,
                 PingRequest{Due.Sequence, Due.Target, Due.Address}, Out);
    }
  }
  if (auto Ask = this->Servers.tick(Now)) {
    if (auto Message = this->compose(Now, Ask->Peer, Ask->Pull)) {
      ++this->Counters.ServerPulls;
      Out.emplace_back(std::move(*Message));
    }
  }
  this->join(Now, Out);
  this->gossip(Now, Out);
}

StartReadiness Node::evaluateReadiness(TimePoint Now) {
  if (this->Verdict == StartReadiness::Ready) {
    return this->Verdict;
  }
  StartView View;
  View.Waited = Now - this->Started;
  View.HasConfiguration = this->Spread.inForce().Number.Value != 0;
  View.NewerShown = this->Spread.newerShown();
  View.PlatformRead = this->PlatformRead;
  View.ListRead = this->ListRead;
  View.ListedPeers = this->ListedPeers;
  View.PeersAnswered = this->Answered.size();
  View.ReadyAnswered =
      std::any_of(this->Answered.begin(), this->Answered.end(),
                  [](const auto &Entry) { return Entry.second; });
  StartReadiness Present = judgeStart(View);
  if (Present != StartReadiness::NotReady) {
    this->Verdict = Present;
  }
  return this->Verdict;
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
