#include "cactusgw/gateway/upstream_choice.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

/// Fraction of an engine's memory that is allocated to requests. The rest
/// covers outputs that exceed their estimate and requests of other gateways
/// that have not been reported yet.
constexpr double kUsableMemoryFraction = 0.9;
/// Requests per slot at a plain service: the excess queues at the upstream,
/// where the wait is short.
constexpr std::uint32_t kPlainRequestsPerSlot = 2;

/// Weights of the score; 1 equals the load of a full upstream.
/// Pending prompts delay a new request immediately; memory in use delays it
/// only when the memory is full.
constexpr double kPromptWeight = 3.0;
constexpr double kFailurePenaltyWeight = 1.0;
/// Less than the load that one request of typical size adds, prompt included:
/// the tie-break must not outweigh a difference of a whole request.
constexpr double kTieBreakWeight = 0.3;

double
DistanceCost(Distance aDistance, const DistanceWeights& aWeights)
{
  switch (aDistance) {
    case Distance::SameDataCentre:
      return 0;
    case Distance::SameRegion:
      return aWeights.mSameRegion;
    case Distance::OtherRegion:
      return aWeights.mOtherRegion;
  }
  return aWeights.mOtherRegion;
}

double
Score(const Candidate& aCandidate,
      const GatewayService& aService,
      const TokenNeed& aNeed,
      const DistanceWeights& aDistances)
{
  const double slots = SlotCount(aCandidate.mUpstream->mRecord, aService);
  double load = (aCandidate.mLoad.mRequests + 1) / slots;
  if (aService.mEngine && aService.mEngine->mMemoryTokens > 0) {
    const double memory = static_cast<double>(aService.mEngine->mMemoryTokens);
    const double tokens =
      static_cast<double>(aCandidate.mLoad.mTokens + aNeed.mTotal) / memory;
    const double prompts =
      static_cast<double>(aCandidate.mLoad.mPromptTokens) / memory;
    // A token that need not be read saves the time that a pending one costs. No
    // more than the request's own prompt, and no more than the memory, is held.
    const double held = std::min({ aCandidate.mHeldTokens / memory,
                                   static_cast<double>(aNeed.mPrompt) / memory,
                                   1.0 });
    load = std::max(load, tokens) + kPromptWeight * (prompts - held);
  }
  return load + DistanceCost(aCandidate.mDistance, aDistances) +
         kFailurePenaltyWeight * aCandidate.mFailurePenalty +
         kTieBreakWeight * aCandidate.mTieBreakRank;
}

} // namespace

std::uint32_t
SlotCount(const UpstreamRecord& aUpstream, const GatewayService& aService)
{
  const std::uint32_t declared =
    aService.mEngine ? aService.mEngine->mSlots : 0;
  return std::max<std::uint32_t>(
    1, aUpstream.mSlots != 0 ? aUpstream.mSlots : declared);
}

bool
Fits(const Candidate& aCandidate,
     const GatewayService& aService,
     const TokenNeed& aNeed)
{
  const std::uint32_t slots =
    SlotCount(aCandidate.mUpstream->mRecord, aService);
  if (!aService.mEngine) {
    return aCandidate.mLoad.mRequests < slots * kPlainRequestsPerSlot;
  }
  const double usable = kUsableMemoryFraction *
                        static_cast<double>(aService.mEngine->mMemoryTokens);
  const bool isEmpty = aCandidate.mLoad.mRequests == 0;
  const double wanted =
    static_cast<double>(aCandidate.mLoad.mTokens + aNeed.mTotal);
  return aCandidate.mLoad.mRequests < slots && (isEmpty || wanted <= usable);
}

const Candidate*
ChooseUpstream(std::span<const Candidate> aCandidates,
               const GatewayService& aService,
               const TokenNeed& aNeed,
               const DistanceWeights& aDistances)
{
  const Candidate* best = nullptr;
  double bestScore = 0;
  for (const Candidate& candidate : aCandidates) {
    if (!Fits(candidate, aService, aNeed)) {
      continue;
    }
    const double score = Score(candidate, aService, aNeed, aDistances);
    if (best == nullptr || score < bestScore) {
      best = &candidate;
      bestScore = score;
    }
  }
  return best;
}

} // namespace cactusgw
