#include "cactusgw/load/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <vector>

namespace cactusgw {

namespace {

std::vector<std::string>
Split(std::string_view aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t end = std::min(aText.find(':', start), aText.size());
    parts.emplace_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

} // namespace

Result<LengthPlan>
ParseLengthPlan(std::string_view aText)
{
  const std::vector<std::string> parts = Split(aText);
  LengthPlan plan;
  const auto number = [&](std::size_t aIndex) {
    return std::atof(parts[aIndex].c_str());
  };
  if (parts[0] == "fixed" && parts.size() == 2) {
    plan.mKind = LengthKind::Fixed;
    plan.mFirst = number(1);
  } else if (parts[0] == "uniform" && parts.size() == 3) {
    plan.mKind = LengthKind::Uniform;
    plan.mFirst = number(1);
    plan.mSecond = number(2);
  } else if (parts[0] == "lognormal" && parts.size() == 4) {
    plan.mKind = LengthKind::LogNormal;
    plan.mFirst = number(1);
    plan.mSecond = number(2);
    plan.mMax = number(3);
  } else {
    return NotRun(FailureCode::InvalidInput,
                  "lengths must be fixed:N, uniform:MIN:MAX or "
                  "lognormal:MEDIAN:SIGMA:MAX");
  }
  if (plan.mFirst < 1) {
    return NotRun(FailureCode::InvalidInput, "lengths must be positive");
  }
  return plan;
}

LoadDraws::LoadDraws(LengthPlan aLengths, std::uint64_t aSeed)
  : mLengths(aLengths)
  , mRandom(aSeed)
{
}

std::uint32_t
LoadDraws::NextLength()
{
  double length = mLengths.mFirst;
  if (mLengths.mKind == LengthKind::Uniform) {
    std::uniform_real_distribution<double> draw{ mLengths.mFirst,
                                                 mLengths.mSecond };
    length = draw(mRandom);
  } else if (mLengths.mKind == LengthKind::LogNormal) {
    std::lognormal_distribution<double> draw{ std::log(mLengths.mFirst),
                                              mLengths.mSecond };
    length = std::min(draw(mRandom), mLengths.mMax);
  }
  return static_cast<std::uint32_t>(std::max(1.0, length));
}

std::chrono::microseconds
LoadDraws::NextPause(double aRate)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::exponential_distribution<double> draw{ aRate };
  return std::chrono::microseconds{ static_cast<std::int64_t>(
    draw(mRandom) * kMicrosecondsPerSecond) };
}

std::size_t
LoadDraws::NextIndex(std::size_t aCount)
{
  return mRandom() % aCount;
}

} // namespace cactusgw
