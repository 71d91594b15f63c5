#ifndef CACTUSGW_CORE_RETRY_BUDGET_HPP
#define CACTUSGW_CORE_RETRY_BUDGET_HPP

/// Bounds retries to a share of the first tries, so that an outage does not
/// double the load on what is left.

#include <cstdint>

namespace cactusgw {

/// Not thread-safe; one instance per service.
class RetryBudget
{
public:
  /// Retries allowed before any request was seen.
  static constexpr double kInitialBalance = 3.0;

  /// @param aPercent retries allowed per hundred first tries
  /// @param aBurst largest number of retries that may be saved up
  static RetryBudget Create(std::uint32_t aPercent, std::uint32_t aBurst);

  /// Records a first try.
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
