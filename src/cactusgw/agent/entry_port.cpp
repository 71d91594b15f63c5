#include "cactusgw/agent/entry_port.hpp"

#include "cactusgw/config/layering.hpp"
#include "cactusgw/messaging/crash_messages.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <utility>
#include <vector>

namespace cactusgw {

namespace {

/// A permit must be used within this time; part of the credits' guard.
constexpr std::uint32_t kPermitValidMs = 1000;

wire::AdmitOutcome
ToWire(AdmissionOutcome aOutcome)
{
  switch (aOutcome) {
    case AdmissionOutcome::Granted:
      return wire::ADMIT_GRANTED;
    case AdmissionOutcome::Busy:
      return wire::ADMIT_BUSY;
    case AdmissionOutcome::UnknownTarget:
      return wire::ADMIT_UNKNOWN_TARGET;
    case AdmissionOutcome::Drained:
      return wire::ADMIT_DRAINED;
    case AdmissionOutcome::RetryBudgetSpent:
      return wire::ADMIT_RETRY_BUDGET;
    case AdmissionOutcome::OutsideHomeRegions:
      return wire::ADMIT_OUTSIDE_REGIONS;
  }
  return wire::ADMIT_BUSY;
}

AdmissionRequest
ToAsk(const wire::AdmitRequest& aRequest)
{
  AdmissionRequest ask;
  ask.mCall = aRequest.call();
  ask.mRequestId = aRequest.request_id();
  ask.mService = aRequest.service();
  ask.mModel = aRequest.model();
  ask.mWorkspace = aRequest.workspace();
  ask.mPrefixHash = aRequest.prefix_hash();
  ask.mExcluded.assign(aRequest.excluded_upstreams().begin(),
                       aRequest.excluded_upstreams().end());
  ask.mIsRetry = aRequest.is_retry();
  return ask;
}

/// Whether a request's slow tokens make the whole request count as slow: more
/// than 5 in 100, as the target is stated for 95 in 100.
bool
IsSlow(const wire::ReleasePermit& aRelease)
{
  constexpr std::uint32_t kOneInTwenty = 20;
  return aRelease.slow_tokens() * kOneInTwenty > aRelease.tokens();
}

} // namespace

EntryPort::EntryPort(boost::asio::io_context& aContext,
                     AgentState& aState,
                     HttpPlatformClient& aPlatform,
                     std::function<void()> aOnDemand)
  : mContext(aContext)
  , mState(aState)
  , mCodec(aState.Vm(), aState.Self().mIncarnation, aState.Recorder())
  , mClaims(aPlatform)
  , mOnDemand(std::move(aOnDemand))
  , mLog("entry-port")
{
}

Result<std::unique_ptr<EntryPort>>
EntryPort::Listen(zmq::context_t& aZmq,
                  boost::asio::io_context& aContext,
                  AgentState& aState,
                  HttpPlatformClient& aPlatform,
                  std::function<void()> aOnDemand)
{
  std::unique_ptr<EntryPort> port{ new EntryPort{
    aContext, aState, aPlatform, std::move(aOnDemand) } };
  EntryPort* self = port.get();
  Result<std::unique_ptr<MessageSocket>> socket = MessageSocket::Bind(
    aZmq,
    aContext,
    aState.Settings().mEntryListen,
    [self](std::string_view aIdentity, std::string_view aPayload) {
      self->OnMessage(aIdentity, aPayload);
    });
  if (!socket) {
    return socket.error();
  }
  port->mSocket = std::move(socket.value());
  return port;
}

void
EntryPort::SendDecisions(const AdmissionControl::Decisions& aDecisions)
{
  // An entry checks permits by its own configuration; with an older one it
  // would refuse permits within new homes.
  if (!aDecisions.empty() && mState.mConfig.Revision() > mEntryRevision) {
    SendState(SteadyNow());
  }
  for (const AdmissionDecision& decision : aDecisions) {
    const bool granted = decision.mOutcome == AdmissionOutcome::Granted;
    mState.Recorder().Record(granted ? EventKind::RequestAdmitted
                                     : EventKind::RequestRefused,
                             decision.mRequestId,
                             decision.mUpstream);
    wire::Envelope envelope;
    wire::AdmitReply& reply = *envelope.mutable_admit_reply();
    reply.set_call(decision.mCall);
    reply.set_outcome(ToWire(decision.mOutcome));
    reply.set_permit(decision.mPermit);
    reply.set_upstream(decision.mUpstream);
    reply.set_address(decision.mAddress);
    reply.set_retry_after_ms(
      static_cast<std::uint32_t>(decision.mRetryAfter.count()));
    reply.set_valid_ms(kPermitValidMs);
    Send(envelope);
  }
}

void
EntryPort::OnMessage(std::string_view aIdentity, std::string_view aPayload)
{
  const Result<wire::Envelope> decoded = mCodec.Decode(aPayload);
  if (!decoded) {
    mLog.Warn("A message was refused: " + decoded.error().mDetail + ".");
    return;
  }
  const wire::Envelope& envelope = decoded.value();
  const Instant now = SteadyNow();
  mIdentity = aIdentity;
  mHeardAt = now;
  switch (envelope.body_case()) {
    case wire::Envelope::kEntryHello:
      OnHello(envelope, now);
      break;
    case wire::Envelope::kAdmitRequest:
      OnAdmit(envelope.admit_request(), now);
      break;
    case wire::Envelope::kReleasePermit:
      OnRelease(envelope.release_permit(), now);
      break;
    case wire::Envelope::kKeyClaim:
      boost::asio::co_spawn(
        mContext, RunClaim(envelope.key_claim()), boost::asio::detached);
      break;
    case wire::Envelope::kKeyResult:
      boost::asio::co_spawn(
        mContext, RunFinish(envelope.key_result()), boost::asio::detached);
      break;
    default:
      break;
  }
}

void
EntryPort::OnHello(const wire::Envelope& aEnvelope, Instant aNow)
{
  const wire::EntryHello& hello = aEnvelope.entry_hello();
  std::vector<LivePermit> live;
  for (const wire::LivePermit& permit : hello.permits()) {
    live.push_back({ permit.permit(), permit.upstream() });
  }
  const bool isNew = hello.entry_incarnation() != mEntryIncarnation;
  mEntryIncarnation = hello.entry_incarnation();
  mState.mAdmission.Reconcile(live, isNew, aNow);

  // The agent only passes evidence on; the update drops what is old.
  MergeCrashReports(hello.crash_reports(), aNow, mState.mCrashes);
  mState.mCrashes.Update(aNow);

  mEntryRevision = hello.config_version();
  SendState(aNow);
}

void
EntryPort::SendState(Instant aNow)
{
  wire::Envelope envelope;
  wire::AgentState& state = *envelope.mutable_agent_state();
  EncodeCrashReports(mState.mCrashes, aNow, *state.mutable_crash_reports());
  state.set_config_version(mState.mConfig.Revision());
  state.set_data_centre_drained(mState.mDrains.IsDrained(mState.DataCentre()));
  if (mState.mConfig.Revision() > mEntryRevision) {
    state.set_deployment(boost::json::serialize(
      EffectiveDocument(mState.mConfig.Document(), mState.DataCentre())));
    mEntryRevision = mState.mConfig.Revision();
  }
  Send(envelope);
}

void
EntryPort::OnAdmit(const wire::AdmitRequest& aRequest, Instant aNow)
{
  SendDecisions(mState.mAdmission.Admit(ToAsk(aRequest), aNow));
  if (mState.mAdmission.QueueLength() > 0) {
    mOnDemand();
  }
}

void
EntryPort::OnRelease(const wire::ReleasePermit& aRelease, Instant aNow)
{
  PermitRelease release;
  release.mPermit = aRelease.permit();
  release.mCompleted = aRelease.outcome() == wire::OUTCOME_COMPLETED;
  release.mSlow = release.mCompleted && IsSlow(aRelease);
  release.mTrouble =
    aRelease.outcome() == wire::OUTCOME_FAILED || aRelease.unreachable();
  if (release.mTrouble) {
    mState.Recorder().Record(EventKind::UpstreamLost, "", aRelease.upstream());
  }
  SendDecisions(mState.mAdmission.OnRelease(release, aNow));
}

boost::asio::awaitable<void>
EntryPort::RunClaim(wire::KeyClaim aClaim)
{
  wire::Envelope envelope;
  *envelope.mutable_key_claim_reply() = co_await mClaims.Claim(
    aClaim, WallClockMs(), mState.mConfig.Current().mLimits.mKeyRetention);
  mState.Recorder().Record(EventKind::KeyClaimed,
                           aClaim.request_id(),
                           aClaim.workspace(),
                           envelope.key_claim_reply().outcome());
  Send(envelope);
}

boost::asio::awaitable<void>
EntryPort::RunFinish(wire::KeyResult aResult)
{
  co_await mClaims.Finish(std::move(aResult),
                          WallClockMs(),
                          mState.mConfig.Current().mLimits.mKeyRetention);
}

void
EntryPort::Send(wire::Envelope& aEnvelope)
{
  if (!mIdentity.empty()) {
    mSocket->SendTo(mIdentity, mCodec.Encode(aEnvelope));
  }
}

} // namespace cactusgw
