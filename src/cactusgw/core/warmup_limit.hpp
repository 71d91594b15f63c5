#ifndef CACTUSGW_CORE_WARMUP_LIMIT_HPP
#define CACTUSGW_CORE_WARMUP_LIMIT_HPP

/// Adaptive concurrency limit of an upstream. It starts at the cold limit,
/// grows only with completed requests and is reset to the cold limit on a
/// failure.

#include <cstdint>

namespace cactusgw {

/// Lower and upper bound of an upstream's limit, in concurrent requests.
struct LimitBounds
{
  std::uint32_t mCold = 1;
  std::uint32_t mWarm = 1;
};

/// Requests that an upstream completed since the last observation.
struct CompletedWork
{
  /// Requests that completed normally.
  std::uint32_t mCompleted = 0;
  /// How many of them exceeded the target for the gap between tokens.
  std::uint32_t mSlow = 0;
  /// Requests in flight of all VMs as last reported, without this report.
  std::uint32_t mInUse = 0;
};

/// Not thread-safe; one instance per owned upstream.
class WarmupLimit
{
public:
  /// The limit grows by limit / kGrowthDivisor per round, and by at least one.
  /// A round ends once as many requests have completed as the limit allows at
  /// once.
  static constexpr std::uint32_t kGrowthDivisor = 2;
  /// The limit grows only if at least limit / kMinUseDivisor requests were in
  /// use: completing requests under low load doesn't show that the upstream can
  /// handle more.
  static constexpr std::uint32_t kMinUseDivisor = 2;

  static WarmupLimit Create(LimitBounds aBounds);

  /// Raises the limit for completed requests, or lowers it when some were slow.
  /// Not called when no requests completed, so an idle upstream's limit doesn't
  /// grow.
  void OnCompleted(const CompletedWork& aWork);

  /// Resets the limit: the upstream restarted, failed, stopped responding,
  /// reported an overload or returned from a drain, or the owner lost a
  /// connection to it.
  void OnTrouble();

  /// Raises the limit to the one that a former owner had reached, up to the
  /// warm limit.
  void Inherit(std::uint32_t aLimit);

  /// Applies bounds from a changed configuration. This never raises the limit.
  void SetBounds(LimitBounds aBounds);

  std::uint32_t Limit() const { return mLimit; }
  bool IsWarm() const { return mLimit >= mBounds.mWarm; }

private:
  explicit WarmupLimit(LimitBounds aBounds);
  void Grow();

  LimitBounds mBounds;
  std::uint32_t mLimit;
  std::uint32_t mCompletedInRound = 0;
  std::uint32_t mPeakInUse = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_WARMUP_LIMIT_HPP
