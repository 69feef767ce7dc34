#ifndef HICKORYCRANK_TESTS_BASE64_TEXT_H
#define HICKORYCRANK_TESTS_BASE64_TEXT_H

#include <cstdint>
#include <string>

namespace hickorycrank::tests {

/** @return Standard base64 of a text. */
inline std::string encodeBase64(const std::string &Text) {
  static const char *Alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < Text.size(); I += 3) {
    uint32_t Bits = 0;
    for (size_t J = 0; J < 3; ++J) {
      Bits = Bits << 8U |
             (I + J < Text.size() ? static_cast<uint8_t>(Text[I + J]) : 0U);
    }
    for (size_t J = 0; J < 4; ++J) {
      bool Pad = I + J > Text.size();
      Out += Pad ? '=' : Alphabet[Bits >> (18 - 6 * J) & 63U];
    }
  }
  return Out;
}

} // namespace hickorycrank::tests

#endif
