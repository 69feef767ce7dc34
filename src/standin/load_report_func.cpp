#include "standin/load_report_func.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace hickorycrank::standin {

namespace {

/**
 * Writes a share as a percentage.
 * @param Part Numerator.
 * @param Whole Denominator.
 * @return Text such as "99.50%"; "-" if the denominator is 0.
 */
std::string percentage(uint64_t Part, uint64_t Whole) {
  if (Whole == 0) {
    return "-";
  }
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(2)
       << 100.0 * static_cast<double>(Part) / static_cast<double>(Whole) << '%';
  return Text.str();
}

/**
 * Lists the refusals of one template.
 * @param Result The result.
 * @return Counts by kind; "-" if there are none.
 */
std::string listRefusals(const LoadResult &Result) {
  std::string Text;
  auto Append = [&Text](const std::string &Kind, uint64_t Count) {
    Text += (Text.empty() ? "" : " ") + Kind + "=" + std::to_string(Count);
  };
  for (const auto &[Kind, Count] : Result.Refusals) {
    Append(Kind, Count);
  }
  if (Result.Unanswered != 0) {
    Append("no_response", Result.Unanswered);
  }
  return Text.empty() ? "-" : Text;
}

} // namespace

double quantileOf(std::vector<double> Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  std::sort(Values.begin(), Values.end());
  auto Rank = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(Values.size())));
  return Values[std::clamp<size_t>(Rank, 1, Values.size()) - 1];
}

std::string formatLoad(const std::map<std::string, LoadResult> &Results) {
  constexpr int NameWidth = 16;
  constexpr int NumberWidth = 10;
  std::ostringstream Text;
  Text << "  " << std::left << std::setw(NameWidth) << "template" << std::right;
  for (const char *Heading :
       {"queries", "p50 ms", "p99 ms", "coverage", "extra"}) {
    Text << std::setw(NumberWidth) << Heading;
  }
  Text << "  refusals\n" << std::fixed << std::setprecision(1);
  for (const auto &[Template, Result] : Results) {
    Text << "  " << std::left << std::setw(NameWidth) << Template << std::right
         << std::setw(NumberWidth) << Result.Queries << std::setw(NumberWidth)
         << quantileOf(Result.LatenciesMs, 0.5) << std::setw(NumberWidth)
         << quantileOf(Result.LatenciesMs, 0.99) << std::setw(NumberWidth)
         << percentage(Result.ShardsAnswered, Result.ShardsExpected)
         << std::setw(NumberWidth)
         << percentage(Result.ExtraAttempts, Result.ShardsExpected) << "  "
         << listRefusals(Result) << '\n';
  }
  return Text.str();
}

} // namespace hickorycrank::standin
