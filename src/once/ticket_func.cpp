#include "once/ticket_func.h"

#include "base/digest_func.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <utility>
#include <vector>

namespace hickorycrank::once {

namespace {

constexpr std::string_view FormatVersion = "t1";
constexpr size_t FieldCount = 7;
constexpr size_t NonceDigits = 32;
constexpr size_t MacDigits = 64;
/** Upper bound on the length of a ticket: ids have at most 256 bytes each. */
constexpr size_t MaxTicketBytes = 2'048;

/**
 * Parses a hexadecimal number.
 * @param Text The digits and nothing else.
 * @return The number, or nothing.
 */
std::optional<uint64_t> readHex(std::string_view Text) {
  uint64_t Value = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Status != std::errc() || End != Text.data() + Text.size()) {
    return std::nullopt;
  }
  return Value;
}

/**
 * Decodes a hexadecimal byte string.
 * @param Text Two digits per byte.
 * @return The bytes, or nothing.
 */
std::optional<std::string> readBytes(std::string_view Text) {
  if (Text.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string Bytes;
  for (size_t I = 0; I < Text.size(); I += 2) {
    auto Value = readHex(Text.substr(I, 2));
    if (!Value) {
      return std::nullopt;
    }
    Bytes.push_back(static_cast<char>(*Value));
  }
  return Bytes;
}

/**
 * Formats a number in hexadecimal.
 * @param Value The number.
 * @return The digits, without leading zeros.
 */
std::string writeHex(uint64_t Value) {
  std::array<char, 16> Digits{};
  auto [End, Status] =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value, 16);
  return {Digits.data(), End};
}

} // namespace

const char *toString(Verdict Decision) {
  static constexpr std::array<const char *, VerdictCount> Names = {
      "run",           "wait",
      "replay",        "record_dropped",
      "reused",        "other_organisation",
      "other_process", "expired",
      "forged",        "full"};
  return Names[static_cast<size_t>(Decision)];
}

std::string signedText(const Ticket &Source) {
  auto Expiry =
      static_cast<uint64_t>(Source.ExpiresAt.time_since_epoch().count());
  std::string Text(FormatVersion);
  Text.append(".").append(base::toHex(Source.Issuer.Value));
  Text.append(".").append(writeHex(Source.IssuerIncarnation.Value));
  Text.append(".").append(base::toHex(Source.Organisation.Value));
  Text.append(".").append(base::toString(Source.Nonce));
  Text.append(".").append(writeHex(Expiry));
  return Text;
}

std::string formatTicket(const Ticket &Source) {
  return signedText(Source).append(".").append(Source.Mac);
}

std::optional<Ticket> parseTicket(std::string_view Text) {
  if (Text.size() > MaxTicketBytes) {
    return std::nullopt;
  }
  std::vector<std::string_view> Fields;
  size_t Begin = 0;
  while (Begin <= Text.size()) {
    size_t End = std::min(Text.find('.', Begin), Text.size());
    Fields.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  if (Fields.size() != FieldCount || Fields[0] != FormatVersion ||
      Fields[4].size() != NonceDigits || Fields[6].size() != MacDigits) {
    return std::nullopt;
  }
  auto Issuer = readBytes(Fields[1]);
  auto Incarnation = readHex(Fields[2]);
  auto Organisation = readBytes(Fields[3]);
  auto High = readHex(Fields[4].substr(0, NonceDigits / 2));
  auto Low = readHex(Fields[4].substr(NonceDigits / 2));
  auto Expiry = readHex(Fields[5]);
  if (!Issuer || !Incarnation || !Organisation || !High || !Low || !Expiry) {
    return std::nullopt;
  }
  Ticket Result;
  Result.Issuer = base::InstanceId(std::move(*Issuer));
  Result.IssuerIncarnation = base::Incarnation(*Incarnation);
  Result.Organisation = base::OrganisationId(std::move(*Organisation));
  Result.Nonce = base::AttemptId{*High, *Low};
  Result.ExpiresAt =
      base::TimePoint(base::Duration(static_cast<int64_t>(*Expiry)));
  Result.Mac = Fields[6];
  return Result;
}

std::string contentDigest(std::string_view Template, std::string_view Body) {
  boost::system::error_code Failure;
  auto Parsed = boost::json::parse({Body.data(), Body.size()}, Failure);
  std::string Canonical(Template);
  Canonical.push_back('\0');
  if (Failure || !Parsed.is_object()) {
    Canonical += Body;
    return base::sha256Hex(Canonical);
  }
  std::vector<std::pair<std::string, std::string>> Members;
  for (const auto &Member : Parsed.get_object()) {
    std::string Key(Member.key_c_str(), Member.key().size());
    Members.emplace_back(boost::json::serialize(boost::json::string(Key)),
                         boost::json::serialize(Member.value()));
  }
  std::sort(Members.begin(), Members.end());
  for (const auto &[Key, Text] : Members) {
    Canonical.append(Key).append(":").append(Text).append(",");
  }
  return base::sha256Hex(Canonical);
}

} // namespace hickorycrank::once
