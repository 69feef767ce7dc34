#ifndef HICKORYCRANK_BASE_RANDOM_BASE_H
#define HICKORYCRANK_BASE_RANDOM_BASE_H

#include <cstdint>
#include <random>

namespace hickorycrank::base {

/**
 * Seeded generator for routing and jitter. The distributions are written out
 * because those of the standard library differ between implementations, and a
 * replay must give the same bytes everywhere. Not for secrets.
 */
class Random {
public:
  /**
   * Starts a sequence.
   * @param Seed Equal seeds give equal sequences.
   */
  explicit Random(uint64_t Seed) : Engine(Seed) {}

  /**
   * Draws 64 uniform bits.
   * @return The next value.
   */
  uint64_t next() { return this->Engine(); }

  /**
   * Draws an integer below a bound. The modulo bias is below 2^-32 for the
   * sizes of servers and shards in use.
   * @param Bound Exclusive upper bound, at least 1.
   * @return A value in [0, Bound).
   */
  uint64_t below(uint64_t Bound) { return this->Engine() % Bound; }

  /**
   * Draws a real number.
   * @return A value in [0, 1).
   */
  double unit() {
    return static_cast<double>(this->Engine() >> 11U) * 0x1.0p-53;
  }

private:
  std::mt19937_64 Engine;
};

} // namespace hickorycrank::base

#endif
