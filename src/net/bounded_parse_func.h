#ifndef HICKORYCRANK_NET_BOUNDED_PARSE_FUNC_H
#define HICKORYCRANK_NET_BOUNDED_PARSE_FUNC_H

#include "net/http_type.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace hickorycrank::net {

/**
 * Passes received bytes to an eager parser until the message is complete or
 * more bytes are needed. The parser gets at most MaxUnparsedBytes at once; see
 * there.
 * @param Parser The parser; must not be done.
 * @param Buffer The bytes; those that the parser has taken are removed.
 * @return No error, also if more bytes are needed; buffer_overflow if the
 *   parser cannot use MaxUnparsedBytes; otherwise the parser's error.
 */
template <bool IsRequest>
boost::beast::error_code
parseBounded(boost::beast::http::basic_parser<IsRequest> &Parser,
             boost::beast::flat_buffer &Buffer) {
  namespace http = boost::beast::http;
  while (!Parser.is_done() && Buffer.size() > 0) {
    boost::asio::const_buffer Input =
        boost::asio::buffer(Buffer.cdata(), MaxUnparsedBytes);
    boost::beast::error_code Failure;
    size_t Used = Parser.put(Input, Failure);
    Buffer.consume(Used);
    if (Failure && Failure != http::error::need_more) {
      return Failure;
    }
    if (Used == 0) {
      return Input.size() < MaxUnparsedBytes
                 ? boost::beast::error_code()
                 : http::make_error_code(http::error::buffer_overflow);
    }
  }
  return {};
}

} // namespace hickorycrank::net

#endif
