#ifndef CACTUSGW_GATEWAY_UPSTREAM_CHOICE_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_CHOICE_HPP

/// Picks the upstream for one request.

#include "cactusgw/gateway/gateway_config.hpp"
#include "cactusgw/gateway/load_table.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cactusgw {

/// How far away an upstream is.
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/// One upstream that may be chosen, and what is known of it.
struct Candidate
{
  const KnownUpstream* mUpstream = nullptr;
  UpstreamLoad mUse;
  Distance mDistance = Distance::SameDataCentre;
  /// From UpstreamHealth.
  double mBadness = 0;
  /// From zero to one: this gateway's own order among equals. Gateways that
  /// know the same at the same time choose different ones by it.
  double mOwnOrder = 0;
};

/// Memory that one request needs at a model engine; zero elsewhere.
struct TokenNeed
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mTotal = 0;
};

/// Whether the upstream has a free slot and free memory for the request.
bool Fits(const Candidate& aCandidate,
          const GatewayService& aService,
          const TokenNeed& aNeed);

/// What distance costs; one is a whole upstream's load.
struct DistanceWeights
{
  double mSameRegion = 0.05;
  double mOtherRegion = 0.3;
};

/// The best of the candidates that the request fits on, or null.
const Candidate* ChooseUpstream(std::span<const Candidate> aCandidates,
                                const GatewayService& aService,
                                const TokenNeed& aNeed,
                                const DistanceWeights& aDistances = {});

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_CHOICE_HPP
