#include "cactusgw/gateway/shared_retry_budget.hpp"

namespace cactusgw {

void
SharedRetryBudget::OnRequest(Instant aNow)
{
  DropOld(mRequests, aNow);
  mRequests.push_back(aNow);
}

bool
SharedRetryBudget::TryTake(std::uint32_t aGateways, Instant aNow)
{
  DropOld(mRequests, aNow);
  DropOld(mRepeats, aNow);
  const double allowed = mBound.mRatio * static_cast<double>(mRequests.size()) +
                         mBound.mExtra / static_cast<double>(aGateways);
  if (static_cast<double>(mRepeats.size()) + 1 > allowed) {
    return false;
  }
  mRepeats.push_back(aNow);
  return true;
}

void
SharedRetryBudget::DropOld(std::deque<Instant>& aTimes, Instant aNow) const
{
  while (!aTimes.empty() && aNow - aTimes.front() > mBound.mWindow) {
    aTimes.pop_front();
  }
}

} // namespace cactusgw
