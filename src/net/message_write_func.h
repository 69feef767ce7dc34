#ifndef HICKORYCRANK_NET_MESSAGE_WRITE_FUNC_H
#define HICKORYCRANK_NET_MESSAGE_WRITE_FUNC_H

#include "base/time_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <optional>
#include <utility>

namespace hickorycrank::net {

/** A message that is being written, and how far the peer has taken it. */
template <bool IsRequest> struct MessageWrite {
  using Body = boost::beast::http::string_body;

  boost::beast::http::message<IsRequest, Body> Content;
  /** The part that is left; nothing if no write is in progress. */
  std::optional<boost::beast::http::serializer<IsRequest, Body>> Rest;
  uint64_t WrittenBytes = 0;
  base::TimePoint ProgressAt; ///< When bytes were last taken.

  /** @return Whether a write is in progress. */
  bool isPending() const { return this->Rest.has_value(); }
  /** @return Bytes that are held until the write ends. */
  uint64_t heldBytes() const {
    return this->isPending() ? this->Content.body().size() : 0;
  }
};

/**
 * Writes the next bytes of a message, and all that follow.
 * @param Socket An open connection.
 * @param Write The write; Socket and Write live until OnEnd is destroyed.
 * @param OnEnd Called with the error code when the write has ended.
 */
template <bool IsRequest, typename Handler>
void continueWrite(boost::asio::ip::tcp::socket &Socket,
                   MessageWrite<IsRequest> &Write, Handler OnEnd) {
  boost::beast::http::async_write_some(
      Socket, *Write.Rest,
      [&Socket, &Write, OnEnd = std::move(OnEnd)](
          boost::beast::error_code Failure, size_t Count) mutable {
        if (Count > 0) {
          Write.WrittenBytes += Count;
          Write.ProgressAt = base::Clock::now();
        }
        if (!Failure && !Write.Rest->is_done()) {
          continueWrite(Socket, Write, std::move(OnEnd));
          return;
        }
        Write.Rest.reset();
        Write.Content = {}; // Idle connections hold no message.
        OnEnd(Failure);
      });
}

/**
 * Writes Write.Content, which is released at the end.
 * @param Socket An open connection.
 * @param Write The write; Socket and Write live until OnEnd is destroyed.
 * @param OnEnd Called with the error code when the write has ended.
 */
template <bool IsRequest, typename Handler>
void startWrite(boost::asio::ip::tcp::socket &Socket,
                MessageWrite<IsRequest> &Write, Handler OnEnd) {
  Write.Rest.emplace(Write.Content);
  Write.WrittenBytes = 0;
  Write.ProgressAt = base::Clock::now();
  continueWrite(Socket, Write, std::move(OnEnd));
}

} // namespace hickorycrank::net

#endif
