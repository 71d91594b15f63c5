#ifndef CACTUSGW_GATEWAY_LOAD_EXCHANGE_HPP
#define CACTUSGW_GATEWAY_LOAD_EXCHANGE_HPP

/// Exchanges the load of each upstream, the limits that upstreams state,
/// notices of draining upstreams and evidence of crashes with other gateways
/// along the relay tree (see LoadAggregator). Loads are sent as changes, and as
/// a whole once a second, which makes up for lost messages (see LoadSender).
/// Evidence is sent when it has changed, and again while the digest in a
/// gateway's messages shows that it lacks some. Suspicions of requests are many
/// and are sent as changes.

#include "cactusgw/gateway/drain_notices.hpp"
#include "cactusgw/gateway/load_aggregator.hpp"
#include "cactusgw/gateway/load_changes.hpp"
#include "cactusgw/gateway/peer_exchange.hpp"
#include "cactusgw/gateway/relay_root_tracker.hpp"
#include "cactusgw/gateway/stream_origins.hpp"
#include "cactusgw/gateway/suspicion_sender.hpp"
#include "cactusgw/rollout/rollout_evidence.hpp"

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
class LoadExchange
{
public:
  /// Minimum time between two messages to one gateway while figures change.
  static constexpr Milliseconds kInterval{ 25 };
  /// Minimum time between two messages to a gateway in another region while
  /// figures change: links to other regions have little bandwidth and are
  /// charged for.
  static constexpr Milliseconds kOtherRegionInterval{ 50 };
  /// Maximum share of this VM's link for messages to children. With many
  /// children and upstreams, the interval between messages grows accordingly.
  static constexpr double kMaxLinkShare = 0.1;
  /// Minimum time between two messages with the same evidence, or the same
  /// limits, to one gateway.
  static constexpr Milliseconds kEvidenceRepeatInterval{ 1000 };
  /// Interval at which unchanged figures are repeated.
  static constexpr Milliseconds kRepeatInterval{ 1000 };
  /// Bounds of what senders can make this gateway remember.
  static constexpr std::size_t kMaxSenders = 4096;
  static constexpr std::size_t kMaxSenderNameBytes = 256;

  /// Called when another gateway reports that an upstream is draining.
  using DrainHandler = std::function<void(const DrainingUpstream&)>;

  LoadExchange(GatewayState& aState,
               PeerExchange& aPeers,
               DrainHandler aOnDraining);

  void SetPeer(const GatewayPeer& aPeer) { mRelayRoots.SetPeer(aPeer); }
  void RemovePeer(std::string_view aName)
  {
    mRelayRoots.RemovePeer(aName);
    const auto isRemoved = [&](const auto& aEntry) {
      return aEntry.first == aName;
    };
    std::erase_if(mSent, isRemoved);
    std::erase_if(mReceived, isRemoved);
    std::erase_if(mIncarnations, isRemoved);
  }

  /// Sends the messages that are due.
  /// @param aParent the parent of this gateway, if any
  void Tick(const std::optional<std::string>& aParent, Instant aNow);

  void OnMessage(const wire::Envelope& aEnvelope);

  /// Whether this gateway is the first of the roots that are known, to which
  /// all others tell what they know.
  bool IsFirstRoot(Instant aNow) const
  {
    return !mParent && mRelayRoots.IsFirst(aNow);
  }

private:
  /// Whether messages of this sender are taken: it is known, or there is room.
  bool MayHear(const std::string& aSender) const;
  struct Sent
  {
    Instant mAt;
    std::uint64_t mVersion = 0;
    /// The loads that the gateway knows from this one, as far as messages in
    /// this direction told it.
    LoadSender mLoads = LoadSender::Create(kRepeatInterval);
    wire::GatewayUse::Direction mDirection = wire::GatewayUse::UP;
    std::uint64_t mDrainVersion = 0;
    Instant mEvidenceAt;
    std::uint64_t mEvidenceVersion = 0;
    Instant mLimitsAt;
    std::uint64_t mLimitsVersion = 0;
    /// Digest of the evidence that the gateway has last reported.
    std::uint64_t mReportedDigest = 0;
    SuspicionSender mSuspicions;
    ChangeSender<RolloutEvidence> mRollouts;
    ChangeSender<StreamOrigins> mStreamOrigins;
  };

  /// What one gateway reports, separately for each direction: it may be the
  /// child of this one and, a moment later, its parent.
  using Received = std::map<wire::GatewayUse::Direction, LoadReceiver>;

  void OnLoadMessage(const wire::Envelope& aEnvelope);
  /// Tells a former parent that it has no load of this gateway to count.
  void LeaveParent(const std::string& aParent);
  void SendToParent(const std::string& aParent, Instant aNow);
  void SendToRemoteRoots(Instant aNow);
  void SendToChildren(Instant aNow);
  /// Returns whether a message to the peer is due, and if so records it as
  /// sent.
  bool MarkSentIfDue(const std::string& aPeer,
                     Milliseconds aInterval,
                     Instant aNow);
  Milliseconds ChildInterval(std::size_t aChildCount) const;
  /// Sends what has changed for the gateway, if anything.
  /// @return the size of the message in bytes; zero if none was sent
  std::size_t Send(const std::string& aPeer,
                   const AggregatedLoads& aSums,
                   wire::GatewayUse::Direction aDirection);
  std::uint64_t Version() const;
  /// Adds what is due; returns whether anything is.
  bool AddEvidence(const std::string& aPeer,
                   wire::GatewayUse& aMessage,
                   Instant aNow);
  bool AddSuspicions(const std::string& aPeer,
                     wire::GatewayUse& aMessage,
                     Instant aNow);
  bool AddRollouts(const std::string& aPeer,
                   wire::GatewayUse& aMessage,
                   Instant aNow);
  bool AddStreamOrigins(const std::string& aPeer,
                        wire::GatewayUse& aMessage,
                        Instant aNow);
  bool AddLimits(const std::string& aPeer,
                 wire::GatewayUse& aMessage,
                 Instant aNow);
  void OnStreamOrigins(const wire::GatewayUse& aMessage, Instant aNow);
  void OnLimits(const wire::GatewayUse& aMessage, Instant aNow);

  GatewayState& mState;
  PeerExchange& mPeers;
  DrainHandler mOnDraining;
  LoadAggregator mAggregator;
  RelayRootTracker mRelayRoots;
  std::map<std::string, Sent> mSent;
  std::map<std::string, Received> mReceived;
  /// The start of each gateway that the last message was from.
  std::map<std::string, std::uint64_t> mIncarnations;
  /// Incremented by each received message.
  std::uint64_t mReceivedVersion = 0;
  /// Version for which the load table was last updated.
  std::uint64_t mAppliedVersion = 0;
  /// Digest of the evidence of crashes, and the version that it is of.
  std::uint64_t mDigest = 0;
  std::uint64_t mDigestVersion = 0;
  std::optional<std::string> mParent;
  /// Moving average of the size in bytes of a message to a child.
  double mChildMessageBytes = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LOAD_EXCHANGE_HPP
