#ifndef HICKORYCRANK_TESTS_SCRIPTED_SERVER_H
#define HICKORYCRANK_TESTS_SCRIPTED_SERVER_H

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace hickorycrank::tests {

/** Reply of a scripted server to one request. */
struct ScriptedReply {
  std::string Bytes;  ///< Written unchanged.
  bool Close = false; ///< Whether to close the connection afterwards.
};

/**
 * A TCP server that replies to each request with the raw bytes that a script
 * returns. Uses one thread per connection.
 */
class ScriptedServer {
public:
  /** Called with the request line and header fields of each request. */
  using Script = std::function<ScriptedReply(const std::string &)>;

  explicit ScriptedServer(Script Answer)
      : Answer(std::move(Answer)),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Accepting([this] { this->accept(); }) {}

  ~ScriptedServer() {
    this->Stopped = true;
    boost::system::error_code Ignored;
    boost::asio::ip::tcp::socket Waker(this->Context);
    Waker.connect(this->Acceptor.local_endpoint(), Ignored);
    this->Accepting.join();
    for (auto &Open : this->Connections) {
      Open.first.shutdown(boost::asio::ip::tcp::socket::shutdown_both, Ignored);
    }
    for (auto &Open : this->Connections) {
      Open.second.join();
    }
  }

  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /** @return "IP:port". */
  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }
  /** @return Number of connections closed by their clients. */
  int closedByClient() const { return this->Closed; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void accept() {
    while (true) {
      this->Connections.emplace_back(Socket(this->Context), std::thread());
      auto &Open = this->Connections.back();
      boost::system::error_code Failure;
      this->Acceptor.accept(Open.first, Failure);
      if (Failure || this->Stopped) {
        this->Connections.pop_back();
        return;
      }
      Open.second = std::thread([this, &Open] { this->serve(Open.first); });
    }
  }

  void serve(Socket &Open) {
    std::string Input;
    boost::system::error_code Failure;
    while (true) {
      size_t Count = boost::asio::read_until(
          Open, boost::asio::dynamic_buffer(Input), "\r\n\r\n", Failure);
      if (Failure) {
        ++this->Closed;
        return;
      }
      ScriptedReply Reply = this->Answer(Input.substr(0, Count));
      Input.erase(0, Count);
      boost::asio::write(Open, boost::asio::buffer(Reply.Bytes), Failure);
      if (Reply.Close) {
        Open.shutdown(Socket::shutdown_both, Failure);
        return;
      }
    }
  }

  Script Answer;
  std::atomic<bool> Stopped{false};
  std::atomic<int> Closed{0};
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<std::pair<Socket, std::thread>> Connections;
  std::thread Accepting;
};

/** @return Value of a header field; empty if it is absent. */
inline std::string fieldOf(const std::string &Head, const std::string &Name) {
  size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos) {
    return "";
  }
  At += Name.size() + 4;
  return Head.substr(At, Head.find("\r\n", At) - At);
}

} // namespace hickorycrank::tests

#endif
