#ifndef CACTUSGW_ENTRY_AGENT_LINK_HPP
#define CACTUSGW_ENTRY_AGENT_LINK_HPP

/// The entry's connection to the agent of its VM.

#include "cactusgw/config/deployment.hpp"
#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/config/request_homes.hpp"
#include "cactusgw/core/checked_address.hpp"
#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/messaging/envelope.hpp"
#include "cactusgw/messaging/message_socket.hpp"
#include "cactusgw/net/http_types.hpp"
#include "cactusgw/telemetry/log.hpp"
#include "cactusgw/telemetry/recorder.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactusgw {

/// Leave to send one request to one upstream.
struct AdmissionPermit
{
  std::uint64_t mId = 0;
  std::string mUpstream;
  /// Allows a send while the newest configuration does.
  CheckedAddress mAddress;
  /// The request must be sent before this time.
  Instant mUseBefore;
};

/// The target of an admission.
struct AdmissionTarget
{
  std::string mRequestId;
  std::string mService;
  std::string mModel;
  std::string mWorkspace;
  std::uint64_t mPrefixHash = 0;
  RequestHomes mHomes;
};

/// Not thread-safe; lives on one io_context.
class AgentLink
{
public:
  static constexpr Milliseconds kHelloPause{ 500 };
  /// Silence of the agent after which the entry is not ready.
  static constexpr Milliseconds kSilenceTime{ 3000 };
  /// Added to a service's queue time before an admission is given up.
  static constexpr Milliseconds kAdmitSlack{ 1000 };
  static constexpr Milliseconds kClaimTime{ 10'000 };

  static Result<std::unique_ptr<AgentLink>> Connect(
    zmq::context_t& aZmq,
    boost::asio::io_context& aContext,
    const EntrySettings& aSettings,
    EventRecorder& aRecorder);

  /// Asks for a permit, which must not outlive the link. Errors, all NotRun:
  /// Busy, also when the agent does not answer, Drained, NotFound,
  /// OutsideHomeRegions, RetryBudgetSpent.
  Task<Result<AdmissionPermit>> Admit(AdmissionTarget aTarget,
                                      std::vector<std::string> aExcluded,
                                      bool aIsRetry);

  /// Gives a permit back and tells how the request ended.
  void Release(const AdmissionPermit& aPermit, wire::ReleasePermit aRelease);

  /// Claims an idempotency key. Errors: Internal when the agent does not
  /// answer; the claim may then have taken effect, and nothing was run.
  Task<Result<wire::KeyClaimReply>> Claim(wire::KeyClaim aClaim);
  void FinishKey(const wire::KeyResult& aResult);

  /// Sends the regular message that tells what is in use.
  void SendHello(bool aStopping);

  /// Null until the agent sent a configuration.
  std::shared_ptr<const Deployment> Current() const { return mDeployment; }
  std::uint64_t ConfigRevision() const { return mConfigRevision; }
  bool IsDrained() const { return mDrained; }
  bool IsConnected() const;
  /// What this entry and, through the agents, the others know of crashes.
  CrashEvidence& Crashes() { return mCrashes; }
  std::size_t PermitsInUse() const { return mPermits.size(); }

private:
  /// A call waiting for its answer.
  struct Pending
  {
    explicit Pending(boost::asio::io_context& aContext)
      : mTimer(aContext)
    {
    }
    boost::asio::steady_timer mTimer;
    bool mAnswered = false;
    wire::Envelope mReply;
  };

  AgentLink(boost::asio::io_context& aContext,
            const EntrySettings& aSettings,
            EventRecorder& aRecorder);
  void OnMessage(std::string_view aPayload);
  void OnState(const wire::AgentState& aState);
  void OnAnswer(std::uint64_t aCall, const wire::Envelope& aEnvelope);
  /// Releases a permit that arrived after its call was given up.
  void OnLatePermit(const wire::AdmitReply& aReply);
  Task<std::shared_ptr<Pending>> Call(wire::Envelope aEnvelope,
                                      std::uint64_t aCall,
                                      Milliseconds aTime);
  void Send(wire::Envelope& aEnvelope);
  Milliseconds QueueTime(std::string_view aService) const;
  /// The address of a granted permit. Agents may hold another version of the
  /// configuration than the entry, and the homes may change before the send.
  CheckedAddress AddressOf(const wire::AdmitReply& aReply,
                           RequestHomes aHomes) const;

  boost::asio::io_context& mContext;
  std::uint64_t mIncarnation;
  EnvelopeCodec mCodec;
  PartLog mLog;
  std::unique_ptr<MessageSocket> mSocket;
  std::shared_ptr<const Deployment> mDeployment;
  std::uint64_t mConfigRevision = 0;
  bool mDrained = false;
  CrashEvidence mCrashes;
  Instant mHeardAt;
  std::uint64_t mNextCall;
  std::map<std::uint64_t, std::shared_ptr<Pending>> mPending;
  std::map<std::uint64_t, AdmissionPermit> mPermits;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_AGENT_LINK_HPP
