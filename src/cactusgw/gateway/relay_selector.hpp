#ifndef CACTUSGW_GATEWAY_RELAY_SELECTOR_HPP
#define CACTUSGW_GATEWAY_RELAY_SELECTOR_HPP

/// Decides whether this gateway reads the store itself or requests the store's
/// content from another gateway of its data centre, the relay. All gateways use
/// the same order, by capacity and name. Each selects the first gateway before
/// itself that responds, and reads the store itself if there is none or if it
/// has no recent response. This needs neither an election nor a consensus.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/gateway_peer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class RelaySelector
{
public:
  /// Backoff after a request to a gateway timed out. It doubles with each
  /// timeout up to the maximum; any message from that gateway ends it.
  static constexpr Milliseconds kFirstBackoff{ 5000 };
  static constexpr Milliseconds kMaxBackoff{ 60'000 };
  /// Backoff for a gateway that responds but can't reach the store itself. An
  /// outage of a single gateway lasts about this long.
  static constexpr Milliseconds kStoreLostBackoff{ 2000 };
  /// A gateway goes on reading the store for this long after it received a
  /// request: several times the interval between requests.
  static constexpr Milliseconds kServeReadTime{ 3000 };
  /// Without a response from a relay with store access for this long, a gateway
  /// reads the store itself. Responses arrive every 500 ms, and the tightest
  /// limit on the time in which a change must become known is 2500 ms.
  static constexpr Milliseconds kMaxResponseAge{ 800 };

  static RelaySelector Create(GatewayPeer aSelf);

  /// Gateways of other data centres are ignored.
  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);

  /// The parent in the relay tree: the first gateway before this one that
  /// responds, if any.
  std::optional<std::string> Parent(Instant aNow) const;
  /// The first gateway before this one that responds and can reach the store:
  /// the one to send requests to.
  std::optional<std::string> Relay(Instant aNow) const;
  /// Whether this gateway has to read the store itself.
  bool ShouldRead(Instant aNow) const;

  /// Another gateway sent a request to this one.
  void OnRequest(Instant aNow) { mRequestedAt = aNow; }
  /// A gateway that can reach the store responded.
  void OnResponse(std::string_view aName, Instant aNow);
  /// A gateway responded that it can't reach the store.
  void OnStoreLost(std::string_view aName, Instant aNow);
  /// A request to the gateway timed out.
  void OnTimeout(std::string_view aName, Instant aNow);
  /// Any message from the gateway, which shows that it is running.
  void OnMessageFrom(std::string_view aName);

private:
  struct Peer
  {
    double mCapacity = 0;
    Instant mBackoffUntil;
    Instant mStoreLostUntil;
    Milliseconds mNextBackoff = kFirstBackoff;
    bool mHasTimedOut = false;
  };

  explicit RelaySelector(GatewayPeer aSelf)
    : mSelf(std::move(aSelf))
  {
  }
  template<typename Condition>
  std::optional<std::string> FirstEligible(const Condition& aIsEligible) const;
  bool IsBeforeSelf(std::string_view aName, const Peer& aPeer) const;

  GatewayPeer mSelf;
  std::map<std::string, Peer, std::less<>> mPeers;
  std::optional<Instant> mRequestedAt;
  std::optional<Instant> mRespondedAt;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RELAY_SELECTOR_HPP
