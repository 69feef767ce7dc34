// Tests non-idempotent queries through entry instances on loopback. The backend
// server stand-ins count the executions of each key.
#include "base/random_base.h"
#include "loopback.h"
#include "peer_mesh.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>

using namespace hickorycrank;
using namespace hickorycrank::tests;

namespace {

constexpr const char *Reorder = "stock-reorder";

std::string member(const CallerResponse &Response, const char *Name) {
  const auto *Found = Response.Body.if_contains(Name);
  return Found != nullptr && Found->is_string()
             ? std::string(Found->as_string())
             : std::string();
}

/** @return A refusal as "kind/ran"; empty for an answer. */
std::string refusal(const CallerResponse &Response) {
  const auto *Found = Response.Body.if_contains("error");
  if (Found == nullptr) {
    return {};
  }
  const auto &Error = Found->as_object();
  return std::string(Error.at("kind").as_string()) + "/" +
         std::string(Error.at("ran").as_string());
}

/** @return The response without its next ticket, which always differs. */
std::string comparable(const CallerResponse &Response) {
  auto Body = Response.Body;
  Body.erase("next_ticket");
  return boost::json::serialize(Body);
}

std::string parametersOf(const std::string &Key) {
  return R"({"key":")" + Key + R"(","amount":3})";
}

/** Three entry instances whose peer calls go through a PeerMesh. */
class TicketFixture : public Loopback {
public:
  TicketFixture()
      : Loopback(3), Mesh(std::make_shared<PeerMesh>(Running.Context)) {
    for (size_t I = 0; I < this->Instances.size(); ++I) {
      this->connect(I);
    }
  }

  // The threads must end before the retired instances are destroyed.
  ~TicketFixture() { this->Running.join(); }
  TicketFixture(const TicketFixture &) = delete;
  TicketFixture &operator=(const TicketFixture &) = delete;

  bool ready() {
    for (size_t I = 0; I < this->Instances.size(); ++I) {
      if (!this->waitUntilServing(I)) {
        return false;
      }
    }
    return true;
  }

  static base::InstanceId name(size_t Index) {
    return base::InstanceId("entry-" + std::to_string(Index));
  }

  /** Replaces an instance with a new incarnation, without waiting until it is
   * ready. */
  void restart(size_t Index) {
    this->Mesh->leave(name(Index));
    this->Retired.push_back(this->Instances[Index]);
    this->Instances[Index] = std::make_shared<daemon::Instance>(
        this->Running.Context,
        this->Deployment.entrySettings(name(Index).Value, Index));
    this->Instances[Index]->start();
    this->connect(Index);
  }

  CallerResponse send(size_t Index, const std::string &Path,
                      const std::string &Body, const std::string &Ticket,
                      std::chrono::milliseconds Deadline = {},
                      const std::string &Organisation = "nube-rosa") {
    net::HttpRequest Request;
    Request.Method = "POST";
    Request.Path = Path;
    Request.Headers["Authorization"] =
        "Bearer " + Organisation + ":" + Organisation + "-demo-key";
    if (!Ticket.empty()) {
      Request.Headers["X-Ticket"] = Ticket;
    }
    if (Deadline.count() != 0) {
      Request.Headers["X-Deadline-Ms"] = std::to_string(Deadline.count());
    }
    Request.Body = Body;
    return call(this->Running.Context, this->Instances[Index]->callerEndpoint(),
                std::move(Request));
  }

  CallerResponse reorder(size_t Index, const std::string &Key,
                         const std::string &Ticket,
                         std::chrono::milliseconds Deadline = {}) {
    return this->send(Index, std::string("/v1/query/") + Reorder,
                      parametersOf(Key), Ticket, Deadline);
  }

  std::string ticket(size_t Index) {
    return member(this->send(Index, "/v1/tickets", "", ""), "ticket");
  }

  uint64_t searchesReceived(const std::string &Key) {
    uint64_t Total = 0;
    for (size_t I = 0; I < this->Deployment.serverCount("stock"); ++I) {
      auto Counters = this->Deployment.server("stock", I).counters();
      auto Found = Counters.RunsByKey.find(Key);
      Total += Found == Counters.RunsByKey.end() ? 0 : Found->second;
    }
    return Total;
  }

  /** Makes the stock service accept searches without replying to them. */
  void hold() { this->setSlots(0); }

  /** Makes the stock service reply to the held searches. */
  void release() { this->setSlots(3); }

  std::shared_ptr<PeerMesh> Mesh;

private:
  void setSlots(uint32_t Slots) {
    for (size_t I = 0; I < this->Deployment.serverCount("stock"); ++I) {
      this->Deployment.server("stock", I)
          .change([&](standin::BackendBehaviour &Behaviour) {
            Behaviour.Slots = Slots;
          });
    }
  }

  void connect(size_t Index) {
    this->Mesh->join(name(Index), this->Instances[Index]->peerCallHandler());
    this->Instances[Index]->setPeerCallFunction(
        this->Mesh->callOf(name(Index)));
  }

  /** Replaced instances, kept alive because their requests still finish. */
  std::vector<std::shared_ptr<daemon::Instance>> Retired;
};

} // namespace

// Guards against executing a query without a ticket, and against a refusal that
// gives the caller no ticket to continue with.
TEST_CASE("a query without ticket is refused with a fresh one", "[tickets]") {
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  auto Refused = Cluster.reorder(0, "no-ticket", "");
  CHECK(Refused.Status == 428);
  CHECK(refusal(Refused) == "ticket_required/not_run");
  CHECK(Cluster.searchesReceived("no-ticket") == 0);
  auto Answer = Cluster.reorder(0, "no-ticket", member(Refused, "ticket"));
  CHECK(Answer.Status == 200);
  CHECK(Cluster.searchesReceived("no-ticket") == 1);
  auto Next = Cluster.reorder(0, "next", member(Answer, "next_ticket"));
  CHECK(Next.Status == 200);
  CHECK(Cluster.searchesReceived("next") == 1);
}

// Guards against executing a repeated request again through any instance, and
// against a repeat that gets a different answer than the first request.
TEST_CASE("a repeat through any instance gets the record", "[tickets]") {
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  std::string Ticket = Cluster.ticket(1);
  REQUIRE_FALSE(Ticket.empty());
  auto First = Cluster.reorder(0, "repeat", Ticket);
  REQUIRE(First.Status == 200);
  for (size_t I = 0; I < 3; ++I) {
    auto Again = Cluster.reorder(I, "repeat", Ticket);
    CHECK(Again.Status == 200);
    CHECK(comparable(Again) == comparable(First));
    CHECK_FALSE(member(Again, "next_ticket").empty());
  }
  CHECK(Cluster.searchesReceived("repeat") == 1);
}

// Guards against refusals of the wrong kind or with a false not_run.
TEST_CASE("each ticket refusal has the right kind and run state", "[tickets]") {
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  std::string Ticket = Cluster.ticket(0);
  REQUIRE(Cluster.reorder(0, "exact", Ticket).Status == 200);
  for (size_t I = 0; I < 3; ++I) {
    CHECK(refusal(Cluster.reorder(I, "other", Ticket)) ==
          "ticket_reused/not_run");
    CHECK(refusal(Cluster.send(I, std::string("/v1/query/") + Reorder,
                               parametersOf("exact"), Ticket, {},
                               "algodon-azul")) == "ticket_unknown/not_run");
    CHECK(refusal(Cluster.reorder(I, "exact", "nonsense")) ==
          "ticket_unknown/may_have_run");
  }
  std::string Forged = Cluster.ticket(0);
  Forged.back() = Forged.back() == '0' ? '1' : '0';
  CHECK(refusal(Cluster.reorder(1, "forged", Forged)) ==
        "ticket_unknown/may_have_run");
  std::string Unused = Cluster.ticket(0);
  CHECK(refusal(Cluster.send(0, std::string("/v1/query/") + Reorder,
                             R"({"key":"exact"})", Unused)) ==
        "bad_request/not_run");
  CHECK(refusal(Cluster.reorder(0, "after-bad", Unused)).empty());

  Cluster.Mesh->set(TicketFixture::name(1), TicketFixture::name(0),
                    LinkMode::Cut);
  CHECK(refusal(Cluster.reorder(1, "exact", Ticket)) ==
        "issuer_unreachable/not_run");
  Cluster.Mesh->set(TicketFixture::name(1), TicketFixture::name(0),
                    LinkMode::DropReply);
  std::string Lost = Cluster.ticket(0);
  auto Early = std::chrono::milliseconds(100);
  CHECK(refusal(Cluster.reorder(1, "lost", Lost, Early)) ==
        "issuer_unreachable/may_have_run");
  CHECK(Cluster.reorder(2, "lost", Lost).Status == 200);
  CHECK(Cluster.searchesReceived("lost") == 1);

  Cluster.restart(0);
  REQUIRE(Cluster.ready());
  for (size_t I = 0; I < 3; ++I) {
    Cluster.Mesh->set(TicketFixture::name(I), TicketFixture::name(0),
                      LinkMode::Open);
    CHECK(refusal(Cluster.reorder(I, "exact", Ticket)) ==
          "ticket_unknown/may_have_run");
  }
  CHECK(Cluster.searchesReceived("exact") == 1);
  CHECK(Cluster.searchesReceived("forged") +
            Cluster.searchesReceived("other") ==
        0);
}

// Guards against tickets that another organisation can use, and against
// revealing to it that they exist.
TEST_CASE("another organisation's ticket is unknown", "[tickets]") {
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  std::string ForeignTicket = member(
      Cluster.send(0, "/v1/tickets", "", "", {}, "algodon-azul"), "ticket");
  REQUIRE_FALSE(ForeignTicket.empty());
  for (size_t I = 0; I < 3; ++I) {
    CHECK(refusal(Cluster.reorder(I, "theirs", ForeignTicket)) ==
          "ticket_unknown/not_run");
  }
  CHECK(Cluster.searchesReceived("theirs") == 0);
}

// Guards against executing a request again while it is in progress, and against
// a repeat that waits beyond its own deadline.
TEST_CASE("a repeat during the run waits within its deadline", "[tickets]") {
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  std::string Ticket = Cluster.ticket(0);
  Cluster.hold();
  auto First = std::async(std::launch::async, [&] {
    return Cluster.reorder(0, "running", Ticket);
  });
  REQUIRE(eventually([&] { return Cluster.searchesReceived("running") == 1; }));
  auto Waiting = std::async(std::launch::async, [&] {
    return Cluster.reorder(2, "running", Ticket);
  });
  auto Before = base::Clock::now();
  auto Early =
      Cluster.reorder(0, "running", Ticket, std::chrono::milliseconds(30));
  // The first request would be cancelled after the template's deadline of 1 s.
  CHECK(base::Clock::now() - Before < std::chrono::milliseconds(500));
  CHECK(refusal(Early) == "deadline_exceeded/may_have_run");
  Cluster.release();
  auto Answer = First.get();
  REQUIRE(Answer.Status == 200);
  CHECK(comparable(Waiting.get()) == comparable(Answer));
  CHECK(Cluster.searchesReceived("running") == 1);
}

// Guards against a request that is cancelled, and so not recorded, when its
// caller disconnects.
TEST_CASE("a run goes on when its caller goes away", "[tickets]") {
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  std::string Ticket = Cluster.ticket(0);
  Cluster.hold();
  {
    boost::asio::io_context ClientContext;
    boost::asio::ip::tcp::socket Socket(ClientContext);
    auto Endpoint = Cluster.Instances[0]->callerEndpoint();
    Socket.connect(
        {boost::asio::ip::make_address(Endpoint.Address), Endpoint.Port});
    std::string Body = parametersOf("gone");
    std::string Text = "POST /v1/query/stock-reorder HTTP/1.1\r\nHost: x\r\n"
                       "Authorization: Bearer nube-rosa:nube-rosa-demo-key\r\n"
                       "X-Ticket: " +
                       Ticket +
                       "\r\nContent-Length: " + std::to_string(Body.size()) +
                       "\r\n\r\n" + Body;
    boost::asio::write(Socket, boost::asio::buffer(Text));
    REQUIRE(eventually([&] { return Cluster.searchesReceived("gone") == 1; }));
  }
  // Allows the daemon to detect the closed connection.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  Cluster.release();
  CHECK(Cluster.reorder(1, "gone", Ticket).Status == 200);
  CHECK(Cluster.searchesReceived("gone") == 1);
}

// Guards against a repeated request being executed twice, or a false not_run,
// under random partitions, lost, late and duplicated calls, and restarts.
TEST_CASE("random faults never run a ticketed request twice", "[tickets]") {
  constexpr uint64_t Seed = 4711;
  constexpr int Requests = 60;
  std::cout << "random faults between daemons: seed " << Seed << "\n";
  TicketFixture Cluster;
  REQUIRE(Cluster.ready());
  base::Random Generator(Seed);
  constexpr LinkMode Modes[] = {LinkMode::Open,        LinkMode::Cut,
                                LinkMode::DropRequest, LinkMode::DropReply,
                                LinkMode::Duplicate,   LinkMode::Delayed};
  int Answered = 0;
  int Refused = 0;
  for (int Number = 0; Number < Requests; ++Number) {
    if (Number % 20 == 10) {
      Cluster.restart(Generator.below(3));
      REQUIRE(Cluster.ready());
    }
    std::string Key = "random-" + std::to_string(Number);
    // A restarted instance issues tickets only once it has a configuration.
    REQUIRE(Cluster.ready());
    std::string Ticket = Cluster.ticket(Generator.below(3));
    REQUIRE_FALSE(Ticket.empty());
    std::string FirstAnswer;
    bool AllNotRun = true;
    for (int Attempt = 0; Attempt < 4; ++Attempt) {
      for (size_t From = 0; From < 3; ++From) {
        for (size_t To = 0; To < 3; ++To) {
          Cluster.Mesh->set(TicketFixture::name(From), TicketFixture::name(To),
                            Modes[Generator.below(std::size(Modes))]);
        }
      }
      if (Generator.below(40) == 0) {
        Cluster.restart(Generator.below(3));
      }
      auto Response = Cluster.reorder(Generator.below(3), Key, Ticket,
                                      std::chrono::milliseconds(60));
      REQUIRE(Response.Status != 0);
      std::string Reason = refusal(Response);
      if (Reason.empty()) {
        ++Answered;
        CHECK((FirstAnswer.empty() || FirstAnswer == comparable(Response)));
        FirstAnswer = comparable(Response);
      } else {
        ++Refused;
      }
      AllNotRun = AllNotRun && Reason.size() > 8 &&
                  Reason.compare(Reason.size() - 8, 8, "/not_run") == 0;
    }
    // Delayed calls arrive 20 ms after the deadline.
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    INFO(Key);
    CHECK(Cluster.searchesReceived(Key) <= 1);
    if (AllNotRun) {
      CHECK(Cluster.searchesReceived(Key) == 0);
    }
    if (!FirstAnswer.empty()) {
      CHECK(Cluster.searchesReceived(Key) == 1);
    }
  }
  std::cout << "random faults between daemons: " << Answered << " answers, "
            << Refused << " refusals\n";
  CHECK(Answered > 0);
  CHECK(Refused > 0);
}
