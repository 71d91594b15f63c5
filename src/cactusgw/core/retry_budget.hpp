#ifndef CACTUSGW_CORE_RETRY_BUDGET_HPP
#define CACTUSGW_CORE_RETRY_BUDGET_HPP

/// Limits retries to a percentage of first attempts, so that retries during an
/// outage don't double the load on the remaining upstreams.

#include <cstdint>

namespace cactusgw {

/// Not thread-safe; one instance per service.
class RetryBudget
{
public:
  /// Retries allowed before the first request, unless the burst is lower.
  static constexpr double kInitialBalance = 3.0;

  /// @param aPercent retries allowed per hundred first attempts
  /// @param aBurst maximum number of unused retries that accumulate
  static RetryBudget Create(std::uint32_t aPercent, std::uint32_t aBurst);

  /// Adds the share of a retry that one first attempt earns.
  void Deposit();

  /// Takes one retry from the budget. Returns false when none is left.
  bool TryWithdraw();

  double Balance() const { return mBalance; }

private:
  RetryBudget(double aPerRequest, double aBurst);

  double mPerRequest;
  double mBurst;
  double mBalance;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_RETRY_BUDGET_HPP
