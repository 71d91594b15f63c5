#ifndef CACTUSGW_GATEWAY_UPSTREAM_CHOICE_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_CHOICE_HPP

/// Scores the upstreams that can serve a request and selects the best one.

#include "cactusgw/gateway/gateway_config.hpp"
#include "cactusgw/gateway/load_table.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cactusgw {

/// Distance between two data centres.
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/// An upstream that may be selected, with the inputs of its score.
struct Candidate
{
  const KnownUpstream* mUpstream = nullptr;
  /// Load from all gateways, as far as it is known.
  UpstreamLoad mLoad;
  Distance mDistance = Distance::SameDataCentre;
  /// Penalty for recent failures, from UpstreamHealth.
  double mFailurePenalty = 0;
  /// Between zero and one; differs from gateway to gateway. Keeps gateways that
  /// see the same load from all selecting the same upstream.
  double mTieBreakRank = 0;
  /// Expected number of the prompt's first tokens that the upstream still
  /// holds, from PromptCacheIndex.
  double mHeldTokens = 0;
};

/// Tokens of engine memory that a request needs; zero for plain services.
struct TokenNeed
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mTotal = 0;
};

/// Requests that the upstream runs at a time; at least one.
std::uint32_t SlotCount(const UpstreamRecord& aUpstream,
                        const GatewayService& aService);

/// Whether the upstream has a free slot and enough free memory for the request.
bool Fits(const Candidate& aCandidate,
          const GatewayService& aService,
          const TokenNeed& aNeed);

/// Score added for distance; 1 equals the load of a full upstream.
struct DistanceWeights
{
  double mSameRegion = 0.05;
  double mOtherRegion = 0.3;
};

/// Returns the candidate with the lowest score among those that fit the
/// request, or null when none fits.
const Candidate* ChooseUpstream(std::span<const Candidate> aCandidates,
                                const GatewayService& aService,
                                const TokenNeed& aNeed,
                                const DistanceWeights& aDistances = {});

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_CHOICE_HPP
