#include "cactusgw/core/admission_queue.hpp"

namespace cactusgw {

void
AdmissionQueue::Add(AdmissionRequest aAsk, Instant aDeadline)
{
  mWaiting.push_back({ std::move(aAsk), aDeadline });
}

bool
AdmissionQueue::HasSameTarget(const AdmissionRequest& aAsk) const
{
  return std::any_of(
    mWaiting.begin(), mWaiting.end(), [&](const WaitingAsk& aWaiting) {
      return aWaiting.mAsk.mService == aAsk.mService &&
             aWaiting.mAsk.mModel == aAsk.mModel;
    });
}

std::vector<AdmissionRequest>
AdmissionQueue::TakeExpired(Instant aNow)
{
  std::vector<AdmissionRequest> expired;
  std::erase_if(mWaiting, [&](WaitingAsk& aWaiting) {
    const bool isOver = aNow >= aWaiting.mDeadline;
    if (isOver) {
      expired.push_back(std::move(aWaiting.mAsk));
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
