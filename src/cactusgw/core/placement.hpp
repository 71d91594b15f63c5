#ifndef CACTUSGW_CORE_PLACEMENT_HPP
#define CACTUSGW_CORE_PLACEMENT_HPP

/// Chooses an upstream among those that have a free credit.

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace cactusgw {

/// An upstream that may take a request now.
struct PlacementCandidate
{
  std::string_view mUpstream;
  /// Requests of this VM in flight there.
  std::uint32_t mInUse = 0;
  /// Credits this VM may still use there.
  std::uint32_t mFree = 0;
  /// 0: same data centre, 1: same region, 2: another region.
  std::uint32_t mDistance = 0;
};

/// What is known about the request to place.
struct PlacementRequest
{
  /// Hash of the prompt's beginning: equal prefixes go to the same upstream.
  std::uint64_t mPrefixHash = 0;
};

/// A way of choosing. Candidates all have a free credit.
/// @return an index into the candidates; none when there are none
template<typename Policy>
concept PlacementPolicy = requires(Policy& aPolicy,
                                   const PlacementRequest& aRequest,
                                   std::span<const PlacementCandidate> aAll)
{
  {
    aPolicy.Choose(aRequest, aAll)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// Nearest first; then the rendezvous choice for the prefix, as long as its
/// load stays within a bound of the mean; then the least loaded.
class BoundedAffinity
{
public:
  /// An upstream is passed over above this percentage of the mean load.
  static constexpr std::uint32_t kMaxLoadPercent = 125;

  std::optional<std::size_t> Choose(
    const PlacementRequest& aRequest,
    std::span<const PlacementCandidate> aCandidates) const;
};

/// Baseline: the fewest requests in flight.
class LeastRequests
{
public:
  std::optional<std::size_t> Choose(
    const PlacementRequest& aRequest,
    std::span<const PlacementCandidate> aCandidates) const;
};

/// Baseline: the less loaded of two drawn at random.
class RandomOfTwo
{
public:
  explicit RandomOfTwo(std::uint64_t aSeed);

  std::optional<std::size_t> Choose(
    const PlacementRequest& aRequest,
    std::span<const PlacementCandidate> aCandidates);

private:
  std::mt19937_64 mRandom;
};

static_assert(PlacementPolicy<BoundedAffinity>);
static_assert(PlacementPolicy<LeastRequests>);
static_assert(PlacementPolicy<RandomOfTwo>);

} // namespace cactusgw

#endif // CACTUSGW_CORE_PLACEMENT_HPP
