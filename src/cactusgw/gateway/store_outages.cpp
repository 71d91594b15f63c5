#include "cactusgw/gateway/store_outages.hpp"

#include <utility>

namespace cactusgw {

std::optional<Milliseconds>
StoreOutages::OnAnswer(Instant aAt)
{
  if (mAnsweredAt && aAt <= *mAnsweredAt) {
    return std::nullopt;
  }
  const std::optional<Instant> before = std::exchange(mAnsweredAt, aAt);
  const bool hasFailed = std::exchange(mHasFailed, false);
  if (!before) {
    return std::nullopt;
  }
  const Milliseconds silence =
    std::chrono::duration_cast<Milliseconds>(aAt - *before);
  const Milliseconds shortest =
    hasFailed ? kShortestOutage : kShortestUnnoticedOutage;
  return silence < shortest ? std::nullopt : std::optional{ silence };
}

} // namespace cactusgw
