#ifndef CACTUSGW_CORE_PLACEMENT_HPP
#define CACTUSGW_CORE_PLACEMENT_HPP

/// Placement policies: select an upstream among those with a free credit.

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace cactusgw {

/// An upstream to which a request can be sent now.
struct PlacementCandidate
{
  std::string_view mUpstream;
  /// Requests of this VM in flight on the upstream.
  std::uint32_t mInUse = 0;
  /// Credits of the upstream that are free on this VM.
  std::uint32_t mFree = 0;
  /// 0: same data centre, 1: same region, 2: another region.
  std::uint32_t mDistance = 0;
};

/// The properties of a request that matter for placement.
struct PlacementRequest
{
  /// Hash of the prompt's prefix, zero for none. Requests with equal prefixes
  /// prefer the same upstream.
  std::uint64_t mPrefixHash = 0;
};

/// A placement policy. Choose() returns an index into the candidates, or
/// nothing when there are none. Every candidate has a free credit.
template<typename Policy>
concept PlacementPolicy = requires(Policy& aPolicy,
                                   const PlacementRequest& aRequest,
                                   std::span<const PlacementCandidate> aAll)
{
  {
    aPolicy.Choose(aRequest, aAll)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// Rendezvous hashing with bounded loads: among the nearest candidates, selects
/// the one with the highest score for the prefix whose load stays within a
/// bound relative to the mean. Without such a candidate, or without a prefix,
/// selects the least loaded of the nearest.
class BoundedAffinity
{
public:
  /// Upstreams above this percentage of the mean load are skipped.
  static constexpr std::uint32_t kMaxLoadPercent = 125;

  std::optional<std::size_t> Choose(
    const PlacementRequest& aRequest,
    std::span<const PlacementCandidate> aCandidates) const;
};

/// Baseline for comparison: the nearest candidate with the fewest requests in
/// flight.
class LeastRequests
{
public:
  std::optional<std::size_t> Choose(
    const PlacementRequest& aRequest,
    std::span<const PlacementCandidate> aCandidates) const;
};

/// Baseline for comparison: power of two random choices. Selects the nearer of
/// two random candidates, or the less loaded at equal distance.
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
