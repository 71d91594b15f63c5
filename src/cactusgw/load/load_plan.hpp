#ifndef CACTUSGW_LOAD_LOAD_PLAN_HPP
#define CACTUSGW_LOAD_LOAD_PLAN_HPP

/// What a load run sends: lengths of answers and times between requests.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace cactusgw {

enum class LengthKind
{
  Fixed,
  Uniform,
  LogNormal,
};

/// A distribution of output lengths, in tokens.
struct LengthPlan
{
  LengthKind mKind = LengthKind::Fixed;
  /// Fixed: the length. Uniform: the least. LogNormal: the median.
  double mFirst = 50;
  /// Uniform: the greatest. LogNormal: sigma of the logarithm.
  double mSecond = 0;
  /// LogNormal: lengths above are cut.
  double mMax = 0;
};

/// Reads `fixed:N`, `uniform:MIN:MAX` or `lognormal:MEDIAN:SIGMA:MAX`.
Result<LengthPlan> ParseLengthPlan(std::string_view aText);

/// Draws from a plan; equal seeds give equal draws.
class LoadDraws
{
public:
  LoadDraws(LengthPlan aLengths, std::uint64_t aSeed);

  std::uint32_t NextLength();
  /// Time to the next request at a mean rate per second.
  std::chrono::microseconds NextPause(double aRate);
  /// Index of the next workspace.
  std::size_t NextIndex(std::size_t aCount);

private:
  LengthPlan mLengths;
  std::mt19937_64 mRandom;
};

} // namespace cactusgw

#endif // CACTUSGW_LOAD_LOAD_PLAN_HPP
