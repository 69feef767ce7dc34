#include "net/reply_check_func.h"

#include <algorithm>
#include <string_view>

namespace hickorycrank::net {

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

} // namespace

bool holdsOtherReply(const http::response<http::string_body> &Received) {
  auto Reason = Received.reason();
  return holdsStatusLine({Reason.data(), Reason.size()}) ||
         std::any_of(Received.begin(), Received.end(), [](const auto &Field) {
           auto Value = Field.value();
           return holdsStatusLine({Value.data(), Value.size()});
         });
}

} // namespace hickorycrank::net
