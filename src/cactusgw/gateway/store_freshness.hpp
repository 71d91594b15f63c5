#ifndef CACTUSGW_GATEWAY_STORE_FRESHNESS_HPP
#define CACTUSGW_GATEWAY_STORE_FRESHNESS_HPP

/// How old this process's knowledge of the configuration is. Time is measured
/// on a clock that goes on while the VM is suspended, as a key that was taken
/// away meanwhile must not work after it wakes.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

/// Time since boot, suspension included.
using BootTime = std::chrono::nanoseconds;

/// Reads the clock of the machine.
BootTime BootNow();

/// Not thread-safe. Time is passed in.
class StoreFreshness
{
public:
  /// @param aLimit age up to which the knowledge is fresh; zero: any age
  static StoreFreshness Create(Milliseconds aLimit)
  {
    return StoreFreshness{ aLimit };
  }

  void SetLimit(Milliseconds aLimit) { mLimit = aLimit; }

  /// All changes up to this time are known.
  void OnConfirmed(BootTime aAsOf);
  /// Whether the last version could be used. While it can't, knowing it keeps
  /// nothing fresh.
  void SetUsable(bool aIsUsable) { mIsUsable = aIsUsable; }

  bool IsKnown() const { return mIsKnown; }
  bool IsFresh(BootTime aNow) const;
  /// Age of the knowledge, for logs.
  Milliseconds Age(BootTime aNow) const;

private:
  explicit StoreFreshness(Milliseconds aLimit)
    : mLimit(aLimit)
  {
  }

  Milliseconds mLimit;
  bool mIsKnown = false;
  bool mIsUsable = true;
  BootTime mAsOf{ 0 };
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_FRESHNESS_HPP
