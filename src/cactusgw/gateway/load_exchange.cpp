#include "cactusgw/gateway/load_exchange.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/messaging/crash_messages.hpp"
#include "cactusgw/messaging/rollout_messages.hpp"
#include "cactusgw/messaging/stream_messages.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

AggregatedLoads
Decode(const wire::GatewayUse& aMessage)
{
  AggregatedLoads sums;
  for (const wire::UpstreamUseEntry& entry : aMessage.entries()) {
    sums[entry.upstream()] =
      AggregatedLoad{ { entry.requests(),
                        entry.tokens(),
                        entry.prompt_tokens(),
                        entry.movable(),
                        entry.recent_requests(),
                        entry.recent_answers(),
                        entry.recent_failures() },
                      { entry.turn_tokens(), entry.turn_movable() } };
  }
  return sums;
}

wire::GatewayUse::Direction
ChangesOf(wire::GatewayUse::Direction aDirection)
{
  switch (aDirection) {
    case wire::GatewayUse::UP:
      return wire::GatewayUse::UP_CHANGES;
    case wire::GatewayUse::DOWN:
      return wire::GatewayUse::DOWN_CHANGES;
    default:
      return wire::GatewayUse::BESIDE_CHANGES;
  }
}

/// The direction of a message with changes; nullopt for one with the whole.
std::optional<wire::GatewayUse::Direction>
DirectionOfChanges(wire::GatewayUse::Direction aDirection)
{
  switch (aDirection) {
    case wire::GatewayUse::UP_CHANGES:
      return wire::GatewayUse::UP;
    case wire::GatewayUse::DOWN_CHANGES:
      return wire::GatewayUse::DOWN;
    case wire::GatewayUse::BESIDE_CHANGES:
      return wire::GatewayUse::BESIDE;
    default:
      return std::nullopt;
  }
}

void
Encode(const LoadUpdate& aUpdate, wire::GatewayUse& aMessage)
{
  aMessage.set_sequence(aUpdate.mSequence);
  for (const auto& [upstream, sum] : aUpdate.mEntries) {
    if (aUpdate.mIsWhole && sum == AggregatedLoad{}) {
      continue;
    }
    wire::UpstreamUseEntry* const entry = aMessage.add_entries();
    entry->set_upstream(upstream);
    entry->set_requests(sum.mLoad.mRequests);
    entry->set_tokens(sum.mLoad.mTokens);
    entry->set_prompt_tokens(sum.mLoad.mPromptTokens);
    entry->set_movable(sum.mLoad.mMigratable);
    entry->set_recent_requests(sum.mLoad.mRecent);
    entry->set_recent_answers(sum.mLoad.mRecentAnswers);
    entry->set_recent_failures(sum.mLoad.mRecentFailures);
    entry->set_turn_tokens(sum.mMigrations.mTokens);
    entry->set_turn_movable(sum.mMigrations.mMigratable);
  }
}

} // namespace

LoadExchange::LoadExchange(GatewayState& aState,
                           PeerExchange& aPeers,
                           DrainHandler aOnDraining)
  : mState(aState)
  , mPeers(aPeers)
  , mOnDraining(std::move(aOnDraining))
  , mAggregator(LoadAggregator::Create(aState.mSettings.mPlace.mVm,
                                       aState.mSettings.mPlace.mDataCentre))
  , mRelayRoots(RelayRootTracker::Create(aState.mSettings.mPlace.mDataCentre))
{
}

std::uint64_t
LoadExchange::Version() const
{
  return mState.mLoads.OwnVersion() + mState.mDrainNotices.Version() +
         mState.mCrashes.Version() + mState.mRequestCrashes.Version() +
         mState.mStatedLimits.Version() + mState.mStreamOrigins.Version() +
         mState.mRollouts.Evidence().Version() + mReceivedVersion;
}

void
LoadExchange::Tick(const std::optional<std::string>& aParent, Instant aNow)
{
  if (mParent != aParent) {
    if (mParent) {
      LeaveParent(*mParent);
    }
    mParent = aParent;
    // The new parent reports the same load again, which must not be counted
    // twice.
    mAggregator.SetFromParent({}, aNow);
  }
  mAggregator.Expire(aNow);
  if (mAppliedVersion != Version()) {
    mAppliedVersion = Version();
    mAggregator.SetOwn(Aggregate(mState.mLoads.Own()));
    mState.mLoads.SetOthers(mAggregator.LoadExcludingSelf(), aNow);
  }
  if (mParent) {
    SendToParent(*mParent, aNow);
  } else {
    SendToRemoteRoots(aNow);
  }
  SendToChildren(aNow);
}

bool
LoadExchange::MarkSentIfDue(const std::string& aPeer,
                            Milliseconds aInterval,
                            Instant aNow)
{
  Sent& sent = mSent[aPeer];
  const bool isDue = sent.mVersion != Version()
                       ? aNow - sent.mAt >= aInterval
                       : aNow - sent.mAt >= kRepeatInterval;
  if (isDue) {
    sent.mAt = aNow;
    sent.mVersion = Version();
  }
  return isDue;
}

void
LoadExchange::SendToParent(const std::string& aParent, Instant aNow)
{
  if (MarkSentIfDue(aParent, kInterval, aNow)) {
    Send(aParent, mAggregator.Subtree(), wire::GatewayUse::UP);
  }
}

void
LoadExchange::SendToRemoteRoots(Instant aNow)
{
  const GatewaySettings& settings = mState.mSettings;
  for (const RelayRootTracker::RelayRoot& root : mRelayRoots.RelayRoots(aNow)) {
    const bool isFar =
      mState.DistanceBetween(settings.mPlace.mDataCentre, root.mDataCentre) ==
      Distance::OtherRegion;
    if (MarkSentIfDue(
          root.mName, isFar ? kOtherRegionInterval : kInterval, aNow)) {
      Send(root.mName, mAggregator.Subtree(), wire::GatewayUse::BESIDE);
    }
  }
}

void
LoadExchange::SendToChildren(Instant aNow)
{
  /// Weight of the newest message in the average size.
  constexpr double kNewestShare = 0.05;
  const std::vector<std::string> children = mAggregator.Children();
  const Milliseconds interval = ChildInterval(children.size());
  for (const std::string& name : children) {
    if (MarkSentIfDue(name, interval, aNow)) {
      const std::size_t bytes =
        Send(name, mAggregator.LoadExcluding(name), wire::GatewayUse::DOWN);
      mChildMessageBytes +=
        kNewestShare * (static_cast<double>(bytes) - mChildMessageBytes);
    }
  }
}

Milliseconds
LoadExchange::ChildInterval(std::size_t aChildCount) const
{
  constexpr double kBytesPerMsAndMbps = 125;
  const double bytes = static_cast<double>(aChildCount) * mChildMessageBytes;
  const double bytesPerMs =
    kMaxLinkShare * mState.mSettings.mLinkMbps * kBytesPerMsAndMbps;
  return std::max(
    kInterval, Milliseconds{ static_cast<std::int64_t>(bytes / bytesPerMs) });
}

void
LoadExchange::LeaveParent(const std::string& aParent)
{
  mSent[aParent].mLoads.Restart();
  Send(aParent, {}, wire::GatewayUse::UP);
  // If this gateway returns to the parent, the message above is outdated.
  mSent[aParent].mLoads.Restart();
}

std::size_t
LoadExchange::Send(const std::string& aPeer,
                   const AggregatedLoads& aSums,
                   wire::GatewayUse::Direction aDirection)
{
  const Instant now = SteadyNow();
  Sent& sent = mSent[aPeer];
  if (sent.mDirection != aDirection) {
    sent.mDirection = aDirection;
    sent.mLoads.Restart();
  }
  wire::Envelope envelope;
  wire::GatewayUse* const message = envelope.mutable_gateway_use();
  message->set_data_centre(mState.mSettings.mPlace.mDataCentre);
  message->set_config_version(mState.mTable ? mState.mTable->Config().mVersion
                                            : 0);
  const std::optional<LoadUpdate> update = sent.mLoads.Next(aSums, now);
  const bool isWhole = update && update->mIsWhole;
  message->set_direction(isWhole ? aDirection : ChangesOf(aDirection));
  if (update) {
    Encode(*update, *message);
  }
  const bool hasEvidence = AddEvidence(aPeer, *message, now);
  const bool hasSuspicions = AddSuspicions(aPeer, *message, now);
  const bool hasLimits = AddLimits(aPeer, *message, now);
  const bool hasRollouts = AddRollouts(aPeer, *message, now);
  const bool hasOrigins = AddStreamOrigins(aPeer, *message, now);
  const std::uint64_t drainVersion = mState.mDrainNotices.Version();
  const bool hasDrains =
    std::exchange(sent.mDrainVersion, drainVersion) != drainVersion;
  if (!update && !hasEvidence && !hasSuspicions && !hasLimits && !hasRollouts &&
      !hasOrigins && !hasDrains) {
    return 0;
  }
  for (const DrainingUpstream& upstream : mState.mDrainNotices.Recent(now)) {
    wire::LeavingUpstream* const entry = message->add_leaving();
    entry->set_upstream(upstream.mId);
    entry->set_started_ms(upstream.mStartedMs);
  }
  mPeers.SendTo(aPeer, envelope);
  return envelope.ByteSizeLong();
}

bool
LoadExchange::AddEvidence(const std::string& aPeer,
                          wire::GatewayUse& aMessage,
                          Instant aNow)
{
  const CrashEvidence& crashes = mState.mCrashes;
  if (mDigestVersion != crashes.Version()) {
    mDigestVersion = crashes.Version();
    mDigest = crashes.Digest();
  }
  aMessage.set_crash_digest(mDigest);
  Sent& sent = mSent[aPeer];
  const bool hasChanged = sent.mEvidenceVersion != crashes.Version();
  const bool isLacking = sent.mReportedDigest != mDigest &&
                         aNow - sent.mEvidenceAt >= kEvidenceRepeatInterval;
  if (hasChanged || isLacking) {
    sent.mEvidenceVersion = crashes.Version();
    sent.mEvidenceAt = aNow;
    EncodeCrashReports(crashes, aNow, *aMessage.mutable_crash_reports());
  }
  return hasChanged || isLacking;
}

bool
LoadExchange::AddSuspicions(const std::string& aPeer,
                            wire::GatewayUse& aMessage,
                            Instant aNow)
{
  const RequestCrashes& crashes = mState.mRequestCrashes;
  aMessage.set_suspicion_digest(crashes.Digest());
  const std::vector<RequestSuspicion> due =
    mSent[aPeer].mSuspicions.Next(crashes, aNow);
  for (const RequestSuspicion& suspicion : due) {
    EncodeSuspicion(suspicion, aNow, *aMessage.add_suspicions());
  }
  return !due.empty();
}

bool
LoadExchange::AddRollouts(const std::string& aPeer,
                          wire::GatewayUse& aMessage,
                          Instant aNow)
{
  const RolloutEvidence& evidence = mState.mRollouts.Evidence();
  aMessage.set_rollout_digest(evidence.Digest());
  const std::vector<RolloutCountsEntry> due =
    mSent[aPeer].mRollouts.Next(evidence, aNow);
  EncodeRollouts(evidence, due, aNow, aMessage);
  return !due.empty();
}

bool
LoadExchange::AddStreamOrigins(const std::string& aPeer,
                               wire::GatewayUse& aMessage,
                               Instant aNow)
{
  const std::vector<StreamOrigin> due =
    mSent[aPeer].mStreamOrigins.Next(mState.mStreamOrigins, aNow);
  for (const StreamOrigin& origin : due) {
    EncodeStreamOrigin(origin, aNow, *aMessage.add_stream_origins());
  }
  return !due.empty();
}

void
LoadExchange::OnStreamOrigins(const wire::GatewayUse& aMessage, Instant aNow)
{
  for (const wire::StreamOrigin& entry : aMessage.stream_origins()) {
    mState.mStreamOrigins.Merge(DecodeStreamOrigin(entry, aNow), aNow);
  }
}

bool
LoadExchange::AddLimits(const std::string& aPeer,
                        wire::GatewayUse& aMessage,
                        Instant aNow)
{
  Sent& sent = mSent[aPeer];
  const StatedLimits& limits = mState.mStatedLimits;
  const bool isDue = sent.mLimitsVersion != limits.Version() ||
                     aNow - sent.mLimitsAt >= kEvidenceRepeatInterval;
  if (!isDue) {
    return false;
  }
  sent.mLimitsVersion = limits.Version();
  sent.mLimitsAt = aNow;
  for (const auto& [upstream, limit] : limits.All()) {
    wire::UpstreamLimit* const entry = aMessage.add_limits();
    entry->set_upstream(upstream);
    entry->set_started_ms(limit.mUpstream.mStartedMs);
    entry->set_per_second(limit.mPerSecond.value_or(0));
    entry->set_withdrawn(!limit.mPerSecond);
    entry->set_age_ms(EncodeAge(limit.mStatedAt, aNow));
  }
  return !limits.All().empty();
}

void
LoadExchange::OnLimits(const wire::GatewayUse& aMessage, Instant aNow)
{
  for (const wire::UpstreamLimit& entry : aMessage.limits()) {
    StatedLimit limit{ { entry.upstream(), entry.started_ms() },
                       std::nullopt,
                       aNow - DecodeAge(entry.age_ms()) };
    if (!entry.withdrawn()) {
      limit.mPerSecond = entry.per_second();
    }
    if (mState.mStatedLimits.Merge(limit)) {
      mState.mLog.Write(
        "limit-heard",
        { { "upstream", entry.upstream() },
          { "perSecond",
            limit.mPerSecond ? std::to_string(*limit.mPerSecond) : "none" } },
        aNow);
    }
  }
}

bool
LoadExchange::MayHear(const std::string& aSender) const
{
  return mIncarnations.contains(aSender) ||
         (mIncarnations.size() < kMaxSenders &&
          aSender.size() <= kMaxSenderNameBytes);
}

void
LoadExchange::OnMessage(const wire::Envelope& aEnvelope)
{
  if (!aEnvelope.has_gateway_use() || !MayHear(aEnvelope.sender_vm())) {
    return;
  }
  OnLoadMessage(aEnvelope);
  for (const wire::LeavingUpstream& entry : aEnvelope.gateway_use().leaving()) {
    mOnDraining({ entry.upstream(), entry.started_ms() });
  }
  mSent[aEnvelope.sender_vm()].mReportedDigest =
    aEnvelope.gateway_use().crash_digest();
  MergeCrashReports(
    aEnvelope.gateway_use().crash_reports(), SteadyNow(), mState.mCrashes);
  mState.mFreshness.OnApplied(aEnvelope.gateway_use().config_version());
  mSent[aEnvelope.sender_vm()].mSuspicions.OnReported(
    aEnvelope.gateway_use().suspicion_digest());
  for (const wire::RequestSuspicion& entry :
       aEnvelope.gateway_use().suspicions()) {
    mState.mRequestCrashes.Merge(DecodeSuspicion(entry, SteadyNow()),
                                 SteadyNow());
  }
  mSent[aEnvelope.sender_vm()].mRollouts.OnReported(
    aEnvelope.gateway_use().rollout_digest());
  MergeRollouts(
    aEnvelope.gateway_use(), SteadyNow(), mState.mRollouts.Evidence());
  OnStreamOrigins(aEnvelope.gateway_use(), SteadyNow());
  OnLimits(aEnvelope.gateway_use(), SteadyNow());
  mState.mWaitQueue.WakeFirstWaiters();
}

void
LoadExchange::OnLoadMessage(const wire::Envelope& aEnvelope)
{
  const Instant now = SteadyNow();
  const std::string& sender = aEnvelope.sender_vm();
  const wire::GatewayUse& message = aEnvelope.gateway_use();
  const std::optional<wire::GatewayUse::Direction> changed =
    DirectionOfChanges(message.direction());
  const wire::GatewayUse::Direction direction =
    changed.value_or(message.direction());
  ++mReceivedVersion;
  std::uint64_t& incarnation = mIncarnations[sender];
  if (std::exchange(incarnation, aEnvelope.sender_incarnation()) !=
      aEnvelope.sender_incarnation()) {
    // A restarted gateway knows no loads, suspicions and roll-outs.
    mSent[sender].mLoads.Restart();
    mSent[sender].mSuspicions.Restart();
    mSent[sender].mRollouts.Restart();
    mSent[sender].mStreamOrigins.Restart();
  }
  if (direction == wire::GatewayUse::BESIDE) {
    mRelayRoots.OnRootMessage(sender, message.data_centre(), now);
  }
  if (changed && message.sequence() == 0) {
    return; // A message without loads.
  }
  LoadReceiver& received = mReceived[sender][direction];
  if (!received.Apply({ !changed, message.sequence(), Decode(message) },
                      aEnvelope.sender_incarnation())) {
    return; // The next whole message makes up for the lost one.
  }
  switch (direction) {
    case wire::GatewayUse::UP:
      mAggregator.SetChild(sender, received.Loads(), now);
      break;
    case wire::GatewayUse::BESIDE:
      mAggregator.SetRemoteRoot(
        sender, message.data_centre(), received.Loads(), now);
      break;
    case wire::GatewayUse::DOWN:
      if (mParent == sender) {
        mAggregator.SetFromParent(received.Loads(), now);
      }
      break;
    default:
      break; // A direction that a later version has added.
  }
}

} // namespace cactusgw
