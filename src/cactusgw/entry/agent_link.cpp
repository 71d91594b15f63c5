#include "cactusgw/entry/agent_link.hpp"

#include "cactusgw/messaging/crash_messages.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace cactusgw {

namespace {

constexpr unsigned kCallBits = 20;

Failure
FailureOf(const wire::AdmitReply& aReply)
{
  const Milliseconds retryAfter{ aReply.retry_after_ms() };
  switch (aReply.outcome()) {
    case wire::ADMIT_UNKNOWN_TARGET:
      return NotRun(FailureCode::NotFound, "no upstream serves this");
    case wire::ADMIT_DRAINED:
      return NotRun(
        FailureCode::Drained, "the data centre is out of service", retryAfter);
    case wire::ADMIT_RETRY_BUDGET:
      return NotRun(FailureCode::RetryBudgetSpent,
                    "too many retries of this service",
                    retryAfter);
    case wire::ADMIT_OUTSIDE_REGIONS:
      return NotRun(FailureCode::OutsideHomeRegions,
                    "no upstream is in the allowed regions",
                    retryAfter);
    default:
      return NotRun(FailureCode::Busy, "all upstreams are full", retryAfter);
  }
}

} // namespace

AgentLink::AgentLink(boost::asio::io_context& aContext,
                     const EntrySettings& aSettings,
                     EventRecorder& aRecorder)
  : mContext(aContext)
  , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
  , mCodec(aSettings.mPlace.mVm, mIncarnation, aRecorder)
  , mLog("agent-link")
  , mCrashes(CrashEvidence::Create())
  , mNextCall(mIncarnation << kCallBits)
{
}

Result<std::unique_ptr<AgentLink>>
AgentLink::Connect(zmq::context_t& aZmq,
                   boost::asio::io_context& aContext,
                   const EntrySettings& aSettings,
                   EventRecorder& aRecorder)
{
  std::unique_ptr<AgentLink> link{ new AgentLink{
    aContext, aSettings, aRecorder } };
  AgentLink* self = link.get();
  Result<std::unique_ptr<MessageSocket>> socket =
    MessageSocket::Connect(aZmq,
                           aContext,
                           aSettings.mAgent,
                           [self](std::string_view, std::string_view aPayload) {
                             self->OnMessage(aPayload);
                           });
  if (!socket) {
    return socket.error();
  }
  link->mSocket = std::move(socket.value());
  return link;
}

Task<Result<AdmissionPermit>>
AgentLink::Admit(AdmissionTarget aTarget,
                 std::vector<std::string> aExcluded,
                 bool aIsRetry)
{
  const std::uint64_t call = ++mNextCall;
  wire::Envelope envelope;
  wire::AdmitRequest& request = *envelope.mutable_admit_request();
  request.set_call(call);
  request.set_request_id(aTarget.mRequestId);
  request.set_service(aTarget.mService);
  request.set_model(aTarget.mModel);
  request.set_workspace(aTarget.mWorkspace);
  request.set_prefix_hash(aTarget.mPrefixHash);
  request.set_is_retry(aIsRetry);
  for (const std::string& upstream : aExcluded) {
    request.add_excluded_upstreams(upstream);
  }
  const Milliseconds time = QueueTime(aTarget.mService) + kAdmitSlack;
  const std::shared_ptr<Pending> pending =
    co_await Call(std::move(envelope), call, time);
  if (!pending->mAnswered) {
    co_return NotRun(
      FailureCode::Busy, "admission is not available", kSilenceTime);
  }
  const wire::AdmitReply& reply = pending->mReply.admit_reply();
  if (reply.outcome() != wire::ADMIT_GRANTED) {
    co_return FailureOf(reply);
  }
  const AdmissionPermit permit{ reply.permit(),
                                reply.upstream(),
                                AddressOf(reply, std::move(aTarget.mHomes)),
                                SteadyNow() +
                                  Milliseconds{ reply.valid_ms() } };
  mPermits[permit.mId] = permit;
  co_return permit;
}

CheckedAddress
AgentLink::AddressOf(const wire::AdmitReply& aReply, RequestHomes aHomes) const
{
  CheckedAddress::CheckFunction check = [this,
                                         homes = std::move(aHomes),
                                         upstream = aReply.upstream(),
                                         address =
                                           aReply.address()]() -> Result<void> {
    const Result<void> allowed =
      CheckSend(*mDeployment, homes, upstream, address);
    if (!allowed) {
      mLog.Warn("A permit for " + upstream +
                " is not used: " + allowed.error().mDetail + ".");
    }
    return allowed;
  };
  return { aReply.address(), std::move(check) };
}

void
AgentLink::Release(const AdmissionPermit& aPermit, wire::ReleasePermit aRelease)
{
  mPermits.erase(aPermit.mId);
  wire::Envelope envelope;
  aRelease.set_permit(aPermit.mId);
  aRelease.set_upstream(aPermit.mUpstream);
  *envelope.mutable_release_permit() = std::move(aRelease);
  Send(envelope);
}

Task<Result<wire::KeyClaimReply>>
AgentLink::Claim(wire::KeyClaim aClaim)
{
  const std::uint64_t call = ++mNextCall;
  wire::Envelope envelope;
  aClaim.set_call(call);
  *envelope.mutable_key_claim() = std::move(aClaim);
  const std::shared_ptr<Pending> pending =
    co_await Call(std::move(envelope), call, kClaimTime);
  if (!pending->mAnswered) {
    co_return NotRun(FailureCode::StoreUnavailable,
                     "the key could not be claimed",
                     kSilenceTime);
  }
  co_return pending->mReply.key_claim_reply();
}

void
AgentLink::FinishKey(const wire::KeyResult& aResult)
{
  wire::Envelope envelope;
  *envelope.mutable_key_result() = aResult;
  Send(envelope);
}

void
AgentLink::SendHello(bool aStopping)
{
  wire::Envelope envelope;
  wire::EntryHello& hello = *envelope.mutable_entry_hello();
  hello.set_entry_incarnation(mIncarnation);
  hello.set_config_version(mConfigRevision);
  hello.set_stopping(aStopping);
  for (const auto& [id, permit] : mPermits) {
    wire::LivePermit* live = hello.add_permits();
    live->set_permit(id);
    live->set_upstream(permit.mUpstream);
  }
  EncodeCrashReports(mCrashes, SteadyNow(), *hello.mutable_crash_reports());
  Send(envelope);
}

bool
AgentLink::IsConnected() const
{
  return SteadyNow() < mHeardAt + kSilenceTime;
}

void
AgentLink::OnMessage(std::string_view aPayload)
{
  const Result<wire::Envelope> decoded = mCodec.Decode(aPayload);
  if (!decoded) {
    mLog.Warn("A message was refused: " + decoded.error().mDetail + ".");
    return;
  }
  mHeardAt = SteadyNow();
  const wire::Envelope& envelope = decoded.value();
  switch (envelope.body_case()) {
    case wire::Envelope::kAgentState:
      OnState(envelope.agent_state());
      break;
    case wire::Envelope::kAdmitReply:
      OnAnswer(envelope.admit_reply().call(), envelope);
      break;
    case wire::Envelope::kKeyClaimReply:
      OnAnswer(envelope.key_claim_reply().call(), envelope);
      break;
    default:
      break;
  }
}

void
AgentLink::OnState(const wire::AgentState& aState)
{
  mDrained = aState.data_centre_drained();
  MergeCrashReports(aState.crash_reports(), SteadyNow(), mCrashes);
  if (aState.deployment().empty() ||
      aState.config_version() <= mConfigRevision) {
    return;
  }
  boost::json::error_code ec;
  const boost::json::value document =
    boost::json::parse(aState.deployment(), ec);
  ConfigFaults faults;
  Deployment deployment = ReadDeployment(document, "agent", faults);
  if (ec || !faults.empty()) {
    mLog.Error("The agent's configuration was refused.");
    return;
  }
  mDeployment = std::make_shared<const Deployment>(std::move(deployment));
  mConfigRevision = aState.config_version();
  mLog.Info("Configuration " + std::to_string(mConfigRevision) +
            " is in force.");
}

void
AgentLink::OnAnswer(std::uint64_t aCall, const wire::Envelope& aEnvelope)
{
  const auto it = mPending.find(aCall);
  if (it == mPending.end()) {
    OnLatePermit(aEnvelope.admit_reply());
    return;
  }
  it->second->mAnswered = true;
  it->second->mReply = aEnvelope;
  it->second->mTimer.cancel();
}

void
AgentLink::OnLatePermit(const wire::AdmitReply& aReply)
{
  if (aReply.outcome() != wire::ADMIT_GRANTED) {
    return;
  }
  wire::ReleasePermit release;
  release.set_outcome(wire::OUTCOME_NOT_RUN);
  Release({ aReply.permit(), aReply.upstream(), {}, {} }, release);
}

Task<std::shared_ptr<AgentLink::Pending>>
AgentLink::Call(wire::Envelope aEnvelope,
                std::uint64_t aCall,
                Milliseconds aTime)
{
  const std::shared_ptr<Pending> pending = std::make_shared<Pending>(mContext);
  mPending[aCall] = pending;
  pending->mTimer.expires_after(aTime);
  Send(aEnvelope);
  boost::system::error_code ec;
  co_await pending->mTimer.async_wait(
    net::redirect_error(net::use_awaitable, ec));
  mPending.erase(aCall);
  co_return pending;
}

void
AgentLink::Send(wire::Envelope& aEnvelope)
{
  mSocket->Send(mCodec.Encode(aEnvelope));
}

Milliseconds
AgentLink::QueueTime(std::string_view aService) const
{
  const ServiceConfig* service =
    mDeployment ? mDeployment->FindService(aService) : nullptr;
  return service == nullptr ? Milliseconds{ 0 } : service->mQueueTime;
}

} // namespace cactusgw
