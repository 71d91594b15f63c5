#include "cactusgw/agent/peer_port.hpp"

#include "cactusgw/agent/wire_conversion.hpp"
#include "cactusgw/config/ownership_document.hpp"
#include "cactusgw/core/hash.hpp"
#include "cactusgw/messaging/crash_messages.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

constexpr std::size_t kMaxSentHeartbeats = 64;

} // namespace

PeerPort::PeerPort(zmq::context_t& aZmq,
                   boost::asio::io_context& aContext,
                   AgentState& aState,
                   DecisionHandler aOnDecisions)
  : mZmq(aZmq)
  , mContext(aContext)
  , mState(aState)
  , mOnDecisions(std::move(aOnDecisions))
  , mCodec(aState.Vm(), aState.Self().mIncarnation, aState.Recorder())
  , mLog("peers")
  , mRandom(StableHash(aState.Vm()) ^ aState.Self().mIncarnation)
{
}

Result<std::unique_ptr<PeerPort>>
PeerPort::Listen(zmq::context_t& aZmq,
                 boost::asio::io_context& aContext,
                 AgentState& aState,
                 DecisionHandler aOnDecisions)
{
  std::unique_ptr<PeerPort> port{ new PeerPort{
    aZmq, aContext, aState, std::move(aOnDecisions) } };
  PeerPort* self = port.get();
  Result<std::unique_ptr<MessageSocket>> inbox =
    MessageSocket::Bind(aZmq,
                        aContext,
                        aState.Settings().mPeerListen,
                        [self](std::string_view, std::string_view aPayload) {
                          self->OnMessage(aPayload);
                        });
  if (!inbox) {
    return inbox.error();
  }
  port->mInbox = std::move(inbox.value());
  return port;
}

void
PeerPort::FillVersions(wire::Heartbeat& aHeartbeat) const
{
  aHeartbeat.set_data_centre(mState.DataCentre());
  aHeartbeat.set_config_version(mState.mConfig.Revision());
  for (const std::string& dataCentre : mState.ReachableDataCentres()) {
    const OwnershipPlan* plan = mState.FindOwnership(dataCentre);
    wire::OwnershipVersion* version = aHeartbeat.add_ownerships();
    version->set_data_centre(dataCentre);
    version->set_version(plan == nullptr ? 0 : plan->mVersion);
  }
  aHeartbeat.set_lease_holder(mState.mLeaseHolder);
  aHeartbeat.set_lease_fence(mState.mLeaseFence);
  aHeartbeat.set_platform_reachable(mState.mPlatformReachable);
  aHeartbeat.set_peer_address(mState.Settings().mPeerListen);
  FillDrains(mState.mDrains, aHeartbeat);
}

template<typename Message>
void
PeerPort::FillCrashReports(Instant aNow, Message& aMessage) const
{
  if (!mState.mCrashes.Crashes().empty()) {
    EncodeCrashReports(
      mState.mCrashes, aNow, *aMessage.mutable_crash_reports());
  }
}

void
PeerPort::SendHeartbeatTo(std::string_view aVm, Instant aNow, bool aStopping)
{
  wire::Envelope envelope;
  wire::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
  FillVersions(heartbeat);
  FillCrashReports(aNow, heartbeat);
  heartbeat.set_sequence(++mSequence);
  heartbeat.set_stopping(aStopping);
  if (aVm == mState.mLeaseHolder) {
    heartbeat.set_acknowledged_reply(mAcknowledgeReply);
  }
  mSent.push_back({ mSequence, aNow });
  if (mSent.size() > kMaxSentHeartbeats) {
    mSent.erase(mSent.begin());
  }
  SendToVm(aVm, envelope);
}

void
PeerPort::SendHeartbeats(Instant aNow)
{
  const bool isHolder = mState.HoldsLease(aNow);
  if (!isHolder && !mState.mLeaseHolder.empty() &&
      mState.mLeaseHolder != mState.Vm()) {
    SendHeartbeatTo(mState.mLeaseHolder, aNow, false);
  }
  const std::string peer = RandomLocalPeer();
  if (!peer.empty() && peer != mState.mLeaseHolder) {
    SendHeartbeatTo(peer, aNow, false);
  }
}

void
PeerPort::AnnounceLease(Instant aNow)
{
  for (const std::string& vm : mState.LocalVms()) {
    if (vm != mState.Vm()) {
      SendHeartbeatTo(vm, aNow, false);
    }
  }
}

void
PeerPort::SendRelayHeartbeat(Instant aNow)
{
  std::vector<std::string> others;
  for (const DataCentreConfig& dataCentre :
       mState.mConfig.Current().mDataCentres) {
    if (dataCentre.mName == mState.DataCentre()) {
      continue;
    }
    for (const VmConfig& vm : dataCentre.mVms) {
      others.push_back(vm.mName);
    }
  }
  if (!others.empty()) {
    SendHeartbeatTo(others[mNextRelay++ % others.size()], aNow, false);
  }
}

void
PeerPort::SendStopping(Instant aNow)
{
  if (!mState.mLeaseHolder.empty()) {
    SendHeartbeatTo(mState.mLeaseHolder, aNow, true);
  }
}

void
PeerPort::SendReports(Instant aNow)
{
  const auto epochOf = [this](std::string_view aUpstream) -> std::uint64_t {
    const OwnerAssignment* owner = mState.FindOwnerOf(aUpstream);
    return owner == nullptr ? 0 : owner->mEpoch;
  };
  for (const OutgoingReport& report :
       mState.mAdmission.DueReports(epochOf, aNow)) {
    const OwnerAssignment* owner = mState.FindOwnerOf(report.mUpstream);
    wire::Envelope envelope;
    FillReport(report, *envelope.mutable_credit_report());
    SendToVm(owner->mOwner.mVm, envelope);
  }
}

void
PeerPort::SendGrants(std::string_view aUpstream,
                     const std::vector<CreditGrant>& aGrants)
{
  for (const CreditGrant& grant : aGrants) {
    wire::Envelope envelope;
    FillGrant(aUpstream, grant, *envelope.mutable_credit_grant());
    SendToVm(grant.mVm, envelope);
  }
}

void
PeerPort::AskSeeds()
{
  for (const std::string& seed : mState.Settings().mSeeds) {
    if (seed != mState.Settings().mPeerListen) {
      AskIfBehind(seed, UINT64_MAX);
    }
  }
}

void
PeerPort::SpreadDrain(const DrainState& aState)
{
  for (const DataCentreConfig& dataCentre :
       mState.mConfig.Current().mDataCentres) {
    const bool isOwn = dataCentre.mName == mState.DataCentre();
    const std::size_t count = isOwn ? dataCentre.mVms.size() : 1;
    for (std::size_t i = 0; i < std::min(count, dataCentre.mVms.size()); ++i) {
      wire::Envelope envelope;
      FillDrain(aState, *envelope.mutable_drain_order());
      if (dataCentre.mVms[i].mName != mState.Vm()) {
        SendToVm(dataCentre.mVms[i].mName, envelope);
      }
    }
  }
}

void
PeerPort::OnMessage(std::string_view aPayload)
{
  const Result<wire::Envelope> envelope = mCodec.Decode(aPayload);
  if (!envelope) {
    mLog.Warn("A message was refused: " + envelope.error().mDetail + ".");
    return;
  }
  TrafficCount& count =
    mTraffic.mReceived[std::string{ KindOf(envelope.value()) }];
  ++count.mMessages;
  count.mBytes += aPayload.size();
  Dispatch(envelope.value(), SteadyNow());
}

void
PeerPort::Dispatch(const wire::Envelope& aEnvelope, Instant aNow)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kHeartbeat:
      OnHeartbeat(aEnvelope, aNow);
      break;
    case wire::Envelope::kHeartbeatReply:
      OnHeartbeatReply(aEnvelope, aNow);
      break;
    case wire::Envelope::kCreditReport:
      OnCreditReport(aEnvelope, aNow);
      break;
    case wire::Envelope::kCreditGrant:
      OnCreditGrant(aEnvelope, aNow);
      break;
    case wire::Envelope::kConfigQuery:
      OnConfigQuery(aEnvelope);
      break;
    case wire::Envelope::kConfigPush:
      OnConfigPush(aEnvelope.config_push(), aNow);
      break;
    case wire::Envelope::kOwnershipPush:
      OnOwnershipPush(aEnvelope.ownership_push(), aNow);
      break;
    case wire::Envelope::kDrainOrder: {
      const DrainState state = ToDrainState(aEnvelope.drain_order());
      if (mState.ApplyDrain(state)) {
        SpreadDrain(state);
      }
      break;
    }
    default:
      break;
  }
}

void
PeerPort::OnHeartbeat(const wire::Envelope& aEnvelope, Instant aNow)
{
  const wire::Heartbeat& heartbeat = aEnvelope.heartbeat();
  const VmIncarnation sender{ aEnvelope.sender_vm(),
                              aEnvelope.sender_incarnation() };
  OnDrains(heartbeat.drains());
  MergeCrashReports(heartbeat.crash_reports(), aNow, mState.mCrashes);
  const bool isLocal = heartbeat.data_centre() == mState.DataCentre();
  wire::Envelope envelope;
  wire::HeartbeatReply& reply = *envelope.mutable_heartbeat_reply();
  if (isLocal) {
    mState.ApplyLeaseHolder(heartbeat.lease_holder(), heartbeat.lease_fence());
    mState.mMembers.OnHeartbeat(sender, heartbeat.acknowledged_reply(), aNow);
    if (heartbeat.stopping()) {
      mState.mMembers.OnStopping(sender);
    }
    if (mState.HoldsLease(aNow) && !heartbeat.stopping()) {
      reply.set_reply(mState.mMembers.OnReplySent(sender, aNow));
      reply.set_ownership_valid_ms(
        static_cast<std::uint32_t>(mState.OwnershipValidity().count()));
      reply.set_promise_ms(
        static_cast<std::uint32_t>(mState.Settings().mLease.mDuration.count()));
    }
  }
  reply.set_data_centre(mState.DataCentre());
  reply.set_sequence(heartbeat.sequence());
  reply.set_config_version(mState.mConfig.Revision());
  reply.set_lease_holder(mState.mLeaseHolder);
  reply.set_lease_fence(mState.mLeaseFence);
  FillDrains(mState.mDrains, reply);
  FillCrashReports(aNow, reply);
  SendToAddress(heartbeat.peer_address(), envelope);
  PushIfBehind(heartbeat);
  AskIfBehind(heartbeat.peer_address(), heartbeat.config_version());
}

void
PeerPort::OnHeartbeatReply(const wire::Envelope& aEnvelope, Instant aNow)
{
  const wire::HeartbeatReply& reply = aEnvelope.heartbeat_reply();
  OnDrains(reply.drains());
  MergeCrashReports(reply.crash_reports(), aNow, mState.mCrashes);
  const std::string address = mState.PeerAddress(aEnvelope.sender_vm());
  AskIfBehind(address, reply.config_version());
  if (reply.data_centre() != mState.DataCentre()) {
    return;
  }
  mState.ApplyLeaseHolder(reply.lease_holder(), reply.lease_fence());
  const bool isFromHolder = reply.reply() != 0 &&
                            aEnvelope.sender_vm() == mState.mLeaseHolder &&
                            reply.lease_fence() == mState.mLeaseFence;
  const SentHeartbeat* sent = FindSent(reply.sequence());
  if (!isFromHolder || sent == nullptr) {
    return;
  }
  mState.NoteHolderHeard(aNow);
  mState.ConfirmOwnership(sent->mSentAt +
                          Milliseconds{ reply.ownership_valid_ms() });
  mState.mLease.Promise(aNow + Milliseconds{ reply.promise_ms() });
  mAcknowledgeReply = reply.reply();
}

void
PeerPort::OnCreditReport(const wire::Envelope& aEnvelope, Instant aNow)
{
  const wire::CreditReport& message = aEnvelope.credit_report();
  UpstreamOwner* owner = mState.FindOwned(message.upstream(), message.epoch());
  if (owner == nullptr || !mState.MayActAsOwner(aNow)) {
    return;
  }
  const WorkReport work{ message.completed(),
                         message.slow(),
                         message.trouble() };
  SendGrants(
    message.upstream(),
    owner->OnReport(aEnvelope.sender_vm(), ToReport(message), work, aNow));
}

void
PeerPort::OnCreditGrant(const wire::Envelope& aEnvelope, Instant aNow)
{
  const wire::CreditGrant& message = aEnvelope.credit_grant();
  mOnDecisions(
    mState.mAdmission.OnGrant(message.upstream(), ToGrant(message), aNow));
}

void
PeerPort::OnConfigQuery(const wire::Envelope& aEnvelope)
{
  const wire::ConfigQuery& query = aEnvelope.config_query();
  SendConfigTo(query.peer_address(), query.have_config());
}

void
PeerPort::OnConfigPush(const wire::ConfigPush& aPush, Instant aNow)
{
  const ApplyOutcome outcome = mState.ApplyConfig(
    { aPush.from_version(), aPush.version(), aPush.digest(), aPush.document() },
    aNow);
  if (outcome == ApplyOutcome::Refused) {
    mLog.Warn("A configuration from a peer was refused.");
  }
}

void
PeerPort::OnOwnershipPush(const wire::OwnershipPush& aPush, Instant aNow)
{
  Result<OwnershipPlan> plan = ParseOwnership(aPush.document());
  if (!plan) {
    mLog.Warn("An ownership plan from a peer was refused.");
    return;
  }
  plan.value().mVersion = aPush.version();
  mState.ApplyOwnership(aPush.data_centre(), plan.value(), aNow);
}

void
PeerPort::OnDrains(
  const google::protobuf::RepeatedPtrField<wire::DrainOrder>& aDrains)
{
  for (const wire::DrainOrder& order : aDrains) {
    mState.ApplyDrain(ToDrainState(order));
  }
}

void
PeerPort::PushIfBehind(const wire::Heartbeat& aHeartbeat)
{
  const std::string& address = aHeartbeat.peer_address();
  if (aHeartbeat.config_version() < mState.mConfig.Revision()) {
    SendConfigTo(address, aHeartbeat.config_version());
  }
  for (const wire::OwnershipVersion& theirs : aHeartbeat.ownerships()) {
    const OwnershipPlan* ours = mState.FindOwnership(theirs.data_centre());
    if (ours != nullptr && theirs.version() < ours->mVersion) {
      PushOwnership(address, theirs.data_centre());
    }
  }
}

void
PeerPort::PushOwnership(std::string_view aAddress, std::string_view aDataCentre)
{
  const OwnershipPlan& plan = *mState.FindOwnership(aDataCentre);
  wire::Envelope envelope;
  wire::OwnershipPush& push = *envelope.mutable_ownership_push();
  push.set_data_centre(std::string{ aDataCentre });
  push.set_version(plan.mVersion);
  push.set_document(SerializeOwnership(plan));
  SendToAddress(aAddress, envelope);
}

void
PeerPort::AskIfBehind(std::string_view aAddress, std::uint64_t aConfig)
{
  if (aAddress.empty() || aConfig <= mState.mConfig.Revision()) {
    return;
  }
  wire::Envelope envelope;
  wire::ConfigQuery& query = *envelope.mutable_config_query();
  query.set_have_config(mState.mConfig.Revision());
  query.set_peer_address(mState.Settings().mPeerListen);
  SendToAddress(aAddress, envelope);
}

void
PeerPort::SendConfigTo(std::string_view aAddress, std::uint64_t aHave)
{
  if (aHave >= mState.mConfig.Revision()) {
    return;
  }
  const ConfigUpdate update = mState.mConfig.UpdateFrom(aHave);
  wire::Envelope envelope;
  wire::ConfigPush& push = *envelope.mutable_config_push();
  push.set_from_version(update.mFromRevision);
  push.set_version(update.mRevision);
  push.set_digest(update.mDigest);
  push.set_document(update.mDocument);
  SendToAddress(aAddress, envelope);
}

bool
PeerPort::SendToVm(std::string_view aVm, wire::Envelope& aEnvelope)
{
  if (aVm == mState.Vm()) {
    // Messages to itself take the same path, without the network.
    OnMessage(mCodec.Encode(aEnvelope));
    return true;
  }
  return SendToAddress(mState.PeerAddress(aVm), aEnvelope);
}

bool
PeerPort::SendToAddress(std::string_view aAddress, wire::Envelope& aEnvelope)
{
  if (aAddress.empty()) {
    return false;
  }
  auto it = mPeers.find(aAddress);
  if (it == mPeers.end()) {
    Result<std::unique_ptr<MessageSocket>> socket =
      MessageSocket::Connect(mZmq, mContext, aAddress, [](auto, auto) {});
    if (!socket) {
      return false;
    }
    it =
      mPeers.emplace(std::string{ aAddress }, std::move(socket.value())).first;
  }
  const std::string payload = mCodec.Encode(aEnvelope);
  TrafficCount& count = mTraffic.mSent[std::string{ KindOf(aEnvelope) }];
  ++count.mMessages;
  count.mBytes += payload.size();
  return it->second->Send(payload);
}

std::string
PeerPort::RandomLocalPeer()
{
  std::vector<std::string> vms = mState.LocalVms();
  std::erase(vms, mState.Vm());
  return vms.empty() ? std::string{} : vms[mRandom() % vms.size()];
}

const PeerPort::SentHeartbeat*
PeerPort::FindSent(std::uint64_t aSequence) const
{
  const auto it =
    std::find_if(mSent.begin(), mSent.end(), [&](const SentHeartbeat& aSent) {
      return aSent.mSequence == aSequence;
    });
  return it == mSent.end() ? nullptr : &*it;
}

} // namespace cactusgw
