#ifndef CACTUSGW_GATEWAY_USE_EXCHANGE_HPP
#define CACTUSGW_GATEWAY_USE_EXCHANGE_HPP

/// Exchanges the load of each upstream and notices of draining upstreams with
/// other gateways along the relay tree (see UseHub). Each message holds all
/// figures, so a lost one is made up for by the next.

#include "cactusgw/gateway/leaving_news.hpp"
#include "cactusgw/gateway/peer_exchange.hpp"
#include "cactusgw/gateway/top_finder.hpp"
#include "cactusgw/gateway/use_hub.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

class GatewayState;

/// Not thread-safe; lives on one io_context.
class UseExchange
{
public:
  /// Minimum time between two messages to one gateway while figures change.
  static constexpr Milliseconds kInterval{ 25 };
  /// The same for gateways in other regions, as links to these have little
  /// bandwidth and are charged for.
  static constexpr Milliseconds kFarInterval{ 50 };
  /// Maximum share of this VM's link for messages to children. With many
  /// children and upstreams, the interval between messages grows accordingly.
  static constexpr double kLinkPart = 0.1;
  /// Interval at which unchanged figures are repeated.
  static constexpr Milliseconds kRepeatInterval{ 1000 };

  /// Called when another gateway reports that an upstream is draining.
  using LeavingHandler = std::function<void(const LeavingUpstream&)>;

  UseExchange(GatewayState& aState,
              PeerExchange& aPeers,
              LeavingHandler aOnLeaving);

  void SetPeer(const GatewayPeer& aPeer) { mTops.SetPeer(aPeer); }
  void RemovePeer(std::string_view aName) { mTops.RemovePeer(aName); }

  /// Sends the messages that are due.
  /// @param aAbove the parent of this gateway, if any
  void Tick(const std::optional<std::string>& aAbove, Instant aNow);

  void OnMessage(const wire::Envelope& aEnvelope);

private:
  struct Sent
  {
    Instant mAt;
    std::uint64_t mVersion = 0;
  };

  void OnUse(const std::string& aSender, const wire::GatewayUse& aUse);
  void SendUp(const std::string& aAbove, Instant aNow);
  void SendBeside(Instant aNow);
  void SendDown(Instant aNow);
  /// Returns whether a message to the peer is due, and if so records it as
  /// sent.
  bool TakeTurn(const std::string& aPeer, Milliseconds aInterval, Instant aNow);
  Milliseconds IntervalDown(std::size_t aFollowers) const;
  /// @return the size of the message in bytes
  std::size_t Send(const std::string& aPeer,
                   const UseSums& aSums,
                   wire::GatewayUse::Direction aDirection);
  std::uint64_t Version() const;

  GatewayState& mState;
  PeerExchange& mPeers;
  LeavingHandler mOnLeaving;
  UseHub mHub;
  TopFinder mTops;
  std::map<std::string, Sent> mSent;
  /// Incremented by each received message.
  std::uint64_t mHeardVersion = 0;
  /// Version for which the load table was last updated.
  std::uint64_t mAppliedVersion = 0;
  std::optional<std::string> mAbove;
  /// Size in bytes of the last message to a child.
  std::size_t mBytesDown = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_USE_EXCHANGE_HPP
