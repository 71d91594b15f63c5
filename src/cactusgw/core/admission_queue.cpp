#include "cactusgw/core/admission_queue.hpp"

namespace cactusgw {

void
AdmissionQueue::Add(AdmissionRequest aRequest, Instant aDeadline)
{
  mWaiting.push_back({ std::move(aRequest), aDeadline });
}

std::vector<AdmissionRequest>
AdmissionQueue::TakeExpired(Instant aNow)
{
  std::vector<AdmissionRequest> expired;
  std::erase_if(mWaiting, [&](QueuedRequest& aWaiting) {
    const bool isOver = aNow >= aWaiting.mDeadline;
    if (isOver) {
      expired.push_back(std::move(aWaiting.mRequest));
    }
    return isOver;
  });
  return expired;
}

std::vector<AdmissionRequest>
AdmissionQueue::TakeAll()
{
  return TakeExpired(Instant::max());
}

} // namespace cactusgw
