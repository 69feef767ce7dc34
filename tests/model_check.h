#ifndef HICKORYCRANK_TESTS_MODEL_CHECK_H
#define HICKORYCRANK_TESTS_MODEL_CHECK_H

#include <cstddef>
#include <deque>
#include <iostream>
#include <string>
#include <unordered_set>
#include <utility>

namespace hickorycrank::tests {

/** Number of instances in each model. */
inline constexpr size_t InstanceCount = 3;

/** Result of exploring a state space. */
struct SearchResult {
  size_t States = 0;     ///< Distinct states visited.
  std::string Violation; ///< Empty: none found.
  size_t Depth = 0;      ///< Of the last state visited.
};

/**
 * Visits all reachable states in breadth-first order until one violates an
 * invariant.
 * @param Initial Initial state, with members key(), check() and successors().
 * @return The result.
 */
template <typename State> SearchResult explore(State Initial) {
  SearchResult Result;
  std::unordered_set<std::string> Visited{Initial.key()};
  std::deque<std::pair<State, size_t>> Frontier;
  Frontier.emplace_back(std::move(Initial), 0);
  while (!Frontier.empty()) {
    auto [Current, Depth] = std::move(Frontier.front());
    Frontier.pop_front();
    ++Result.States;
    Result.Depth = Depth;
    Result.Violation = Current.check();
    if (!Result.Violation.empty()) {
      return Result;
    }
    for (State &Next : Current.successors()) {
      if (Visited.insert(Next.key()).second) {
        Frontier.emplace_back(std::move(Next), Depth + 1);
      }
    }
  }
  return Result;
}

/** Prints the result for a model. */
inline void printResult(const char *Model, const SearchResult &Result) {
  std::cout << "model check, " << Model << ": " << Result.States
            << " states, depth " << Result.Depth << ", "
            << (Result.Violation.empty() ? "no violation" : Result.Violation)
            << "\n";
}

} // namespace hickorycrank::tests

#endif
