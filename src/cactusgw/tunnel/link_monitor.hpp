#ifndef CACTUSGW_TUNNEL_LINK_MONITOR_HPP
#define CACTUSGW_TUNNEL_LINK_MONITOR_HPP

/// What a gateway knows of its own links to upstreams. A link is broken if a
/// carrier reaches an upstream that this gateway doesn't: an upstream that
/// neither of them reaches is down. Links are broken as a whole when that holds
/// for two upstreams, or for the only one, and none was reached since.

#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class LinkMonitor
{
public:
  /// Failures and tunnels count as evidence for this long: several attempts to
  /// connect fit into it.
  static constexpr Milliseconds kEvidenceTime{ 3000 };
  /// A tunnel that was opened longer before a direct attempt failed, more than
  /// its timeout, says nothing about that moment.
  static constexpr Milliseconds kAttemptTime{ 500 };
  /// Interval between direct attempts while links are broken.
  static constexpr Milliseconds kProbeInterval{ 500 };
  /// Time after a direct connection in which silence starts no probes: many
  /// gateways with few requests each would open more connections for probes
  /// than for requests.
  static constexpr Milliseconds kCalmTime{ 1000 };
  /// An upstream that a carrier can't reach either is left alone this long.
  static constexpr Milliseconds kDownTime{ 1000 };
  /// Silence on all direct connections, while several upstreams owe a response,
  /// after which links are probed. Longer than a round trip between regions and
  /// most pauses of a stream; a probe that succeeds costs little.
  static constexpr Milliseconds kSilenceTime{ 300 };

  static LinkMonitor Create() { return LinkMonitor{}; }

  /// Number of upstreams that are registered.
  void SetUpstreamCount(std::size_t aCount) { mUpstreamCount = aCount; }

  void OnConnected(std::string_view aUpstream, Instant aNow);
  /// A direct connection was established, and may still be closed at once: it
  /// refutes no evidence.
  void OnAccepted(Instant aNow);
  /// A direct connection was not established.
  void OnConnectFailed(std::string_view aUpstream, Instant aNow);
  void OnTunnelOpened(std::string_view aUpstream, Instant aNow);
  /// A carrier could not reach the upstream.
  void OnCarrierFailed(std::string_view aUpstream, Instant aNow);
  void Forget(std::string_view aUpstream);

  // What is in progress on direct connections.
  void OnSent(std::string_view aUpstream, Instant aNow);
  /// Bytes arrived from an upstream.
  void OnBytes(Instant aNow);
  /// The request has ended, in whichever way.
  void OnEnded(std::string_view aUpstream);

  /// Whether direct connections to all upstreams fail.
  bool AreBroken() const { return mBrokenSince.has_value(); }
  std::optional<Instant> BrokenSince() const { return mBrokenSince; }
  /// Whether a new connection to this upstream should be a tunnel at once.
  bool PrefersTunnel(std::string_view aUpstream, Instant aNow) const;
  /// Whether bytes or a new connection arrived directly within kSilenceTime.
  bool HasHeardLately(Instant aNow) const;
  /// Whether this gateway's links may be why an upstream can't be reached:
  /// nothing was heard lately, or several upstreams couldn't be reached since
  /// the last one that could.
  bool AreSuspected(Instant aNow) const;
  /// Whether it is worth asking carriers for the upstream.
  bool MayTunnel(std::string_view aUpstream, Instant aNow) const;
  /// Whether responses are owed and nothing arrived on any direct connection
  /// for kSilenceTime; twice that if a single upstream owes them. Says nothing
  /// by itself: a probe tells slow upstreams from silent links.
  bool IsSilent(Instant aNow) const;
  /// Whether new requests may use idle direct connections. Open connections
  /// may live on while new ones fail: then something arrives on them.
  bool MayUseOpenConnections() const;
  /// Whether requests in progress on direct connections wait in vain: links are
  /// broken, and silent for kSilenceTime.
  bool AreOpenLinksDead(Instant aNow) const;
  /// Whether direct attempts are due although no request needs one. Counts as
  /// made.
  bool TakeProbe(Instant aNow);

private:
  struct Evidence
  {
    std::optional<Instant> mFailedAt;
    std::optional<Instant> mTunnelledAt;
    std::optional<Instant> mDownAt;
  };

  LinkMonitor() = default;
  std::size_t Needed() const;
  static bool IsRecent(const std::optional<Instant>& aAt, Instant aNow);
  /// Whether this gateway failed to reach the upstream and a carrier did.
  static bool IsCutOff(const Evidence& aEvidence, Instant aNow);
  /// Takes new evidence about an upstream into account.
  void Update(std::string_view aUpstream, Instant aNow);
  /// How long nothing has arrived that is owed.
  Instant::duration SilenceUntil(Instant aNow) const;

  std::size_t mUpstreamCount = 0;
  std::map<std::string, Evidence, std::less<>> mEvidence;
  std::optional<Instant> mBrokenSince;
  /// Upstreams that were reached since links were broken.
  std::set<std::string, std::less<>> mReached;
  /// Requests in progress on direct connections, by upstream.
  std::map<std::string, std::size_t, std::less<>> mWaiting;
  /// Since when some request has been in progress.
  Instant mWaitingSince;
  /// When something last arrived directly.
  Instant mHeardAt;
  /// When a direct connection was last established.
  Instant mConnectedAt;
  Instant mProbedAt;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_LINK_MONITOR_HPP
