#ifndef CACTUSGW_GATEWAY_LOAD_TABLE_HPP
#define CACTUSGW_GATEWAY_LOAD_TABLE_HPP

/// What each upstream has to do for this gateway and, as far as heard, for the
/// others.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusgw {

/// Work in progress at one upstream.
struct UpstreamUse
{
  std::uint32_t mRequests = 0;
  /// Memory that the requests hold or will hold.
  std::uint64_t mTokens = 0;
  /// Prompt tokens of requests that have not produced anything yet.
  std::uint64_t mPromptTokens = 0;
  /// Generations that could be moved to another upstream.
  std::uint32_t mMovable = 0;

  UpstreamUse& operator+=(const UpstreamUse& aOther);
  UpstreamUse& operator-=(const UpstreamUse& aOther);
  bool operator==(const UpstreamUse&) const = default;
};

using UseByUpstream = std::map<std::string, UpstreamUse, std::less<>>;

/// Not thread-safe. Time is passed in.
class LoadTable
{
public:
  /// A peer's figures count for this long after they were heard.
  static constexpr Milliseconds kPeerValidity{ 2000 };

  static LoadTable Create() { return LoadTable{}; }

  void Add(std::string_view aUpstream, const UpstreamUse& aUse);
  void Subtract(std::string_view aUpstream, const UpstreamUse& aUse);
  /// Replaces all that was heard from a peer.
  void SetPeer(std::string_view aPeer, UseByUpstream aUse, Instant aNow);

  /// Use by this gateway and by the peers heard lately.
  UpstreamUse Total(std::string_view aUpstream, Instant aNow) const;
  /// What the peers that come before a name have there to move.
  UpstreamUse MovableBefore(std::string_view aUpstream,
                            std::string_view aName,
                            Instant aNow) const;
  const UseByUpstream& Own() const { return mOwn; }
  /// Rises with each change of this gateway's use.
  std::uint64_t OwnVersion() const { return mOwnVersion; }

private:
  struct PeerUse
  {
    UseByUpstream mUse;
    Instant mHeard;
  };

  LoadTable() = default;

  UseByUpstream mOwn;
  std::uint64_t mOwnVersion = 1;
  std::map<std::string, PeerUse, std::less<>> mPeers;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LOAD_TABLE_HPP
