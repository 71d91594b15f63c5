#ifndef CACTUSGW_GATEWAY_RELAY_SELECTOR_HPP
#define CACTUSGW_GATEWAY_RELAY_SELECTOR_HPP

/// Decides whether this gateway reads the store itself or requests the store's
/// content from another gateway of its data centre, the relay. All gateways use
/// the same order, by capacity and name. In a small data centre each selects
/// the first gateway before itself that responds. In a larger one only the
/// gateways that follow the first one do so, and each of the others selects one
/// of these, which bounds the number of gateways that one has to serve. A
/// gateway reads the store itself if there is none before it or if it has no
/// recent response. This needs neither an election nor a consensus.
///
/// Each call to the store is charged for. In a region of several data centres,
/// the first gateway of a data centre requests the store's content from the
/// first one of the data centre that comes first by name.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/gateway_peer.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class RelaySelector
{
public:
  /// Number of gateways up to which all others of a data centre select the
  /// first one. It has the fastest link; with a level of smaller gateways
  /// between, a configuration of 2,000 routes took longer than it may to be in
  /// force.
  static constexpr std::size_t kMaxDirectChildren = 24;
  /// Backoff after a request to a gateway timed out. It doubles with each
  /// timeout up to the maximum; any message from that gateway ends it.
  static constexpr Milliseconds kFirstBackoff{ 5000 };
  static constexpr Milliseconds kMaxBackoff{ 60'000 };
  /// Backoff for a gateway that responds but can't reach the store itself. An
  /// outage of a single gateway lasts about this long.
  static constexpr Milliseconds kStoreLostBackoff{ 2000 };
  /// After its start a gateway doesn't read the store itself until it knows the
  /// other gateways, but no longer than this.
  static constexpr Milliseconds kMaxDiscoveryTime{ 1500 };
  /// How long a gateway that knows no other one of its data centre waits for
  /// the others to register, as all may start at once, before it reads the list
  /// of gateways again.
  static constexpr Milliseconds kSettleTime{ 200 };
  /// Time for that second read, before it reads everything else.
  static constexpr Milliseconds kSecondListTime{ 150 };
  /// How long a gateway waits after its start for the first response of a
  /// relay, which may have started at the same time.
  static constexpr Milliseconds kFirstResponseTime{ 1200 };
  /// Without a response from a relay with store access for this long, a gateway
  /// reads the store itself. Responses arrive every 500 ms, and the tightest
  /// limit on the time in which a change must become known is 2500 ms.
  static constexpr Milliseconds kMaxResponseAge{ 800 };

  /// Number of data centres in a region from which on one of them reads the
  /// store for the others. With fewer, an outage of a data centre would leave
  /// half of the region without a relay.
  static constexpr std::size_t kMinDataCentresPerReader = 3;

  /// @param aRegion the data centres of this gateway's region
  static RelaySelector Create(GatewayPeer aSelf,
                              const std::set<std::string>& aRegion = {});

  /// Begins the start phase, in which this gateway leaves it to others to read
  /// the store. Without it, the gateway reads until it has a response.
  void OnStarted(Instant aNow) { mStartedAt = aNow; }
  /// The first list of gateways is complete.
  void OnPeersListed(Instant aNow);

  /// Gateways of other regions are ignored.
  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);

  /// Number of gateways that select the first one, in a data centre of this
  /// many gateways: a power of two, so that it seldom changes, of about the
  /// square root.
  static std::size_t ChildrenOfRoot(std::size_t aGateways);

  /// The parent in the relay tree, a gateway before this one that responds, if
  /// any.
  std::optional<std::string> Parent(Instant aNow) const;
  /// The same among the gateways that can reach the store: the one to send
  /// requests to.
  std::optional<std::string> Relay(Instant aNow) const;
  /// Whether this gateway has to read the store itself.
  bool ShouldRead(Instant aNow) const;
  /// The same for the list of gateways, from which it learns who else reads.
  bool ShouldReadPeers(Instant aNow) const;

  /// Number of gateways of the data centre that come before this one.
  std::size_t Rank() const;

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
    std::string mDataCentre;
    Instant mBackoffUntil;
    Instant mStoreLostUntil;
    Milliseconds mNextBackoff = kFirstBackoff;
    bool mHasTimedOut = false;
  };

  using Peers = std::map<std::string, Peer, std::less<>>;

  RelaySelector(GatewayPeer aSelf, std::set<std::string> aDataCentresBefore)
    : mSelf(std::move(aSelf))
    , mDataCentresBefore(std::move(aDataCentresBefore))
  {
  }
  Peer* Find(std::string_view aName);
  /// The relay among the gateways of this data centre.
  std::optional<std::string> SelectInDataCentre(Instant aNow) const;
  /// The first gateway of the region's data centres that come before this one.
  std::optional<std::string> SelectInRegion(Instant aNow) const;
  template<typename Condition>
  std::optional<std::string> Select(const Condition& aIsEligible) const;
  bool IsBeforeSelf(std::string_view aName, const Peer& aPeer) const;
  /// Whether the start phase still keeps this gateway from reading.
  bool IsStarting(Instant aNow) const;

  GatewayPeer mSelf;
  /// The data centres whose gateways read the store for this one.
  std::set<std::string> mDataCentresBefore;
  /// Gateways of this data centre.
  Peers mPeers;
  /// Gateways of the data centres before this one.
  Peers mPeersBefore;
  std::optional<Instant> mStartedAt;
  std::optional<Instant> mPeersListedAt;
  std::optional<Instant> mRespondedAt;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RELAY_SELECTOR_HPP
