#include "net/url_func.h"

#include <cctype>
#include <charconv>

namespace hickorycrank::net {

std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    if (Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(Text.data() + I + 1, Text.data() + I + 3, Byte, 16)
                .ptr == Text.data() + I + 3) {
      Decoded.push_back(static_cast<char>(Byte));
      I += 2;
      continue;
    }
    Decoded.push_back(Text[I]);
  }
  return Decoded;
}

std::string encodePercent(std::string_view Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Encoded;
  for (char Raw : Text) {
    auto Byte = static_cast<unsigned char>(Raw);
    if (std::isalnum(Byte) != 0 || Raw == '-' || Raw == '_' || Raw == '.' ||
        Raw == '~') {
      Encoded.push_back(Raw);
      continue;
    }
    Encoded.push_back('%');
    Encoded.push_back(Digits[Byte >> 4U]);
    Encoded.push_back(Digits[Byte & 15U]);
  }
  return Encoded;
}

std::string splitTarget(std::string_view Target,
                        std::map<std::string, std::string> &Query) {
  size_t Mark = Target.find('?');
  std::string Path = decodePercent(Target.substr(0, Mark));
  if (Mark == std::string_view::npos) {
    return Path;
  }
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    size_t End = Rest.find('&');
    std::string_view Pair = Rest.substr(0, End);
    size_t Equals = Pair.find('=');
    std::string Value = Equals == std::string_view::npos
                            ? std::string()
                            : decodePercent(Pair.substr(Equals + 1));
    Query[decodePercent(Pair.substr(0, Equals))] = std::move(Value);
    Rest = End == std::string_view::npos ? std::string_view()
                                         : Rest.substr(End + 1);
  }
  return Path;
}

} // namespace hickorycrank::net
