#ifndef HICKORYCRANK_TESTS_PEER_MESH_H
#define HICKORYCRANK_TESTS_PEER_MESH_H

#include "daemon/peer_call_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace hickorycrank::tests {

/** Fault injected into calls from one instance to another. */
enum class LinkMode {
  Open,
  Cut,         ///< Nothing is sent.
  DropRequest, ///< The request is lost.
  DropReply,   ///< The request arrives; the reply is lost.
  Duplicate,   ///< The request arrives twice.
  Delayed,     ///< The request arrives after the caller's deadline.
};

/** In-process transport for peer calls with fault injection. Thread-safe. */
class PeerMesh : public std::enable_shared_from_this<PeerMesh> {
public:
  explicit PeerMesh(boost::asio::io_context &Context) : Context(Context) {}

  /** Registers the handler of an instance and replaces an earlier one. */
  void join(const base::InstanceId &Name, daemon::PeerCallHandler Handler) {
    std::lock_guard Lock(this->Mutex);
    this->Handlers[Name] = std::move(Handler);
  }

  /** Removes an instance; calls to it fail as NotSent. */
  void leave(const base::InstanceId &Name) {
    std::lock_guard Lock(this->Mutex);
    this->Handlers.erase(Name);
  }

  /** Sets the fault mode of calls in one direction. */
  void set(const base::InstanceId &From, const base::InstanceId &To,
           LinkMode Mode) {
    std::lock_guard Lock(this->Mutex);
    this->Modes[{From, To}] = Mode;
  }

  /** @return The function by which an instance calls the others. */
  daemon::PeerCallFunction callOf(const base::InstanceId &From) {
    return [Self = this->shared_from_this(),
            From](const base::InstanceId &Target, base::Incarnation,
                  const std::string &Payload, base::TimePoint Deadline,
                  std::function<void(daemon::PeerCallResult)> Done) {
      Self->call(From, Target, Payload, Deadline, std::move(Done));
    };
  }

private:
  /** A call in progress; Done is called once, with the reply or at the
   * deadline. */
  struct Pending {
    explicit Pending(boost::asio::io_context &Context) : Timer(Context) {}
    std::mutex Mutex;
    std::function<void(daemon::PeerCallResult)> Done;
    boost::asio::steady_timer Timer;

    void finish(daemon::PeerCallResult Result) {
      std::function<void(daemon::PeerCallResult)> Callback;
      {
        std::lock_guard Lock(this->Mutex);
        Callback = std::exchange(this->Done, {});
        this->Timer.cancel();
      }
      if (Callback) {
        Callback(std::move(Result));
      }
    }
  };

  void call(const base::InstanceId &From, const base::InstanceId &Target,
            const std::string &Payload, base::TimePoint Deadline,
            std::function<void(daemon::PeerCallResult)> Done) {
    LinkMode Mode = LinkMode::Open;
    daemon::PeerCallHandler Handler;
    {
      std::lock_guard Lock(this->Mutex);
      auto Link = this->Modes.find({From, Target});
      Mode = Link == this->Modes.end() ? LinkMode::Open : Link->second;
      auto Process = this->Handlers.find(Target);
      if (Process != this->Handlers.end()) {
        Handler = Process->second;
      }
    }
    if (Mode == LinkMode::Cut || !Handler) {
      Done(daemon::PeerCallError::NotSent);
      return;
    }
    auto Call = std::make_shared<Pending>(this->Context);
    {
      std::lock_guard Lock(Call->Mutex);
      Call->Done = std::move(Done);
      Call->Timer.expires_at(Deadline);
      Call->Timer.async_wait([Call](boost::system::error_code Failure) {
        if (!Failure) {
          Call->finish(daemon::PeerCallError::NoReply);
        }
      });
    }
    auto Deliver = [Handler, Payload, Call, Mode] {
      Handler(Payload, [Call, Mode](std::string Reply) {
        if (Mode != LinkMode::DropReply) {
          Call->finish(std::move(Reply));
        }
      });
    };
    if (Mode == LinkMode::DropRequest) {
      return;
    }
    if (Mode == LinkMode::Delayed) {
      auto Late = std::make_shared<boost::asio::steady_timer>(this->Context);
      Late->expires_at(Deadline + std::chrono::milliseconds(20));
      Late->async_wait(
          [Late, Deliver](boost::system::error_code) { Deliver(); });
      return;
    }
    boost::asio::post(this->Context, Deliver);
    if (Mode == LinkMode::Duplicate) {
      boost::asio::post(this->Context, Deliver);
    }
  }

  boost::asio::io_context &Context;
  std::mutex Mutex; ///< Guards the members below.
  std::map<base::InstanceId, daemon::PeerCallHandler> Handlers;
  std::map<std::pair<base::InstanceId, base::InstanceId>, LinkMode> Modes;
};

} // namespace hickorycrank::tests

#endif
