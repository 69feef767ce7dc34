#include "cli/commands_func.h"

#include "config/settings_func.h"
#include "net/http_pool_base.h"
#include "net/url_func.h"

#include <boost/asio/io_context.hpp>
#include <iostream>

namespace hickorycrank::cli {

namespace {

constexpr std::chrono::milliseconds DefaultTimeout(65'000);

/**
 * Sends one request and prints the body of the response.
 * @param Target Server as "address:port".
 * @param Request The request.
 * @return Exit code.
 */
int exchange(const std::string &Target, net::HttpRequest Request) {
  auto Where = config::parseEndpoint(Target);
  if (!Where) {
    std::cerr << Target << ": must be an IP number and a port\n";
    return ExitCode::Usage;
  }
  boost::asio::io_context Context;
  auto Pool =
      std::make_shared<net::HttpPool>(Context, *Where, net::PoolLimits{});
  int Exit = ExitCode::Unavailable;
  Pool->send(
      std::move(Request), base::Clock::now() + DefaultTimeout, false,
      [&](const net::ExchangeResult &Result) {
        if (const auto *Response = std::get_if<net::HttpResponse>(&Result)) {
          std::cout << Response->Body << '\n';
          Exit = Response->Status == 200 ? ExitCode::Success : ExitCode::Failed;
        } else {
          std::cerr << Target << ": cannot be reached; check the address\n";
        }
        Context.stop();
      });
  Context.run();
  return Exit;
}

} // namespace

int runQuery(int Count, const char **Arguments) {
  char *Server = nullptr;
  char *Key = nullptr;
  char *Body = nullptr;
  char *Ticket = nullptr;
  int DeadlineMs = 0;
  const poptOption Options[] = {{"server", 's', POPT_ARG_STRING, &Server, 0,
                                 "Entry instance", "ADDRESS:PORT"},
                                {"credential", 'c', POPT_ARG_STRING, &Key, 0,
                                 "Credential", "ORGANISATION:KEY"},
                                {"parameters", 'p', POPT_ARG_STRING, &Body, 0,
                                 "Parameters as a JSON object", "JSON"},
                                {"deadline-ms", 'd', POPT_ARG_INT, &DeadlineMs,
                                 0, "Deadline in milliseconds", "MS"},
                                {"ticket", 't', POPT_ARG_STRING, &Ticket, 0,
                                 "Ticket for a template that is not idempotent",
                                 "TICKET"},
                                POPT_TABLEEND};
  ParsedLine Line = parseLine(Count, Arguments, Options, "TEMPLATE");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (Server == nullptr || Key == nullptr || Line.Positional.size() != 1) {
    std::cerr << "give --server, --credential and one template; see --help\n";
    return ExitCode::Usage;
  }
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/query/" + net::encodePercent(Line.Positional[0]);
  Request.Headers["Authorization"] = std::string("Bearer ") + Key;
  if (DeadlineMs != 0) {
    Request.Headers["X-Deadline-Ms"] = std::to_string(DeadlineMs);
  }
  if (Ticket != nullptr) {
    Request.Headers["X-Ticket"] = Ticket;
  }
  Request.Body = Body != nullptr ? Body : "{}";
  return exchange(Server, std::move(Request));
}

int runStatus(int Count, const char **Arguments) {
  char *Server = nullptr;
  const poptOption Options[] = {{"admin", 'a', POPT_ARG_STRING, &Server, 0,
                                 "Admin port of an instance", "ADDRESS:PORT"},
                                POPT_TABLEEND};
  ParsedLine Line =
      parseLine(Count, Arguments, Options, "--admin ADDRESS:PORT");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (Server == nullptr) {
    std::cerr << "give --admin ADDRESS:PORT; see --help\n";
    return ExitCode::Usage;
  }
  net::HttpRequest Request;
  Request.Path = "/status";
  return exchange(Server, std::move(Request));
}

} // namespace hickorycrank::cli
