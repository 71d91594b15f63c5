#ifndef CACTUSGW_GATEWAY_STORE_RELAY_HPP
#define CACTUSGW_GATEWAY_STORE_RELAY_HPP

/// Shares the store's content among the gateways of a data centre, so that the
/// load on the store doesn't grow with the number of gateways.

#include "cactusgw/gateway/peer_exchange.hpp"
#include "cactusgw/gateway/relay_choice.hpp"
#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/gateway/store_view.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cactusgw {

class GatewayState;

/// Uses long polling: a request names the revisions that the sender holds, and
/// the response follows as soon as there are changes, or after kHoldTime
/// without changes. Not thread-safe; lives on one io_context.
class StoreRelay
{
public:
  /// How long a request is held while there are no changes.
  static constexpr Milliseconds kHoldTime{ 400 };
  /// Timeout of a request: the hold time and a margin for a busy machine.
  static constexpr Milliseconds kAnswerTime{ 1000 };
  /// A gateway whose configuration was confirmed longer ago than this counts as
  /// unable to reach the store. Two reads of the configuration take this long.
  static constexpr Milliseconds kContactAge{ 2000 };

  StoreRelay(GatewayState& aState, StoreView& aView, PeerExchange& aPeers);

  void SetPeer(const GatewayPeer& aPeer) { mChoice.SetPeer(aPeer); }
  void RemovePeer(std::string_view aName) { mChoice.RemovePeer(aName); }

  /// Whether this gateway currently has to read the store itself.
  bool ShouldRead(Instant aNow) const { return mChoice.ShouldRead(aNow); }

  /// The parent of this gateway in the relay tree, if any.
  std::optional<std::string> Above(Instant aNow) const
  {
    return mChoice.Above(aNow);
  }

  /// Sends a request, times out the pending one, and responds to held requests
  /// that are due.
  void Tick(Instant aNow);
  /// From now on responds that the store is unreachable, so that the other
  /// gateways select another relay.
  void Stop() { mStopping = true; }

  /// Handles a message from another gateway.
  /// @param aIdentity the socket identity to which a response is sent
  void OnMessage(std::string_view aIdentity, const wire::Envelope& aEnvelope);

private:
  struct Question
  {
    std::string mRelay;
    std::uint64_t mId = 0;
    Instant mAskedAt;
    BootTime mAskedAtBoot{ 0 };
  };
  /// A request of another gateway that has no response yet.
  struct Held
  {
    std::string mIdentity;
    std::uint64_t mId = 0;
    StorePositions mKnown{};
    Instant mSince;
  };

  void Ask(const std::string& aRelay, Instant aNow);
  void OnQuestion(std::string_view aIdentity,
                  const std::string& aPeer,
                  const wire::StoreQuestion& aQuestion);
  void OnAnswer(const std::string& aPeer, const wire::StoreAnswer& aAnswer);
  bool AnswerIfDue(const Held& aHeld, Instant aNow);
  bool IsInContact() const;

  GatewayState& mState;
  StoreView& mView;
  PeerExchange& mPeers;
  RelayChoice mChoice;
  std::optional<Question> mQuestion;
  /// Keyed by the name of the requesting gateway.
  std::map<std::string, Held> mHeld;
  /// The relay that was last logged; empty if this gateway reads itself.
  std::string mFollowed;
  std::uint64_t mLastId = 0;
  bool mStopping = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_RELAY_HPP
