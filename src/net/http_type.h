#ifndef HICKORYCRANK_NET_HTTP_TYPE_H
#define HICKORYCRANK_NET_HTTP_TYPE_H

#include "base/error_type.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickorycrank::net {

/** A request as HTTP servers and clients of this project see it. */
struct HttpRequest {
  std::string Method = "GET";
  std::string Path;                           ///< Without the query string.
  std::map<std::string, std::string> Query;   ///< Decoded query parameters.
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
  /** Clients: unless the reply holds this text, its connection is closed. */
  std::string ExpectInReply;
};

/** A response. */
struct HttpResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  /** Clients: header fields as received, names in lower case. */
  std::map<std::string, std::string> Headers;
  bool Close = false;             ///< Close the connection after it.
  unsigned RetryAfterSeconds = 0; ///< Sent as Retry-After unless 0.
  /** Servers: released once the response has been written or cannot be. */
  std::shared_ptr<void> Resource;
};

/** Maximum size of input that the parser has not taken yet; it bounds chunk
 * extensions and trailers, which have no other limit. Beast stores field values
 * of up to 65,533 bytes and throws if a value is longer. A field is parsed from
 * one such input, so that none can be too long. */
inline constexpr size_t MaxUnparsedBytes = 65'000;

/** Told of bytes that are no request within the limits of a server: the status
 * of the response and what is wrong with them. */
using RejectionHandler =
    std::function<void(unsigned Status, const std::string &Reason)>;

/** How far an exchange got when it failed. */
enum class ExchangeStage {
  Connecting, ///< No byte of the request has left.
  Sent,       ///< Some byte may have left.
};

/** Why an exchange failed. */
enum class ExchangeFault {
  Refused, ///< Nothing listens at the address.
  Timeout, ///< No connection or reply in time.
  Reset,   ///< The connection was closed or broke.
  Garbage, ///< The reply was not valid HTTP or too large.
};

/**
 * Returns the name of a fault in logs.
 * @param Fault The fault.
 * @return Stable name in lower case.
 */
inline const char *toString(ExchangeFault Fault) {
  switch (Fault) {
  case ExchangeFault::Refused:
    return "refused";
  case ExchangeFault::Timeout:
    return "timeout";
  case ExchangeFault::Reset:
    return "reset";
  case ExchangeFault::Garbage:
    return "garbage";
  }
  return "unknown";
}

/** A failed exchange. */
struct ExchangeError {
  ExchangeStage Stage = ExchangeStage::Connecting;
  ExchangeFault Fault = ExchangeFault::Refused;
};

} // namespace hickorycrank::net

#endif
