#include "cactusgw/gateway/backup_choice.hpp"

#include <tuple>

namespace cactusgw {

namespace {

/// Output from which a generation is replicated: it takes more than a second.
constexpr std::uint64_t kMinOutputTokens = 128;
/// Part of an engine's memory up to which it takes backups. The rest stays free
/// for requests, which are worth more than backups.
constexpr double kMaxMemoryFraction = 0.25;
/// The same for its slots.
constexpr double kMaxSlotFraction = 0.5;

bool
HasAmpleRoom(const Candidate& aCandidate,
             const EngineProfile& aEngine,
             const TokenNeed& aNeed)
{
  const double tokens =
    static_cast<double>(aCandidate.mLoad.mTokens + aNeed.mTotal);
  const double memory = static_cast<double>(aEngine.mMemoryTokens);
  return tokens <= kMaxMemoryFraction * memory &&
         aCandidate.mLoad.mRequests <= kMaxSlotFraction * aEngine.mSlots;
}

} // namespace

bool
IsWorthABackup(const GatewayService& aService,
               RouteKind aKind,
               const TokenNeed& aNeed)
{
  return IsStream(aKind) && aService.mEngine && aService.mEngine->mCanBackUp &&
         aNeed.mTotal >= aNeed.mPrompt + kMinOutputTokens;
}

const Candidate*
ChooseBackup(std::span<const Candidate> aCandidates,
             std::string_view aPrimary,
             const GatewayService& aService,
             const TokenNeed& aNeed)
{
  const auto placeOf = [](const Candidate& aCandidate) {
    return std::make_tuple(
      aCandidate.mDistance, aCandidate.mLoad.mTokens, aCandidate.mTieBreakRank);
  };
  const Candidate* best = nullptr;
  for (const Candidate& candidate : aCandidates) {
    const bool isUsable = candidate.mUpstream->mRecord.mId != aPrimary &&
                          candidate.mDistance != Distance::OtherRegion &&
                          HasAmpleRoom(candidate, *aService.mEngine, aNeed);
    if (isUsable && (best == nullptr || placeOf(candidate) < placeOf(*best))) {
      best = &candidate;
    }
  }
  return best;
}

} // namespace cactusgw
