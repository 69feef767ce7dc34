#include "net/reply_check_func.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string_view>

namespace hickorycrank::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

/** @return Whether a text begins with a status line of HTTP/1.0 or 1.1. */
bool beginsWithStatusLine(std::string_view Text) {
  constexpr std::string_view Name = "HTTP/1.";
  constexpr size_t StatusAt = Name.size() + 2; // After the minor version.
  constexpr size_t StatusEnd = StatusAt + 3;
  return Text.size() >= StatusEnd && Text.starts_with(Name) &&
         isDigit(Text[Name.size()]) && Text[Name.size() + 1] == ' ' &&
         std::all_of(Text.begin() + StatusAt, Text.begin() + StatusEnd,
                     isDigit) &&
         (Text.size() == StatusEnd || Text[StatusEnd] == ' ');
}

bool holdsStatusLine(std::string_view Text) {
  for (size_t At = Text.find('H'); At != std::string_view::npos;
       At = Text.find('H', At + 1)) {
    if (beginsWithStatusLine(Text.substr(At))) {
      return true;
    }
  }
  return false;
}

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

/** @return Whether a field states that a body follows. */
bool statesBody(const http::response<http::string_body> &Received) {
  auto Length = Received[http::field::content_length];
  return Received.find(http::field::transfer_encoding) != Received.end() ||
         Length.find_first_not_of("0, ") != std::string_view::npos;
}

} // namespace

bool holdsOtherReply(const http::response<http::string_body> &Received) {
  auto Reason = Received.reason();
  return holdsStatusLine({Reason.data(), Reason.size()}) ||
         std::any_of(Received.begin(), Received.end(), [](const auto &Field) {
           auto Value = Field.value();
           return holdsStatusLine({Value.data(), Value.size()});
         });
}

bool isBodyless(unsigned Status) {
  // The library does not know each informational status by name.
  constexpr unsigned FirstFinal = 200;
  return Status < FirstFinal ||
         http::int_to_status(Status) == http::status::no_content;
}

bool hasForeignCoding(const http::fields &Fields) {
  auto Range = Fields.equal_range(http::field::transfer_encoding);
  return std::any_of(Range.first, Range.second, [](const auto &Field) {
    return !beast::iequals(Field.value(), "chunked");
  });
}

const char *findForbidden(const http::response<http::string_body> &Received,
                          const http::fields &Request) {
  unsigned Status = Received.result_int();
  if (Status < MinStatus || Status > MaxStatus) {
    return "a status that does not exist";
  }
  if (Received.result() == http::status::switching_protocols) {
    return "a switch of protocols that was not asked for";
  }
  if (Received.result() == http::status::partial_content &&
      Request.find(http::field::range) == Request.end()) {
    return "a part of a body that was asked for whole";
  }
  if (isBodyless(Status) && statesBody(Received)) {
    return "a length although the status has no body";
  }
  if (Received.result() == http::status::reset_content &&
      !Received.body().empty()) {
    return "a body although the status has none";
  }
  if (hasForeignCoding(Received)) {
    return "a transfer coding that was not asked for";
  }
  constexpr unsigned Http11 = 11;
  if (Received.version() < Http11 &&
      Received.find(http::field::transfer_encoding) != Received.end()) {
    return "a transfer coding in HTTP/1.0";
  }
  return nullptr;
}

} // namespace hickorycrank::net
