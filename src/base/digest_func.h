#ifndef HICKORYCRANK_BASE_DIGEST_FUNC_H
#define HICKORYCRANK_BASE_DIGEST_FUNC_H

#include "base/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorycrank::base {

/**
 * Computes SHA-256 with OpenSSL.
 * @param Data Bytes to digest.
 * @return 64 lower-case hexadecimal digits.
 */
std::string sha256Hex(std::string_view Data);

/**
 * Computes HMAC-SHA256 with OpenSSL.
 * @param Key Secret key.
 * @param Data Bytes to authenticate.
 * @return 32 raw bytes.
 */
std::string hmacSha256(std::string_view Key, std::string_view Data);

/**
 * Compares two strings in time that depends only on their lengths.
 * @param Left First string.
 * @param Right Second string.
 * @return Whether both are equal.
 */
bool equalConstantTime(std::string_view Left, std::string_view Right);

/**
 * Writes bytes as hexadecimal digits.
 * @param Data Bytes.
 * @return Two lower-case digits a byte.
 */
std::string toHex(std::string_view Data);

/**
 * Writes an attempt id as the backend server echoes it.
 * @param Id The id.
 * @return 32 lower-case hexadecimal digits.
 */
std::string toString(const AttemptId &Id);

/**
 * Hashes bytes with 64-bit FNV-1a and a final mix; not for secrets. The
 * result is part of the protocol (shard by key, rendezvous hashing), so it
 * must not change.
 * @param Data Bytes.
 * @param Seed Separates independent uses.
 * @return The hash.
 */
uint64_t stableHash(std::string_view Data, uint64_t Seed = 0);

/**
 * Draws from OpenSSL's generator, buffered per thread.
 * @return An unguessable attempt id.
 */
AttemptId randomAttemptId();

/**
 * Draws secret bytes from OpenSSL's generator.
 * @param Count Number of bytes.
 * @return Raw bytes.
 */
std::string randomBytes(size_t Count);

} // namespace hickorycrank::base

#endif
