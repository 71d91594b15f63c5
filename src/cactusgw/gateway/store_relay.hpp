#ifndef CACTUSGW_GATEWAY_STORE_RELAY_HPP
#define CACTUSGW_GATEWAY_STORE_RELAY_HPP

/// Shares the store's content among the gateways of a data centre, so that the
/// load on the store doesn't grow with the number of gateways.

#include "cactusgw/gateway/peer_exchange.hpp"
#include "cactusgw/gateway/relay_selector.hpp"
#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/gateway/store_view.hpp"
#include "cactusgw/gateway/update_transfer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cactusgw {

class GatewayState;

/// Uses long polling: a request names the versions that the sender holds, and
/// the response follows as soon as there are changes, or after kLongPollTime
/// without changes. Large changes take several requests, each for a part. Not
/// thread-safe; lives on one io_context.
class StoreRelay
{
public:
  /// How long a request is held while there are no changes.
  static constexpr Milliseconds kLongPollTime{ 400 };
  /// How long a request is held by a gateway that has not reached the store
  /// since its start.
  static constexpr Milliseconds kStartPollTime{ 800 };
  /// Timeout of a request: the long-poll time and a margin for a busy machine.
  static constexpr Milliseconds kResponseTimeout{ 1000 };
  /// A gateway whose configuration was confirmed longer ago than this counts as
  /// unable to reach the store. Two reads of the configuration take this long.
  static constexpr Milliseconds kMaxContactAge{ 2000 };

  StoreRelay(GatewayState& aState, StoreView& aView, PeerExchange& aPeers);

  void SetPeer(const GatewayPeer& aPeer) { mSelector.SetPeer(aPeer); }
  void RemovePeer(std::string_view aName) { mSelector.RemovePeer(aName); }

  void OnStarted(Instant aNow) { mSelector.OnStarted(aNow); }
  void OnPeersListed(Instant aNow) { mSelector.OnPeersListed(aNow); }
  /// Number of gateways of the data centre that come before this one.
  std::size_t Rank() const { return mSelector.Rank(); }

  /// Whether this gateway currently has to read the store itself.
  bool ShouldRead(Instant aNow) const { return mSelector.ShouldRead(aNow); }

  /// Whether this gateway currently has to read the list of gateways itself.
  bool ShouldReadPeers(Instant aNow) const
  {
    return mSelector.ShouldReadPeers(aNow);
  }

  /// The parent of this gateway in the relay tree, if any.
  std::optional<std::string> Parent(Instant aNow) const
  {
    return mSelector.Parent(aNow);
  }

  /// Whether this gateway has lately heard of the store, by itself or from a
  /// relay.
  bool IsStoreReachable() const;

  /// Sends a request, times out the pending one, and responds to held requests
  /// that are due.
  void Tick(Instant aNow);
  /// From now on responds that the store is unreachable, so that the other
  /// gateways select another relay.
  void Stop() { mIsStopping = true; }

  /// Handles a message from another gateway.
  /// @param aIdentity the socket identity to which a response is sent
  void OnMessage(std::string_view aIdentity, const wire::Envelope& aEnvelope);

private:
  struct PendingRequest
  {
    std::string mRelay;
    std::uint64_t mId = 0;
    Instant mSentAt;
    BootTime mSentAtBoot{ 0 };
  };
  /// A request of another gateway that has no response yet.
  struct HeldRequest
  {
    std::string mIdentity;
    std::uint64_t mId = 0;
    StoreVersions mKnownVersions{};
    Instant mReceivedAt;
    bool mAcceptsParts = false;
    /// The update that the sender is receiving in parts, if any.
    std::optional<UpdatePosition> mReceiving;
  };

  void SendRequest(const std::string& aRelay, Instant aNow);
  void OnRequest(std::string_view aIdentity,
                 const std::string& aPeer,
                 const wire::StoreQuestion& aQuestion);
  void OnResponse(const std::string& aPeer, const wire::StoreAnswer& aAnswer);
  bool RespondIfDue(const HeldRequest& aHeld, Instant aNow);
  /// Adds the changes since what the sender of the request knows, or a part of
  /// them.
  void AddUpdates(const HeldRequest& aHeld, wire::StoreAnswer& aAnswer);
  /// Adds the update whole, or its first part.
  void AddUpdate(const HeldRequest& aHeld,
                 wire::StoreCollectionUpdate aUpdate,
                 wire::StoreAnswer& aAnswer);
  void Apply(const wire::StoreCollectionUpdate& aUpdate, Instant aNow);
  void OnPart(const std::string& aPeer, const wire::UpdatePart& aPart);
  /// A response to a request that has timed out or was replaced.
  void OnLateResponse(const std::string& aPeer,
                      const wire::StoreAnswer& aAnswer);
  /// Records when the store answered the relay, also if the relay has no
  /// content to pass on.
  void NoteStoreAnswer(const PendingRequest& aRequest,
                       const std::string& aPeer,
                       const wire::StoreAnswer& aAnswer,
                       Instant aNow);
  /// Records up to when the knowledge of the relay, and so this gateway's, is
  /// complete.
  void Confirm(const PendingRequest& aRequest,
               const std::string& aPeer,
               const wire::StoreAnswer& aAnswer);
  /// The version of the configuration in use here; zero if there is none.
  std::uint64_t AppliedVersion() const;

  GatewayState& mState;
  StoreView& mView;
  PeerExchange& mPeers;
  RelaySelector mSelector;
  std::optional<PendingRequest> mPending;
  UpdateSender mSender;
  UpdateReceiver mReceiver;
  /// Keyed by the name of the requesting gateway.
  std::map<std::string, HeldRequest> mHeldRequests;
  /// The relay that was last logged; empty if this gateway reads itself.
  std::string mLoggedRelay;
  std::uint64_t mLastId = 0;
  bool mIsStopping = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_RELAY_HPP
