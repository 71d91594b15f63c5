#ifndef CACTUSGW_GATEWAY_STORE_RELAY_HPP
#define CACTUSGW_GATEWAY_STORE_RELAY_HPP

/// Shares what was read from the store among the gateways of a data centre, so
/// that the store's load does not grow with their number.

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

/// Asks with the state that it knows; the answer comes when there is news, or
/// after a while without. Not thread-safe; lives on one io_context.
class StoreRelay
{
public:
  /// How long a question without news is held.
  static constexpr Milliseconds kHoldTime{ 400 };
  /// A question without an answer for this long failed: the hold, and time for
  /// a busy machine.
  static constexpr Milliseconds kAnswerTime{ 1000 };
  /// Who confirmed its knowledge longer ago than two reads of the
  /// configuration take is not in contact with the store.
  static constexpr Milliseconds kContactAge{ 2000 };

  StoreRelay(GatewayState& aState, StoreView& aView, PeerExchange& aPeers);

  void SetPeer(const GatewayPeer& aPeer) { mChoice.SetPeer(aPeer); }
  void RemovePeer(std::string_view aName) { mChoice.RemovePeer(aName); }

  /// Whether this gateway has to read the store itself at present.
  bool ShouldRead(Instant aNow) const { return mChoice.ShouldRead(aNow); }

  /// Whom this gateway follows, if anybody.
  std::optional<std::string> Above(Instant aNow) const
  {
    return mChoice.Above(aNow);
  }

  /// Asks, gives up on questions, and answers those that are due.
  void Tick(Instant aNow);
  /// A stopping gateway sends the others elsewhere.
  void Stop() { mStopping = true; }

  /// Takes a message from another gateway. @param aIdentity where a question
  /// came from
  void OnMessage(std::string_view aIdentity, const wire::Envelope& aEnvelope);

private:
  struct Question
  {
    std::string mRelay;
    std::uint64_t mId = 0;
    Instant mAskedAt;
    BootTime mAskedAtBoot{ 0 };
  };
  /// A question of another gateway that is not answered yet.
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
  /// By the asking gateway's name.
  std::map<std::string, Held> mHeld;
  /// Whom this gateway follows, for the log.
  std::string mFollowed;
  std::uint64_t mLastId = 0;
  bool mStopping = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_RELAY_HPP
