#include "cactusgw/gateway/shared_retry_budget.hpp"

namespace cactusgw {

void
SharedRetryBudget::OnRequest(Instant aNow)
{
  DropExpired(mRequests, aNow);
  mRequests.push_back(aNow);
}

bool
SharedRetryBudget::TryWithdraw(std::uint32_t aGateways, Instant aNow)
{
  DropExpired(mRequests, aNow);
  DropExpired(mRetries, aNow);
  const double allowed = mBound.mRatio * static_cast<double>(mRequests.size()) +
                         mBound.mFixedRetries / static_cast<double>(aGateways);
  if (static_cast<double>(mRetries.size()) + 1 > allowed) {
    return false;
  }
  mRetries.push_back(aNow);
  return true;
}

void
SharedRetryBudget::DropExpired(std::deque<Instant>& aTimes, Instant aNow) const
{
  while (!aTimes.empty() && aNow - aTimes.front() > mBound.mWindow) {
    aTimes.pop_front();
  }
}

} // namespace cactusgw
