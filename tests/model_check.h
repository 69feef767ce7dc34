#ifndef HICKORYCRANK_TESTS_MODEL_CHECK_H
#define HICKORYCRANK_TESTS_MODEL_CHECK_H

#include <cstddef>
#include <deque>
#include <iostream>
#include <string>
#include <unordered_set>
#include <utility>

namespace hickorycrank::tests {

/** Instances in each model. */
inline constexpr size_t InstanceCount = 3;

/** Result of a search. */
struct SearchResult {
  size_t States = 0;
  std::string Violation; ///< Empty: none found.
  size_t Depth = 0;      ///< Of the violation or the deepest state.
};

/**
 * Visits every state that can be reached.
 * @param First Initial state; has key(), check() and successors().
 * @return What was found.
 */
template <typename State> SearchResult explore(State First) {
  SearchResult Found;
  std::unordered_set<std::string> Visited{First.key()};
  std::deque<std::pair<State, size_t>> Frontier;
  Frontier.emplace_back(std::move(First), 0);
  while (!Frontier.empty()) {
    auto [Current, Depth] = std::move(Frontier.front());
    Frontier.pop_front();
    ++Found.States;
    Found.Depth = Depth;
    Found.Violation = Current.check();
    if (!Found.Violation.empty()) {
      return Found;
    }
    for (State &Next : Current.successors()) {
      if (Visited.insert(Next.key()).second) {
        Frontier.emplace_back(std::move(Next), Depth + 1);
      }
    }
  }
  return Found;
}

/** Prints what a search found. */
inline void printResult(const char *Model, const SearchResult &Result) {
  std::cout << "model check, " << Model << ": " << Result.States
            << " states, depth " << Result.Depth << ", "
            << (Result.Violation.empty() ? "no violation" : Result.Violation)
            << "\n";
}

} // namespace hickorycrank::tests

#endif
