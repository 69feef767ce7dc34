#include "base/digest_func.h"

#include <array>
#include <cstdlib>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace hickorycrank::base {

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  EVP_Digest(Data.data(), Data.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);
  return toHex({reinterpret_cast<const char *>(Digest.data()), Length});
}

std::string hmacSha256(std::string_view Key, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size()) {
    return false;
  }
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string toHex(std::string_view Data) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Data.size() * 2);
  for (char Byte : Data) {
    auto Value = static_cast<unsigned char>(Byte);
    Text.push_back(Digits[Value >> 4U]);
    Text.push_back(Digits[Value & 15U]);
  }
  return Text;
}

std::string toString(const AttemptId &Id) {
  std::array<char, 16> Raw{};
  for (size_t I = 0; I < 8; ++I) {
    Raw[I] = static_cast<char>(Id.High >> (56 - 8 * I));
    Raw[8 + I] = static_cast<char>(Id.Low >> (56 - 8 * I));
  }
  return toHex({Raw.data(), Raw.size()});
}

uint64_t stableHash(std::string_view Data, uint64_t Seed) {
  uint64_t Hash = 0xcbf29ce484222325ULL ^ Seed;
  for (char Byte : Data) {
    Hash ^= static_cast<unsigned char>(Byte);
    Hash *= 0x100000001b3ULL;
  }
  // Final mix: FNV-1a alone leaves the high bits of short strings correlated.
  Hash ^= Hash >> 33U;
  Hash *= 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 33U;
  Hash *= 0xc4ceb9fe1a85ec53ULL;
  return Hash ^ (Hash >> 33U);
}

std::string randomBytes(size_t Count) {
  std::string Bytes(Count, '\0');
  auto *Target = reinterpret_cast<unsigned char *>(Bytes.data());
  if (RAND_bytes(Target, static_cast<int>(Count)) != 1) {
    // Predictable ids would allow crossed answers.
    std::abort();
  }
  return Bytes;
}

AttemptId randomAttemptId() {
  constexpr size_t IdBytes = sizeof(AttemptId);
  constexpr size_t BufferBytes = 256 * IdBytes;
  thread_local std::string Buffer;
  thread_local size_t Used = BufferBytes;
  if (Used + IdBytes > BufferBytes) {
    Buffer = randomBytes(BufferBytes);
    Used = 0;
  }
  AttemptId Id;
  std::memcpy(&Id.High, Buffer.data() + Used, sizeof(Id.High));
  std::memcpy(&Id.Low, Buffer.data() + Used + sizeof(Id.High), sizeof(Id.Low));
  Used += IdBytes;
  return Id;
}

} // namespace hickorycrank::base
