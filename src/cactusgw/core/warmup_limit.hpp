#ifndef CACTUSGW_CORE_WARMUP_LIMIT_HPP
#define CACTUSGW_CORE_WARMUP_LIMIT_HPP

/// How many requests an upstream may run at once: starts at the cold limit,
/// grows only on completed work, and falls back to cold on any sign of
/// trouble.

#include <cstdint>

namespace cactusgw {

/// The two ends of an upstream's limit, in concurrent requests.
struct LimitBounds
{
  std::uint32_t mCold = 1;
  std::uint32_t mWarm = 1;
};

/// Work an upstream finished since the last observation.
struct CompletedWork
{
  /// Requests that ended normally.
  std::uint32_t mCompleted = 0;
  /// How many of them had pauses between tokens above the target.
  std::uint32_t mSlow = 0;
  /// Requests running at the time of the observation.
  std::uint32_t mInUse = 0;
};

/// Not thread-safe; one instance per owned upstream.
class WarmupLimit
{
public:
  /// Growth per round is this fraction of the limit, and at least one.
  static constexpr std::uint32_t kGrowthDivisor = 2;
  /// A round counts only when at least this fraction of the limit was in use:
  /// finishing little work says nothing about bearing more.
  static constexpr std::uint32_t kMinUseDivisor = 2;

  static WarmupLimit Create(LimitBounds aBounds);

  /// Takes completed work into account. Never called for silence.
  void OnCompleted(const CompletedWork& aWork);

  /// The upstream restarted, broke, went silent or reported itself cold.
  void OnTrouble();

  /// Starts from a limit that a former owner had reached.
  void Inherit(std::uint32_t aLimit);

  /// New bounds from a configuration change. The limit never rises by it.
  void SetBounds(LimitBounds aBounds);

  std::uint32_t Limit() const { return mLimit; }
  bool IsWarm() const { return mLimit >= mBounds.mWarm; }

private:
  explicit WarmupLimit(LimitBounds aBounds);
  void Grow();

  LimitBounds mBounds;
  std::uint32_t mLimit;
  std::uint32_t mGoodInRound = 0;
  std::uint32_t mPeakInUse = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_WARMUP_LIMIT_HPP
