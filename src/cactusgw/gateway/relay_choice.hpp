#ifndef CACTUSGW_GATEWAY_RELAY_CHOICE_HPP
#define CACTUSGW_GATEWAY_RELAY_CHOICE_HPP

/// Decides whether this gateway reads the store itself or asks another gateway
/// of its data centre for what it read. Gateways are in one order for all; each
/// asks the first before it that answers, and reads itself when there is none
/// or while it is in doubt. Nobody is elected and nothing has to be agreed.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/gateway_peer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class RelayChoice
{
public:
  /// A gateway without an answer is not asked again for this long, doubling
  /// with each failure up to the last. Any word from it ends the time.
  static constexpr Milliseconds kFirstDoubt{ 5000 };
  static constexpr Milliseconds kLastDoubt{ 60'000 };
  /// One that answers but has itself lost the store is asked again after this
  /// time, about which outages of single gateways last.
  static constexpr Milliseconds kNoContactTime{ 2000 };
  /// Who was asked goes on reading for this long: several questions' time.
  static constexpr Milliseconds kServeTime{ 3000 };
  /// Without a good answer for this long a gateway reads itself. Answers come
  /// each half a second; the shortest bound on knowing of a change is 2500 ms.
  static constexpr Milliseconds kPatience{ 800 };

  static RelayChoice Create(GatewayPeer aSelf);

  /// Gateways of other data centres are ignored.
  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);

  /// The first before this gateway that answers, if any.
  std::optional<std::string> Above(Instant aNow) const;
  /// The same among those in contact with the store: whom to ask.
  std::optional<std::string> Relay(Instant aNow) const;
  bool ShouldRead(Instant aNow) const;

  /// Another gateway asked this one.
  void OnAsked(Instant aNow) { mAskedAt = aNow; }
  /// The answer came from one that is in contact with the store.
  void OnAnswered(std::string_view aName, Instant aNow);
  void OnNoContact(std::string_view aName, Instant aNow);
  void OnUnanswered(std::string_view aName, Instant aNow);
  /// Any word from the gateway: it is alive.
  void OnHeard(std::string_view aName);

private:
  struct Peer
  {
    double mCapacity = 0;
    Instant mSilentUntil;
    Instant mNoContactUntil;
    Milliseconds mDoubt = kFirstDoubt;
    bool mIsUnanswered = false;
  };

  explicit RelayChoice(GatewayPeer aSelf)
    : mSelf(std::move(aSelf))
  {
  }
  template<typename Condition>
  std::optional<std::string> FirstBefore(const Condition& aIsOpen) const;
  bool IsBeforeSelf(std::string_view aName, const Peer& aPeer) const;

  GatewayPeer mSelf;
  std::map<std::string, Peer, std::less<>> mPeers;
  std::optional<Instant> mAskedAt;
  std::optional<Instant> mAnsweredAt;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RELAY_CHOICE_HPP
