#include "net/forward_header_func.h"

#include <algorithm>
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

/** Longest time that a header field may state; longer ones are cut. */
constexpr std::chrono::milliseconds MaxStatedTime = std::chrono::minutes(10);

/** @return A decimal number of units of UnitMs milliseconds, or nothing unless
 * it is a finite number of at least 0. */
std::optional<std::chrono::milliseconds> parseTime(std::string_view Text,
                                                   double UnitMs) {
  std::optional<double> Units = parseRateLimit(Text);
  if (!Units) {
    return std::nullopt;
  }
  double Most = static_cast<double>(MaxStatedTime.count());
  return std::chrono::milliseconds(
      static_cast<int64_t>(std::ceil(std::min(*Units * UnitMs, Most))));
}

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
  int64_t Most =
      std::chrono::floor<std::chrono::seconds>(MaxStatedTime).count();
  return std::chrono::seconds(std::min(Seconds, Most));
}

std::optional<forward::LoadReport> parseLoad(std::string_view Text) {
  constexpr size_t Required = 3; // The fourth is optional.
  std::array<uint32_t, 4> Values{};
  size_t Count = 0;
  const char *At = Text.data();
  const char *Stop = Text.data() + Text.size();
  while (Count < Values.size()) {
    auto [End, Status] = std::from_chars(At, Stop, Values[Count]);
    if (Status != std::errc()) {
      break;
    }
    ++Count;
    if (End == Stop || *End != ',') {
      break;
    }
    At = End + 1;
  }
  if (Count < Required) {
    return std::nullopt;
  }
  forward::LoadReport Report{Values[0], Values[1], Values[2]};
  if (Count > Required) {
    Report.WorkPercent = Values[Required];
  }
  return Report;
}

std::optional<std::chrono::milliseconds>
parseMilliseconds(std::string_view Text) {
  return parseTime(Text, 1);
}

std::optional<std::chrono::milliseconds>
parseRetryAfter(std::string_view Text) {
  constexpr double MillisecondsPerSecond = 1'000;
  return parseTime(Text, MillisecondsPerSecond);
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
