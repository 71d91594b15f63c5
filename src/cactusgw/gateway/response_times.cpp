#include "cactusgw/gateway/response_times.hpp"

#include <algorithm>
#include <limits>

namespace cactusgw {

void
ResponseTimes::Record(std::string_view aRoute, Milliseconds aTime)
{
  auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      return;
    }
    it = mRoutes.emplace(aRoute, Samples{}).first;
  }
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  Samples& samples = it->second;
  samples.mMs[samples.mNext] = static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMax));
  samples.mNext = (samples.mNext + 1) % kSamples;
  samples.mCount = std::min(samples.mCount + 1, kSamples);
}

std::optional<Milliseconds>
ResponseTimes::Predict(std::string_view aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end()) {
    return std::nullopt;
  }
  std::array<std::uint32_t, kSamples> sorted = it->second.mMs;
  const std::size_t count = it->second.mCount;
  const std::size_t index =
    std::min(count - 1,
             static_cast<std::size_t>(kQuantile * static_cast<double>(count)));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.begin() + static_cast<std::ptrdiff_t>(count));
  return Milliseconds{ sorted[index] };
}

} // namespace cactusgw
