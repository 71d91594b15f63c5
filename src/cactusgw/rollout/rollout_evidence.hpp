#ifndef CACTUSGW_ROLLOUT_ROLLOUT_EVIDENCE_HPP
#define CACTUSGW_ROLLOUT_ROLLOUT_EVIDENCE_HPP

/// How the versions of a service answer while a roll-out is in progress,
/// counted by all gateways.

#include "cactusgw/rollout/rollout_order.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw {

/// Response times, in buckets whose bounds grow by a factor of the square root
/// of 2 from 1 ms on.
using TimeHistogram = std::array<std::uint32_t, 40>;

/// Counts of one side on one route. All only increase.
struct RolloutCounts
{
  std::uint32_t mSent = 0;
  /// Requests with a first event, a whole response or a failure.
  std::uint32_t mAnswered = 0;
  /// Statuses of 5xx and responses that were cut off.
  std::uint32_t mFailed = 0;
  TimeHistogram mFirstEvents{};
  TimeHistogram mGaps{};

  bool operator==(const RolloutCounts&) const = default;
};

/// What one start of a gateway has counted on one route and side.
struct RolloutCountsEntry
{
  RolloutId mRollout;
  /// Stable hash of the gateway's name and incarnation.
  std::uint64_t mGateway = 0;
  std::string mRoute;
  RolloutSide mSide = RolloutSide::OtherVersions;
  RolloutCounts mCounts;
};

/// Sums over all gateways, by route.
struct RolloutTotals
{
  struct Route
  {
    RolloutCounts mTarget;
    RolloutCounts mOtherVersions;
  };
  std::map<std::string, Route, std::less<>> mRoutes;

  std::uint64_t SentToTarget() const;
  std::uint64_t Sent() const;
};

/// Not thread-safe. Time is passed in.
class RolloutEvidence
{
public:
  /// Bounds of what other gateways can make this one remember.
  static constexpr std::size_t kMaxRollouts = 8;
  static constexpr std::size_t kMaxGateways = 1024;
  static constexpr std::size_t kMaxRoutes = 64;

  /// @param aSelf stable hash of this gateway's name and incarnation
  static RolloutEvidence Create(std::uint64_t aSelf);

  /// Starts to count for an order; a no-op for one that is known.
  void Begin(const RolloutId& aRollout, Instant aNow);
  /// Forgets an order and all that was counted for it.
  void Forget(const RolloutId& aRollout);

  void OnSent(const RolloutId& aRollout,
              std::string_view aRoute,
              RolloutSide aSide);
  /// @param aTime time until a stream's first event, or until the whole
  ///   response
  void OnFirstEvent(const RolloutId& aRollout,
                    std::string_view aRoute,
                    RolloutSide aSide,
                    Milliseconds aTime);
  /// @param aHasBegun whether the first event was reported before
  void OnFailed(const RolloutId& aRollout,
                std::string_view aRoute,
                RolloutSide aSide,
                bool aHasBegun);
  /// @param aMeanGap mean time between two events of a whole stream
  void OnStreamEnded(const RolloutId& aRollout,
                     std::string_view aRoute,
                     RolloutSide aSide,
                     Milliseconds aMeanGap);

  /// Merges what another gateway knows: the larger of each count.
  /// Entries of orders that were not begun here are ignored.
  void Merge(const RolloutCountsEntry& aEntry);
  /// @param aAge how long another gateway has known the order
  void MergeAge(const RolloutId& aRollout, Milliseconds aAge, Instant aNow);

  /// How long the order has been known by the gateway that knew it first.
  Milliseconds Age(const RolloutId& aRollout, Instant aNow) const;
  RolloutTotals Totals(const RolloutId& aRollout) const;
  std::vector<RolloutId> Rollouts() const;

  /// Incremented by each change.
  std::uint64_t Version() const { return mVersion; }
  /// Of all counts, the same at all gateways that know the same; zero: none.
  std::uint64_t Digest() const { return mDigest; }
  /// The entries that changed after a version, oldest first and at most aLimit
  /// of them, and the version that they lead to.
  std::pair<std::vector<RolloutCountsEntry>, std::uint64_t> ChangedSince(
    std::uint64_t aVersion,
    std::size_t aLimit) const;

private:
  struct Key
  {
    RolloutId mRollout;
    std::uint64_t mGateway = 0;
    std::string mRoute;
    RolloutSide mSide = RolloutSide::OtherVersions;

    auto operator<=>(const Key&) const = default;
  };
  struct Entry
  {
    RolloutCounts mCounts;
    /// The version that changed it last.
    std::uint64_t mVersion = 0;
  };
  using Entries = std::map<Key, Entry>;

  explicit RolloutEvidence(std::uint64_t aSelf)
    : mSelf(aSelf)
  {
  }
  /// Returns null if the order is unknown or the entry would exceed a bound.
  Entry* FindOrAdd(Key aKey);
  bool HasRoomFor(const Key& aKey) const;
  /// Applies a change to an entry and keeps the digest and the order.
  template<typename Change>
  void Update(Key aKey, const Change& aChange);
  static std::uint64_t DigestOf(const Key& aKey, const RolloutCounts& aCounts);

  std::uint64_t mSelf;
  std::uint64_t mVersion = 0;
  std::uint64_t mDigest = 0;
  /// When each order was first known, as far as reported.
  std::map<RolloutId, Instant> mBegun;
  Entries mEntries;
  std::map<std::uint64_t, Key> mByVersion;
};

} // namespace cactusgw

#endif // CACTUSGW_ROLLOUT_ROLLOUT_EVIDENCE_HPP
