#ifndef CACTUSGW_GATEWAY_USE_EXCHANGE_HPP
#define CACTUSGW_GATEWAY_USE_EXCHANGE_HPP

/// Tells other gateways what is in progress at each upstream, and which
/// upstreams leave, along the tree of UseHub. What is lost is replaced by the
/// next message.

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
  /// Time between two messages to one gateway while the figures change.
  static constexpr Milliseconds kInterval{ 25 };
  /// The same to another region: links there are narrow and paid for.
  static constexpr Milliseconds kFarInterval{ 50 };
  /// Part of this VM's link that messages to followers may take. With many
  /// followers and upstreams each of them hears less often.
  static constexpr double kLinkPart = 0.1;
  /// Unchanged figures are repeated this often.
  static constexpr Milliseconds kRepeatInterval{ 1000 };

  /// Called when a gateway says that an upstream leaves.
  using LeavingHandler = std::function<void(const LeavingUpstream&)>;

  UseExchange(GatewayState& aState,
              PeerExchange& aPeers,
              LeavingHandler aOnLeaving);

  void SetPeer(const GatewayPeer& aPeer) { mTops.SetPeer(aPeer); }
  void RemovePeer(std::string_view aName) { mTops.RemovePeer(aName); }

  /// Sends what is due. @param aAbove whom this gateway follows
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
  bool TakeTurn(const std::string& aPeer, Milliseconds aInterval, Instant aNow);
  Milliseconds IntervalDown(std::size_t aFollowers) const;
  /// @return the bytes of the message
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
  /// Rises with each message.
  std::uint64_t mHeardVersion = 0;
  /// Version that the shared view was computed from.
  std::uint64_t mAppliedVersion = 0;
  std::optional<std::string> mAbove;
  /// Size of the last message to a follower.
  std::size_t mBytesDown = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_USE_EXCHANGE_HPP
