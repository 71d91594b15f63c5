#include "cactusgw/gateway/stop_schedule.hpp"

#include <algorithm>

namespace cactusgw {

StopSchedule
StopSchedule::Create(Instant aBegun,
                     Milliseconds aUnreadyTime,
                     Milliseconds aStopTime)
{
  // A stop time shorter than the margins ends at once.
  const Milliseconds serving = std::max(aStopTime - kExitMargin, kAnswerMargin);
  return StopSchedule{ aBegun + std::min(aUnreadyTime, serving / 2),
                       aBegun + serving };
}

} // namespace cactusgw
