// Tests which connections are closed when they hold too much together.
#include "limits/memory_ledger_base.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hickorycrank;
using limits::chooseLargest;

// Guards against closing many small holders, or more than is needed.
TEST_CASE("the largest holders are chosen until the others fit", "[limits]") {
  std::vector<uint64_t> Held{10, 500, 0, 300, 500, 20};
  CHECK(chooseLargest(Held, 0).empty());
  CHECK(chooseLargest(Held, 1) == std::vector<size_t>{1});
  CHECK(chooseLargest(Held, 501) == std::vector<size_t>{1, 4});
  CHECK(chooseLargest(Held, 1'001) == std::vector<size_t>{1, 4, 3});
  CHECK(chooseLargest(Held, 9'999) == std::vector<size_t>{1, 4, 3, 5, 0});
}

// Guards against a sum that drifts, so that connections are closed although
// nothing is held, and against a bound that is passed unnoticed.
TEST_CASE("the ledger counts what its connections hold", "[limits]") {
  int Exceeded = 0;
  auto Ledger =
      std::make_shared<limits::MemoryLedger>(100, [&] { ++Exceeded; });
  limits::HeldBytes First(Ledger);
  First.set(60);
  {
    limits::HeldBytes Second(Ledger);
    Second.set(40);
    CHECK(Exceeded == 0);
    Second.set(70);
    CHECK(Exceeded == 1);
    CHECK(Ledger->excessBytes() == 30);
    First.set(50);
    CHECK(Exceeded == 1);
    CHECK(Ledger->excessBytes() == 20);
  }
  CHECK(Ledger->heldBytes() == 50);
  CHECK(Ledger->excessBytes() == 0);
  First.set(0);
  CHECK(Ledger->heldBytes() == 0);
}

// Guards against a process that is killed because its bound is as large as its
// memory, and against one without a bound.
TEST_CASE("the bound follows the memory of the process", "[limits]") {
  CHECK(limits::heldBytesLimit(400'000'000) == 100'000'000);
  CHECK(limits::heldBytesLimit(0) > 0);
}
