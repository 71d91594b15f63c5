#include "cactusgw/core/placement.hpp"

#include "cactusgw/core/hash.hpp"

#include <string>
#include <tuple>

namespace cactusgw {

namespace {

constexpr std::uint32_t kHundred = 100;

bool
IsLessLoaded(const PlacementCandidate& aLeft, const PlacementCandidate& aRight)
{
  return std::tie(aLeft.mDistance, aLeft.mInUse) <
         std::tie(aRight.mDistance, aRight.mInUse);
}

std::optional<std::size_t>
LeastLoaded(std::span<const PlacementCandidate> aCandidates)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!best || IsLessLoaded(aCandidates[i], aCandidates[*best])) {
      best = i;
    }
  }
  return best;
}

/// Whether the candidate's load with one more request stays within the bound
/// relative to the mean load of all candidates at the same distance.
bool
IsWithinBound(std::span<const PlacementCandidate> aCandidates,
              const PlacementCandidate& aCandidate)
{
  std::uint64_t sum = 1;
  std::uint64_t count = 0;
  for (const PlacementCandidate& other : aCandidates) {
    if (other.mDistance == aCandidate.mDistance) {
      sum += other.mInUse;
      ++count;
    }
  }
  const std::uint64_t bound = sum * BoundedAffinity::kMaxLoadPercent;
  const std::uint64_t rounded = (bound + kHundred * count - 1) / count;
  return static_cast<std::uint64_t>(aCandidate.mInUse + 1) * kHundred <=
         rounded + kHundred - 1;
}

} // namespace

std::optional<std::size_t>
BoundedAffinity::Choose(const PlacementRequest& aRequest,
                        std::span<const PlacementCandidate> aCandidates) const
{
  const std::optional<std::size_t> least = LeastLoaded(aCandidates);
  if (!least || aRequest.mPrefixHash == 0) {
    return least;
  }
  const std::string key = std::to_string(aRequest.mPrefixHash);
  const std::uint32_t nearest = aCandidates[*least].mDistance;
  std::optional<std::size_t> best;
  std::uint64_t bestScore = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const PlacementCandidate& candidate = aCandidates[i];
    const std::uint64_t score = RendezvousScore(key, candidate.mUpstream);
    const bool isAllowed =
      candidate.mDistance == nearest && IsWithinBound(aCandidates, candidate);
    if (isAllowed && (!best || score > bestScore)) {
      best = i;
      bestScore = score;
    }
  }
  return best ? best : least;
}

std::optional<std::size_t>
LeastRequests::Choose(const PlacementRequest&,
                      std::span<const PlacementCandidate> aCandidates) const
{
  return LeastLoaded(aCandidates);
}

RandomOfTwo::RandomOfTwo(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

std::optional<std::size_t>
RandomOfTwo::Choose(const PlacementRequest&,
                    std::span<const PlacementCandidate> aCandidates)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const std::size_t left = mRandom() % aCandidates.size();
  const std::size_t right = mRandom() % aCandidates.size();
  return IsLessLoaded(aCandidates[left], aCandidates[right]) ? left : right;
}

} // namespace cactusgw
