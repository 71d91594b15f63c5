#include "cactusgw/core/attempt_deadline.hpp"

#include <algorithm>

namespace cactusgw {

AttemptDeadline
AttemptDeadline::Create(Instant aSentAt,
                        Instant aDeadline,
                        Milliseconds aMinTime)
{
  const Instant half = aSentAt + (aDeadline - aSentAt) / 2;
  const Instant latest = aDeadline - (aDeadline - aSentAt) / 4;
  return AttemptDeadline{ std::max(half, aSentAt + aMinTime),
                          latest,
                          aDeadline };
}

bool
AttemptDeadline::MakesWayForRetry(const AttemptState& aState,
                                  Instant aNow) const
{
  return aState.mCanRetry && !aState.mHasBegun && aNow >= mRetryAt &&
         aNow <= mRetryUntil;
}

} // namespace cactusgw
