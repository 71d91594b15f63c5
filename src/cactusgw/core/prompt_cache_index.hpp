#ifndef CACTUSGW_CORE_PROMPT_CACHE_INDEX_HPP
#define CACTUSGW_CORE_PROMPT_CACHE_INDEX_HPP

/// Estimates how much of a prompt each upstream still holds in its prompt
/// cache, without messages between gateways.

#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusgw {

/// A part of a prompt that other requests may share.
struct PromptPart
{
  std::string mId;
  std::uint64_t mTokens = 0;
};

/// The first parts of a prompt, up to and including one of them.
struct PromptPrefix
{
  /// Hash of the service and of the ids of all parts of the prefix.
  std::uint64_t mKey = 0;
  /// Tokens of all parts of the prefix.
  std::uint64_t mTokens = 0;
};

/// Returns the prefixes of a prompt, shortest first. The first one is empty and
/// stands for all requests of the service. Parts beyond
/// PromptCacheIndex::kMaxParts are left out.
std::vector<PromptPrefix> PromptPrefixes(std::string_view aService,
                                         std::span<const PromptPart> aParts);

/// Engine memory of an upstream, in tokens. The prompt cache uses what running
/// requests leave free.
struct EngineMemory
{
  std::uint64_t mTotal = 0;
  std::uint64_t mUsed = 0;
};

/// The upstreams that requests with the same first parts prefer.
struct PreferredUpstreams
{
  struct Level
  {
    PromptPrefix mPrefix;
    /// The ids, sorted.
    std::vector<std::string> mIds;
    /// Requests per second with this prefix that other gateways are presumed to
    /// send to each of the preferred upstreams.
    double mOthersPerSecond = 0;
  };

  /// One for each prefix that is not empty, shortest first.
  std::vector<Level> mLevels;
};

/// Records which prefixes upstreams have read for this gateway, and the share
/// of the requests that each prefix has. Not thread-safe; one instance per
/// process. Time is passed in.
class PromptCacheIndex
{
public:
  /// Age from which a cached part is read again, and charged again.
  static constexpr Milliseconds kMaxAge{ 5000 };
  /// Bounds of the memory: at most 512 * 32 = 16,384 records of an upstream's
  /// id and two times, which is under 3 MiB with ids of up to 64 bytes.
  static constexpr std::size_t kMaxPrefixes = 512;
  static constexpr std::size_t kMaxHolders = 32;
  static constexpr std::size_t kMaxParts = 4;
  /// Number of upstreams that a prefix without load prefers: if one of them is
  /// full or fails, the other one still holds the prefix.
  static constexpr std::size_t kMinPreferred = 2;
  /// A prefix with the share s of a service's requests prefers the part
  /// kSpread * s of the upstreams, so that it fills at most half of their fair
  /// share and leaves the rest to the balancing of load.
  static constexpr double kSpread = 2;
  /// Upper bound of the probability that an upstream holds a prefix which only
  /// other gateways can have sent there.
  static constexpr double kMaxPresumed = 0.5;

  static PromptCacheIndex Create() { return PromptCacheIndex{}; }

  /// Counts a request in the share of each of its prefixes.
  void OnSent(std::span<const PromptPrefix> aPrefixes, Instant aNow);
  /// The upstream has read the prompt: it has sent its first event.
  void OnRead(std::span<const PromptPrefix> aPrefixes,
              const UpstreamStart& aUpstream,
              Instant aNow);
  /// Drops all records of the upstream.
  void Forget(std::string_view aUpstream);

  /// Selects the preferred upstreams by rendezvous hashing. A larger share of
  /// the requests adds upstreams and removes none, so that gateways with
  /// different counts still agree on the first ones.
  /// @param aUpstreams the ids to select from, the same at all gateways
  /// @param aOtherGateways number of other gateways that send to them
  PreferredUpstreams Preferred(std::span<const PromptPrefix> aPrefixes,
                               std::span<const std::string> aUpstreams,
                               double aOtherGateways,
                               Instant aNow) const;

  /// Expected number of the prompt's first tokens that the upstream holds.
  double HeldTokens(const PreferredUpstreams& aPreferred,
                    const UpstreamStart& aUpstream,
                    const EngineMemory& aMemory,
                    Instant aNow) const;

  /// Time after its last use at which an upstream is likely to evict a prefix.
  static Milliseconds Lifetime(const EngineMemory& aMemory,
                               std::uint64_t aTokens);

  std::size_t PrefixCount() const { return mPrefixes.size(); }
  std::size_t HolderCount() const;

private:
  struct Holder
  {
    UpstreamStart mUpstream;
    Instant mReadAt;
  };
  struct Record
  {
    /// Requests, with exponential decay.
    double mRequests = 0;
    Instant mUsedAt;
    std::vector<Holder> mHolders;
  };

  PromptCacheIndex() = default;
  /// Returns the record with its count decayed to the given time. Evicts the
  /// least recently used one to make room for a new one.
  Record& Use(std::uint64_t aKey, Instant aNow);
  double RequestsOf(std::uint64_t aKey, Instant aNow) const;
  const Holder* FindHolder(std::uint64_t aKey,
                           const UpstreamStart& aUpstream) const;

  std::unordered_map<std::uint64_t, Record> mPrefixes;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_PROMPT_CACHE_INDEX_HPP
