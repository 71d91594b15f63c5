#ifndef CACTUSGW_GATEWAY_SHARED_RETRY_BUDGET_HPP
#define CACTUSGW_GATEWAY_SHARED_RETRY_BUDGET_HPP

/// This gateway's share of the retries that all gateways together may send to a
/// service within one time window: a ratio of the requests that this gateway
/// handles for the service, plus an equal share of a fixed number of retries.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <deque>

namespace cactusgw {

/// The limit for all gateways together.
struct RetryBound
{
  double mRatio = 0;
  double mFixedRetries = 0;
  Milliseconds mWindow{ 10'000 };
};

/// Not thread-safe; one instance per service. Time is passed in.
class SharedRetryBudget
{
public:
  static SharedRetryBudget Create(const RetryBound& aBound)
  {
    return SharedRetryBudget{ aBound };
  }

  /// Records a request for the service.
  void OnRequest(Instant aNow);
  /// Consumes one retry. Returns false if the budget is exhausted.
  /// @param aGateways number of gateways that share the fixed retries
  bool TryWithdraw(std::uint32_t aGateways, Instant aNow);

private:
  explicit SharedRetryBudget(const RetryBound& aBound)
    : mBound(aBound)
  {
  }
  void DropExpired(std::deque<Instant>& aTimes, Instant aNow) const;

  RetryBound mBound;
  std::deque<Instant> mRequests;
  std::deque<Instant> mRetries;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_SHARED_RETRY_BUDGET_HPP
