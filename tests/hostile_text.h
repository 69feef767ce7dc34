#ifndef HICKORYCRANK_TESTS_HOSTILE_TEXT_H
#define HICKORYCRANK_TESTS_HOSTILE_TEXT_H

#include <cstdint>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <vector>

namespace hickorycrank::tests {

/** Any bytes, also those that are no text. */
inline rc::Gen<std::string> anyBytes() {
  return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/** Valid text with some bytes replaced, removed, inserted or repeated. */
inline rc::Gen<std::string> mutated(const std::string &Valid) {
  return rc::gen::map(
      rc::gen::container<std::vector<std::tuple<uint32_t, uint8_t, char>>>(
          rc::gen::arbitrary<std::tuple<uint32_t, uint8_t, char>>()),
      [Valid](const auto &Edits) {
        std::string Text = Valid;
        for (const auto &[Place, How, Byte] : Edits) {
          size_t At = Text.empty() ? 0 : Place % Text.size();
          switch (How % 5) {
          case 0:
            Text.insert(At, 1, Byte);
            break;
          case 1:
            Text.erase(At, 1);
            break;
          case 2:
            Text.resize(At);
            break;
          case 3:
            Text += Text.substr(At, 64);
            break;
          default:
            Text.insert(At, 1, "0123456789-\"{}[].e"[Place % 18]);
          }
        }
        return Text;
      });
}

/** Random bytes or a mutation of valid text. */
inline rc::Gen<std::string> hostile(const std::string &Valid) {
  return rc::gen::oneOf(anyBytes(), mutated(Valid));
}

} // namespace hickorycrank::tests

#endif
