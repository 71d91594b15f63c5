#ifndef CACTUSGW_GATEWAY_STORE_FRESHNESS_HPP
#define CACTUSGW_GATEWAY_STORE_FRESHNESS_HPP

/// Age of the configuration that this process holds. It is measured on a clock
/// that keeps running while the VM is suspended: a key that was revoked during
/// the suspension must not be accepted after the VM resumes.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <optional>

namespace cactusgw {

/// Time since boot, including time in suspension.
using BootTime = std::chrono::nanoseconds;

/// Reads CLOCK_BOOTTIME.
BootTime BootNow();

/// Tracks when the configuration was last confirmed to be the latest version.
/// Not thread-safe. Time is passed in.
class StoreFreshness
{
public:
  /// @param aLimit age below which the configuration is fresh; zero means no
  /// limit
  static StoreFreshness Create(Milliseconds aLimit)
  {
    return StoreFreshness{ aLimit };
  }

  void SetLimit(Milliseconds aLimit) { mLimit = aLimit; }
  /// Sets the age below which a version may still be in use although a newer
  /// one is known; zero means no limit.
  void SetOutdatedLimit(Milliseconds aLimit) { mOutdatedLimit = aLimit; }

  /// Records that all changes of the configuration up to this time are known.
  /// Ignored while the latest version is unusable, or while the store holds an
  /// older version than some gateway applies: a store that was restored from a
  /// copy doesn't tell what has changed since.
  void OnConfirmed(BootTime aAsOf);
  /// The configuration in the store, as last read, has this version.
  void OnRead(std::uint64_t aVersion);
  /// A gateway applies this version.
  void OnApplied(std::uint64_t aVersion);
  /// This gateway applies this version.
  void OnOwnVersion(std::uint64_t aVersion);
  /// Whether some gateway applies a newer version than this one.
  bool IsOutdated() const { return mOwnVersion < mNewestVersion; }
  /// Whether the store holds an older version than some gateway applies.
  bool IsStoreBehind() const { return mReadVersion < mNewestVersion; }
  /// Records that the store had no configuration yet at this time.
  void OnMissing(BootTime aAsOf) { mMissingAsOf = aAsOf; }
  /// Records that the store was heard of at this time, while the latest
  /// configuration is still being received.
  void OnContact(BootTime aAsOf) { mContactAsOf = aAsOf; }
  /// Whether the store has been heard of within this time, by the latest
  /// configuration or by the lack of any.
  bool HasContact(Milliseconds aMaxAge, BootTime aNow) const;
  bool HasEverHadContact() const { return mIsKnown || mMissingAsOf; }
  /// Sets whether the latest version of the configuration is usable. While it
  /// is not, confirmations don't reset the age of the version in use.
  void SetUsable(bool aIsUsable) { mIsUsable = aIsUsable; }

  bool IsUsable() const { return mIsUsable; }
  /// Whether the configuration has been confirmed at least once.
  bool IsKnown() const { return mIsKnown; }
  bool IsFresh(BootTime aNow) const
  {
    return IsYoungerThan(mLimit, aNow) &&
           (!IsOutdated() || IsYoungerThan(mOutdatedLimit, aNow));
  }
  /// The same with another limit; zero means no limit.
  bool IsYoungerThan(Milliseconds aLimit, BootTime aNow) const;
  /// Time since the configuration was last confirmed.
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
  std::optional<BootTime> mMissingAsOf;
  std::optional<BootTime> mContactAsOf;
  Milliseconds mOutdatedLimit{ 0 };
  std::uint64_t mOwnVersion = 0;
  std::uint64_t mReadVersion = 0;
  std::uint64_t mNewestVersion = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_FRESHNESS_HPP
