#ifndef CACTUSGW_GATEWAY_SHARED_RETRY_BUDGET_HPP
#define CACTUSGW_GATEWAY_SHARED_RETRY_BUDGET_HPP

/// This gateway's part of the repeats that all gateways may send to a service
/// in one window: a share of the requests it carries there, and a fixed part
/// of the number that is allowed beyond that.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <deque>

namespace cactusgw {

/// The bound for all gateways together.
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

  /// Counts a request for the service.
  void OnRequest(Instant aNow);
  /// Takes one repeat. Returns false when none is left.
  /// @param aGateways gateways that the fixed part is divided among
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
