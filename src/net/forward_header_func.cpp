#include "net/forward_header_func.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>
#include <charconv>
#include <cmath>

namespace hickorycrank::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::array<http::field, 10> HopByHop = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::proxy_connection,
    http::field::content_length,
};

bool isHopByHop(const http::fields::value_type &Field,
                http::token_list &Named) {
  for (http::field Known : HopByHop) {
    if (Field.name() == Known) {
      return true;
    }
  }
  return Named.exists(Field.name_string());
}

} // namespace

forward::HeaderFields endToEndFields(const http::fields &Source) {
  http::token_list Named(Source[http::field::connection]);
  forward::HeaderFields Kept;
  for (const auto &Field : Source) {
    if (!isHopByHop(Field, Named)) {
      Kept.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
    }
  }
  return Kept;
}

std::map<std::string, std::string> lowerCaseFields(const http::fields &Source) {
  std::map<std::string, std::string> Fields;
  for (const auto &Field : Source) {
    std::string Name(Field.name_string());
    for (char &Letter : Name) {
      Letter =
          static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
    }
    Fields[Name] = std::string(Field.value());
  }
  return Fields;
}

std::optional<base::Duration> parseKeepAlive(std::string_view Text) {
  constexpr std::string_view Key = "timeout=";
  size_t At = Text.find(Key);
  if (At == std::string_view::npos) {
    return std::nullopt;
  }
  int64_t Seconds = 0;
  const char *Begin = Text.data() + At + Key.size();
  auto [End, Status] =
      std::from_chars(Begin, Text.data() + Text.size(), Seconds);
  if (Status != std::errc() || Seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(Seconds);
}

std::optional<forward::LoadReport> parseLoad(std::string_view Text) {
  std::array<uint32_t, 3> Values{};
  const char *At = Text.data();
  const char *Stop = Text.data() + Text.size();
  for (size_t I = 0; I < Values.size(); ++I) {
    auto [End, Status] = std::from_chars(At, Stop, Values[I]);
    if (Status != std::errc()) {
      return std::nullopt;
    }
    At = End;
    if (I + 1 < Values.size()) {
      if (At == Stop || *At != ',') {
        return std::nullopt;
      }
      ++At;
    }
  }
  return forward::LoadReport{Values[0], Values[1], Values[2]};
}

std::optional<double> parseRateLimit(std::string_view Text) {
  double PerSecond = 0;
  const char *Stop = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Stop, PerSecond);
  if (Status != std::errc() || End != Stop || !std::isfinite(PerSecond) ||
      PerSecond < 0) {
    return std::nullopt;
  }
  return PerSecond;
}

} // namespace hickorycrank::net
