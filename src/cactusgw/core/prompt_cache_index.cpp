#include "cactusgw/core/prompt_cache_index.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusgw {

namespace {

/// Time constant of the counts of requests. A gateway sends few requests a
/// second, so that a shorter time gives shares that are mostly noise.
constexpr std::chrono::duration<double> kCountTime{ 20 };
/// Time in which the requests of an upstream end and leave as many tokens in
/// its cache as they occupied: generations run for 5 to 10 s, and the shorter
/// time keeps the estimate of the cache's lifetime low.
constexpr std::chrono::duration<double> kTurnoverTime{ 5 };

double
Decay(Instant aFrom, Instant aTo)
{
  const std::chrono::duration<double> passed =
    std::max(aTo - aFrom, Instant::duration::zero());
  return std::exp(-passed / kCountTime);
}

} // namespace

std::vector<PromptPrefix>
PromptPrefixes(std::string_view aService, std::span<const PromptPart> aParts)
{
  std::vector<PromptPrefix> prefixes{ { StableHash(aService), 0 } };
  for (const PromptPart& part :
       aParts.first(std::min(aParts.size(), PromptCacheIndex::kMaxParts))) {
    const PromptPrefix& shorter = prefixes.back();
    prefixes.push_back(
      { RendezvousScore(part.mId, std::to_string(shorter.mKey)),
        shorter.mTokens + part.mTokens });
  }
  return prefixes;
}

void
PromptCacheIndex::OnSent(std::span<const PromptPrefix> aPrefixes, Instant aNow)
{
  for (const PromptPrefix& prefix : aPrefixes) {
    Use(prefix.mKey, aNow).mRequests += 1;
  }
}

void
PromptCacheIndex::OnRead(std::span<const PromptPrefix> aPrefixes,
                         const UpstreamStart& aUpstream,
                         Instant aNow)
{
  if (aPrefixes.empty()) {
    return;
  }
  for (const PromptPrefix& prefix : aPrefixes.subspan(1)) {
    std::vector<Holder>& holders = Use(prefix.mKey, aNow).mHolders;
    std::erase_if(holders, [&](const Holder& aHolder) {
      return aHolder.mUpstream.mId == aUpstream.mId ||
             aNow - aHolder.mReadAt >= kMaxAge;
    });
    // Appended in the order of time, so that the first one is the oldest.
    if (holders.size() >= kMaxHolders) {
      holders.erase(holders.begin());
    }
    holders.push_back({ aUpstream, aNow });
  }
}

void
PromptCacheIndex::Forget(std::string_view aUpstream)
{
  for (auto& [key, record] : mPrefixes) {
    std::erase_if(record.mHolders, [&](const Holder& aHolder) {
      return aHolder.mUpstream.mId == aUpstream;
    });
  }
}

PreferredUpstreams
PromptCacheIndex::Preferred(std::span<const PromptPrefix> aPrefixes,
                            std::span<const std::string> aUpstreams,
                            double aOtherGateways,
                            Instant aNow) const
{
  PreferredUpstreams preferred;
  if (aPrefixes.size() < 2) {
    return preferred;
  }
  const double all = std::max(1.0, RequestsOf(aPrefixes.front().mKey, aNow));
  const double upstreams = static_cast<double>(aUpstreams.size());
  for (const PromptPrefix& prefix : aPrefixes.subspan(1)) {
    const double requests = RequestsOf(prefix.mKey, aNow);
    const double share = std::min(1.0, requests / all);
    const std::size_t wanted =
      static_cast<std::size_t>(std::ceil(kSpread * share * upstreams));
    const std::size_t count =
      std::min(aUpstreams.size(), std::max(kMinPreferred, wanted));
    const std::string key = std::to_string(prefix.mKey);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    ranked.reserve(aUpstreams.size());
    for (const std::string& upstream : aUpstreams) {
      ranked.emplace_back(RendezvousScore(key, upstream), &upstream);
    }
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const auto& aOne, const auto& aOther) {
                        return aOne.first != aOther.first
                                 ? aOne.first > aOther.first
                                 : *aOne.second < *aOther.second;
                      });
    PreferredUpstreams::Level level{ prefix, {}, 0 };
    for (const auto& [score, id] : std::span{ ranked }.first(count)) {
      level.mIds.push_back(*id);
    }
    std::sort(level.mIds.begin(), level.mIds.end());
    if (count > 0) {
      // Includes the current request: gateways that see a prefix for the first
      // time have to agree on its upstreams as well.
      level.mOthersPerSecond = (requests + 1) / kCountTime.count() *
                               aOtherGateways / static_cast<double>(count);
    }
    preferred.mLevels.push_back(std::move(level));
  }
  return preferred;
}

double
PromptCacheIndex::HeldTokens(const PreferredUpstreams& aPreferred,
                             const UpstreamStart& aUpstream,
                             const EngineMemory& aMemory,
                             Instant aNow) const
{
  double held = 0;
  for (const PreferredUpstreams::Level& level : aPreferred.mLevels) {
    const Milliseconds lifetime = Lifetime(aMemory, level.mPrefix.mTokens);
    double probability = 0;
    if (std::binary_search(
          level.mIds.begin(), level.mIds.end(), aUpstream.mId)) {
      const double reads = level.mOthersPerSecond *
                           std::chrono::duration<double>(lifetime).count();
      probability = std::min(kMaxPresumed, 1 - std::exp(-reads));
    }
    const Holder* const holder = FindHolder(level.mPrefix.mKey, aUpstream);
    if (holder != nullptr && aNow - holder->mReadAt < lifetime) {
      probability = 1;
    }
    held =
      std::max(held, probability * static_cast<double>(level.mPrefix.mTokens));
  }
  return held;
}

Milliseconds
PromptCacheIndex::Lifetime(const EngineMemory& aMemory, std::uint64_t aTokens)
{
  if (aMemory.mUsed >= aMemory.mTotal ||
      aMemory.mTotal - aMemory.mUsed < aTokens) {
    return Milliseconds{ 0 };
  }
  const double free = static_cast<double>(aMemory.mTotal - aMemory.mUsed);
  const double used = std::max(1.0, static_cast<double>(aMemory.mUsed));
  const std::chrono::duration<double> lifetime = std::min(
    std::chrono::duration<double>(kMaxAge), kTurnoverTime * (free / used));
  return std::chrono::duration_cast<Milliseconds>(lifetime);
}

std::size_t
PromptCacheIndex::HolderCount() const
{
  std::size_t count = 0;
  for (const auto& [key, record] : mPrefixes) {
    count += record.mHolders.size();
  }
  return count;
}

PromptCacheIndex::Record&
PromptCacheIndex::Use(std::uint64_t aKey, Instant aNow)
{
  auto it = mPrefixes.find(aKey);
  if (it == mPrefixes.end()) {
    if (mPrefixes.size() >= kMaxPrefixes) {
      mPrefixes.erase(
        std::min_element(mPrefixes.begin(),
                         mPrefixes.end(),
                         [](const auto& aOne, const auto& aOther) {
                           return aOne.second.mUsedAt < aOther.second.mUsedAt;
                         }));
    }
    it = mPrefixes.emplace(aKey, Record{ 0, aNow, {} }).first;
  }
  Record& record = it->second;
  record.mRequests *= Decay(record.mUsedAt, aNow);
  record.mUsedAt = std::max(record.mUsedAt, aNow);
  return record;
}

double
PromptCacheIndex::RequestsOf(std::uint64_t aKey, Instant aNow) const
{
  const auto it = mPrefixes.find(aKey);
  return it == mPrefixes.end()
           ? 0
           : it->second.mRequests * Decay(it->second.mUsedAt, aNow);
}

const PromptCacheIndex::Holder*
PromptCacheIndex::FindHolder(std::uint64_t aKey,
                             const UpstreamStart& aUpstream) const
{
  const auto it = mPrefixes.find(aKey);
  if (it == mPrefixes.end()) {
    return nullptr;
  }
  const std::vector<Holder>& holders = it->second.mHolders;
  const auto found =
    std::find_if(holders.begin(), holders.end(), [&](const Holder& aHolder) {
      return aHolder.mUpstream == aUpstream;
    });
  return found == holders.end() ? nullptr : &*found;
}

} // namespace cactusgw
