#include "stand_ins.h"

#include "base/digest_func.h"
#include "standin/deployment_base.h"

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace hickorycrank::bench {

namespace {

constexpr size_t ThreadCount = 3;
constexpr char CrashOrder = 'c';

/**
 * Writes the documents: one template for each fan-out.
 * @return Text by document name.
 */
std::map<std::string, std::string> makeDocuments() {
  std::map<std::string, std::string> Documents;
  Documents["service/stock"] = "kind = \"service\"\nname = \"stock\"\n"
                               "connections_per_server = 30\nslots = 3\n"
                               "planned_instances = 4\nconnect_ms = 6\n";
  std::string Organisation =
      "kind = \"organisation\"\nname = \"bench\"\nkey_sha256 = \"" +
      base::sha256Hex("bench-key") + "\"\n";
  for (uint32_t FanOut : {10, 50, 150, 450}) {
    std::string Name = "fan-" + std::to_string(FanOut);
    std::string Shards = "[";
    for (uint32_t I = 0; I < FanOut; ++I) {
      Shards.append("\"stock-shard-").append(std::to_string(I)).append("\", ");
    }
    std::string &Text = Documents["template/" + Name];
    Text.append("kind = \"template\"\nname = \"").append(Name);
    Text.append("\"\nservice = \"stock\"\nshards = ").append(Shards);
    Text.append("]\ndeadline_ms = 5000\ncoverage_goal = 1.0\n"
                "coverage_floor = 0.5\norder_by = \"stock\"\nlimit = 100\n\n"
                "[parameters.colour]\ntype = \"text\"\n");
    Organisation.append("\n[templates.").append(Name).append("]\n");
  }
  Documents["organisation/bench"] = Organisation;
  return Documents;
}

/**
 * Runs the stand-ins until the pipe is closed.
 * @param Groups Groups of replicas.
 * @param Orders Read end of the pipe.
 * @param Answers Write end for the platform's port.
 */
void runStandIns(uint32_t Groups, int Orders, int Answers) {
  boost::asio::io_context Context;
  auto Guard = boost::asio::make_work_guard(Context);
  standin::ServiceShape Shape;
  Shape.Name = "stock";
  Shape.Groups = Groups;
  Shape.Replicas = ReplicaCount;
  Shape.ShardsPerGroup = GroupShards;
  auto Stand = std::make_unique<standin::Deployment>(
      Context, standin::DeploymentBuilder().service(Shape));
  Stand->platform().publish(1, makeDocuments());
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < ThreadCount; ++I) {
    Threads.emplace_back([&Context] { Context.run(); });
  }
  uint16_t Port = Stand->platform().endpoint().Port;
  if (write(Answers, &Port, sizeof(Port)) != sizeof(Port)) {
    _exit(EXIT_FAILURE);
  }
  char Order = 0;
  while (read(Orders, &Order, 1) == 1) {
    if (Order != CrashOrder) {
      continue;
    }
    for (size_t I = 0; I < Stand->serverCount("stock"); I += ReplicaCount) {
      Stand->server("stock", I).crash();
    }
  }
  _exit(EXIT_SUCCESS);
}

} // namespace

StandIns::StandIns(uint32_t Groups) {
  int ToChild[2] = {-1, -1};
  int FromChild[2] = {-1, -1};
  if (pipe(ToChild) != 0 || pipe(FromChild) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe");
  }
  this->Process = fork();
  if (this->Process < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (this->Process == 0) {
    close(ToChild[1]);
    close(FromChild[0]);
    runStandIns(Groups, ToChild[0], FromChild[1]);
  }
  close(ToChild[0]);
  close(FromChild[1]);
  this->Orders = ToChild[1];
  uint16_t Port = 0;
  bool Started = read(FromChild[0], &Port, sizeof(Port)) == sizeof(Port);
  close(FromChild[0]);
  if (!Started) {
    throw std::runtime_error("the stand-ins did not start");
  }
  this->Platform.Port = Port;
}

StandIns::~StandIns() {
  close(this->Orders);
  waitpid(this->Process, nullptr, 0);
}

void StandIns::crashDomain() const {
  if (write(this->Orders, &CrashOrder, 1) != 1) {
    throw std::system_error(errno, std::generic_category(), "write");
  }
}

} // namespace hickorycrank::bench
