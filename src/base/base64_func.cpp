#include "base/base64_func.h"

#include <openssl/evp.h>

namespace hickorycrank::base {

std::optional<std::string> decodeBase64(std::string_view Text) {
  constexpr size_t GroupCharacters = 4;
  constexpr size_t GroupBytes = 3;
  if (Text.size() % GroupCharacters != 0) {
    return std::nullopt;
  }
  std::string Bytes(Text.size() / GroupCharacters * GroupBytes, '\0');
  int Written =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Written < 0) {
    return std::nullopt;
  }
  // OpenSSL counts the padding as bytes.
  size_t Padding = Text.ends_with("==") ? 2 : Text.ends_with("=") ? 1 : 0;
  Bytes.resize(static_cast<size_t>(Written) - Padding);
  return Bytes;
}

} // namespace hickorycrank::base
