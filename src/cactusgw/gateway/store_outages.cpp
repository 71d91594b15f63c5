#include "cactusgw/gateway/store_outages.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

std::optional<Milliseconds>
StoreOutages::OnAnswer(Instant aAt)
{
  if (mAnsweredAt && aAt <= *mAnsweredAt) {
    return std::nullopt;
  }
  const std::optional<Instant> before = std::exchange(mAnsweredAt, aAt);
  // The answer may be from before a call that has failed since.
  const bool hasFailed = mFailures && mFailures->mFirstSentAt < aAt;
  if (mFailures && mFailures->mLastSentAt < aAt) {
    mFailures.reset();
  } else if (hasFailed) {
    mFailures->mFirstSentAt = mFailures->mLastSentAt;
  }
  if (!before) {
    return std::nullopt;
  }
  const Milliseconds silence =
    std::chrono::duration_cast<Milliseconds>(aAt - *before);
  const Milliseconds shortest =
    hasFailed ? kShortestOutage : kShortestUnnoticedOutage;
  return silence < shortest ? std::nullopt : std::optional{ silence };
}

void
StoreOutages::OnFailure(Instant aSentAt)
{
  if (mAnsweredAt && aSentAt < *mAnsweredAt) {
    return;
  }
  if (!mFailures) {
    mFailures = Failures{ aSentAt, aSentAt };
    return;
  }
  mFailures->mFirstSentAt = std::min(mFailures->mFirstSentAt, aSentAt);
  mFailures->mLastSentAt = std::max(mFailures->mLastSentAt, aSentAt);
}

} // namespace cactusgw
