#ifndef HICKORYCRANK_TESTS_PROPERTY_H
#define HICKORYCRANK_TESTS_PROPERTY_H

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <utility>

namespace hickorycrank::tests {

/**
 * Checks a property with a fixed seed, so that the result is reproducible.
 * @param Property Callable that takes generated arguments and uses RC_ASSERT.
 * @param Runs Number of generated cases.
 */
template <typename Callable> void checkProperty(Callable &&Property, int Runs) {
  rc::detail::TestParams Params;
  Params.seed = 20'261'204;
  Params.maxSuccess = Runs;
  rc::detail::TestMetadata Metadata;
  Metadata.id = "property";
  auto Result = rc::detail::checkTestable(std::forward<Callable>(Property),
                                          Metadata, Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  INFO(Text.str());
  REQUIRE(Result.template is<rc::detail::SuccessResult>());
}

} // namespace hickorycrank::tests

#endif
