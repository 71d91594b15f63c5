#ifndef CACTUSGW_AGENT_PEER_PORT_HPP
#define CACTUSGW_AGENT_PEER_PORT_HPP

/// Messages between agents: heartbeats, credits, configuration, ownership and
/// drain orders.

#include "cactusgw/agent/agent_state.hpp"
#include "cactusgw/messaging/envelope.hpp"
#include "cactusgw/messaging/message_socket.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Messages and bytes of one kind.
struct TrafficCount
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
};

/// Traffic of a port by kind of message.
struct PeerTraffic
{
  std::map<std::string, TrafficCount> mSent;
  std::map<std::string, TrafficCount> mReceived;
};

/// Not thread-safe; lives on one io_context.
class PeerPort
{
public:
  /// Decisions that a grant made possible.
  using DecisionHandler =
    std::function<void(const AdmissionControl::Decisions&)>;

  static Result<std::unique_ptr<PeerPort>> Listen(
    zmq::context_t& aZmq,
    boost::asio::io_context& aContext,
    AgentState& aState,
    DecisionHandler aOnDecisions);

  /// Sends the heartbeats that are due: to the lease holder and to one other
  /// VM of the data centre.
  void SendHeartbeats(Instant aNow);
  /// As lease holder: tells every VM of the data centre at once.
  void AnnounceLease(Instant aNow);
  /// Sends a heartbeat to one VM of another data centre, in turn.
  void SendRelayHeartbeat(Instant aNow);
  /// Sends the credit reports that are due.
  void SendReports(Instant aNow);
  /// Sends grants that became possible without a report.
  void SendGrants(std::string_view aUpstream,
                  const std::vector<CreditGrant>& aGrants);
  /// Asks the seeds for the configuration.
  void AskSeeds();
  /// Tells all VMs of the data centre, and one of each other, of a drain.
  void SpreadDrain(const DrainState& aState);
  /// Tells the lease holder that this VM owns nothing any more.
  void SendStopping(Instant aNow);

  const PeerTraffic& Traffic() const { return mTraffic; }
  std::uint64_t RefusedMessages() const { return mCodec.Refused(); }

private:
  /// A heartbeat sent, to anchor what its reply allows.
  struct SentHeartbeat
  {
    std::uint64_t mSequence = 0;
    Instant mSentAt;
  };

  PeerPort(zmq::context_t& aZmq,
           boost::asio::io_context& aContext,
           AgentState& aState,
           DecisionHandler aOnDecisions);

  void OnMessage(std::string_view aPayload);
  void Dispatch(const wire::Envelope& aEnvelope, Instant aNow);
  void OnHeartbeat(const wire::Envelope& aEnvelope, Instant aNow);
  void OnHeartbeatReply(const wire::Envelope& aEnvelope, Instant aNow);
  void OnCreditReport(const wire::Envelope& aEnvelope, Instant aNow);
  void OnCreditGrant(const wire::Envelope& aEnvelope, Instant aNow);
  void OnConfigQuery(const wire::Envelope& aEnvelope);
  void OnConfigPush(const wire::ConfigPush& aPush, Instant aNow);
  void OnOwnershipPush(const wire::OwnershipPush& aPush, Instant aNow);
  void OnDrains(
    const google::protobuf::RepeatedPtrField<wire::DrainOrder>& aDrains);
  void FillVersions(wire::Heartbeat& aHeartbeat) const;
  template<typename Message>
  void FillCrashReports(Instant aNow, Message& aMessage) const;
  void SendHeartbeatTo(std::string_view aVm, Instant aNow, bool aStopping);
  void PushIfBehind(const wire::Heartbeat& aHeartbeat);
  void PushOwnership(std::string_view aAddress, std::string_view aDataCentre);
  void AskIfBehind(std::string_view aAddress, std::uint64_t aConfig);
  void SendConfigTo(std::string_view aAddress, std::uint64_t aHave);
  bool SendToVm(std::string_view aVm, wire::Envelope& aEnvelope);
  bool SendToAddress(std::string_view aAddress, wire::Envelope& aEnvelope);
  std::string RandomLocalPeer();
  const SentHeartbeat* FindSent(std::uint64_t aSequence) const;

  zmq::context_t& mZmq;
  boost::asio::io_context& mContext;
  AgentState& mState;
  DecisionHandler mOnDecisions;
  EnvelopeCodec mCodec;
  PartLog mLog;
  std::unique_ptr<MessageSocket> mInbox;
  /// Connections by address.
  std::map<std::string, std::unique_ptr<MessageSocket>, std::less<>> mPeers;
  std::mt19937_64 mRandom;
  std::uint64_t mSequence = 0;
  std::vector<SentHeartbeat> mSent;
  /// The last reply of the lease holder, to be acknowledged.
  std::uint64_t mAcknowledgeReply = 0;
  std::size_t mNextRelay = 0;
  PeerTraffic mTraffic;
};

} // namespace cactusgw

#endif // CACTUSGW_AGENT_PEER_PORT_HPP
