#include "cactusgw/core/admission_queue.hpp"

namespace cactusgw {

void
AdmissionQueue::Add(AdmissionAsk aAsk, Instant aDeadline)
{
  mWaiting.push_back({ std::move(aAsk), aDeadline });
}

bool
AdmissionQueue::HasSameTarget(const AdmissionAsk& aAsk) const
{
  return std::any_of(
    mWaiting.begin(), mWaiting.end(), [&](const WaitingAsk& aWaiting) {
      return aWaiting.mAsk.mService == aAsk.mService &&
             aWaiting.mAsk.mModel == aAsk.mModel;
    });
}

std::vector<AdmissionAsk>
AdmissionQueue::TakeExpired(Instant aNow)
{
  std::vector<AdmissionAsk> expired;
  std::erase_if(mWaiting, [&](WaitingAsk& aWaiting) {
    const bool isOver = aNow >= aWaiting.mDeadline;
    if (isOver) {
      expired.push_back(std::move(aWaiting.mAsk));
    }
    return isOver;
  });
  return expired;
}

std::vector<AdmissionAsk>
AdmissionQueue::TakeAll()
{
  return TakeExpired(Instant::max());
}

} // namespace cactusgw
