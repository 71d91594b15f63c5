#include "cactusgw/core/retry_budget.hpp"

#include <algorithm>

namespace cactusgw {

RetryBudget
RetryBudget::Create(std::uint32_t aPercent, std::uint32_t aBurst)
{
  constexpr double kHundred = 100.0;
  return RetryBudget{ aPercent / kHundred, static_cast<double>(aBurst) };
}

RetryBudget::RetryBudget(double aPerRequest, double aBurst)
  : mPerRequest(aPerRequest)
  , mBurst(aBurst)
  , mBalance(std::min(kInitialBalance, aBurst))
{
}

void
RetryBudget::Deposit()
{
  mBalance = std::min(mBurst, mBalance + mPerRequest);
}

bool
RetryBudget::TryWithdraw()
{
  if (mBalance < 1.0) {
    return false;
  }
  mBalance -= 1.0;
  return true;
}

} // namespace cactusgw
