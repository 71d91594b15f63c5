#include "cactusgw/gateway/store_relay.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Requests held at a time; a sender may make up names.
constexpr std::size_t kMaxHeldRequests = 1024;

Milliseconds
Since(Instant aThen, Instant aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aThen);
}

CollectionUpdate
Decode(const wire::StoreCollectionUpdate& aMessage)
{
  CollectionUpdate update;
  update.mIsWhole = aMessage.whole();
  update.mRevision = aMessage.revision();
  update.mEra = aMessage.era();
  for (const wire::StoreObject& object : aMessage.objects()) {
    StoredObject stored{ object.name(), object.revision(), std::nullopt };
    if (!object.gone()) {
      stored.mDocument = object.document();
    }
    update.mObjects.push_back(std::move(stored));
  }
  return update;
}

void
Encode(CollectionUpdate aUpdate, wire::StoreCollectionUpdate& aMessage)
{
  aMessage.set_whole(aUpdate.mIsWhole);
  aMessage.set_revision(aUpdate.mRevision);
  aMessage.set_era(aUpdate.mEra);
  for (StoredObject& object : aUpdate.mObjects) {
    wire::StoreObject* const entry = aMessage.add_objects();
    entry->set_name(object.mName);
    entry->set_revision(object.mRevision);
    entry->set_gone(!object.mDocument);
    if (object.mDocument) {
      entry->set_document(std::move(*object.mDocument));
    }
  }
}

void
Encode(const UpdatePart& aPart, wire::UpdatePart& aMessage)
{
  aMessage.set_digest(aPart.mPosition.mDigest);
  aMessage.set_offset(static_cast<std::uint32_t>(aPart.mPosition.mOffset));
  aMessage.set_packed_bytes(static_cast<std::uint32_t>(aPart.mPackedBytes));
  aMessage.set_plain_bytes(static_cast<std::uint32_t>(aPart.mPlainBytes));
  aMessage.set_content(std::string{ aPart.mContent });
}

/// The result refers to the message.
UpdatePart
Decode(const wire::UpdatePart& aMessage)
{
  return { { aMessage.digest(), aMessage.offset() },
           aMessage.packed_bytes(),
           aMessage.plain_bytes(),
           aMessage.content() };
}

/// When the relay responded, at the earliest: it can't have done so before it
/// had held the request for held_ms. The relay's boot clock has a different
/// origin, so only durations are used.
BootTime
HeldUntil(BootTime aSentAt, const wire::StoreAnswer& aAnswer)
{
  return std::min(BootNow(), aSentAt + Milliseconds{ aAnswer.held_ms() });
}

/// How long before its response the store had last answered the relay; empty if
/// unknown.
std::optional<Milliseconds>
StoreAge(const wire::StoreAnswer& aAnswer)
{
  if (aAnswer.store_age_ms() > 0) {
    return Milliseconds{ aAnswer.store_age_ms() - 1 };
  }
  // A gateway of an earlier release states only the age of its configuration.
  if (!aAnswer.in_contact()) {
    return std::nullopt;
  }
  return Milliseconds{ aAnswer.no_config() ? 0 : aAnswer.age_ms() };
}

GatewayPeer
SelfOf(const GatewaySettings& aSettings)
{
  return { aSettings.mPlace.mVm,
           aSettings.mPeerListen,
           aSettings.mPlace.mDataCentre,
           aSettings.mCapacity,
           aSettings.mTunnelListen };
}

/// The data centres of the region that the gateway runs in.
std::set<std::string>
RegionOf(const GatewaySettings& aSettings)
{
  const auto self = aSettings.mRegions.find(aSettings.mPlace.mDataCentre);
  std::set<std::string> dataCentres;
  for (const auto& [dataCentre, region] : aSettings.mRegions) {
    if (self != aSettings.mRegions.end() && region == self->second) {
      dataCentres.insert(dataCentre);
    }
  }
  return dataCentres;
}

} // namespace

StoreRelay::StoreRelay(GatewayState& aState,
                       StoreView& aView,
                       PeerExchange& aPeers)
  : mState(aState)
  , mView(aView)
  , mPeers(aPeers)
  , mSelector(RelaySelector::Create(SelfOf(aState.mSettings),
                                    RegionOf(aState.mSettings)))
  , mSender(UpdateSender::Create())
  , mReceiver(UpdateReceiver::Create())
{
}

void
StoreRelay::Tick(Instant aNow)
{
  std::erase_if(mHeldRequests,
                [&](const std::pair<const std::string, HeldRequest>& aEntry) {
                  return RespondIfDue(aEntry.second, aNow);
                });
  if (mPending && Since(mPending->mSentAt, aNow) > kResponseTimeout) {
    mState.mLog.Write(
      "store-relay-silent", { { "relay", mPending->mRelay } }, aNow);
    mSelector.OnTimeout(mPending->mRelay, aNow);
    mPending.reset();
  }
  const std::optional<std::string> relay = mSelector.Relay(aNow);
  if (relay && (!mPending || mPending->mRelay != *relay)) {
    SendRequest(*relay, aNow);
  }
  const std::string activeRelay =
    mSelector.ShouldRead(aNow) || !relay ? "" : *relay;
  if (activeRelay != mLoggedRelay) {
    mLoggedRelay = activeRelay;
    mState.mLog.Write(
      "store-read-by",
      { { "gateway",
          activeRelay.empty() ? mState.mSettings.mPlace.mVm : activeRelay } },
      aNow);
  }
}

void
StoreRelay::SendRequest(const std::string& aRelay, Instant aNow)
{
  mPending = PendingRequest{ aRelay, ++mLastId, aNow, BootNow() };
  wire::Envelope envelope;
  wire::StoreQuestion* const request = envelope.mutable_store_question();
  request->set_id(mLastId);
  for (const StoreVersion& version : mView.Versions()) {
    request->add_known_revisions(version.mRevision);
    request->add_known_eras(version.mEra);
  }
  request->set_accepts_parts(true);
  const std::optional<UpdatePosition> position = mReceiver.Position();
  if (position) {
    request->mutable_receiving()->set_digest(position->mDigest);
    request->mutable_receiving()->set_offset(
      static_cast<std::uint32_t>(position->mOffset));
  }
  mPeers.SendTo(aRelay, envelope); // A lost request times out.
}

void
StoreRelay::OnMessage(std::string_view aIdentity,
                      const wire::Envelope& aEnvelope)
{
  mSelector.OnMessageFrom(aEnvelope.sender_vm());
  if (aEnvelope.has_store_question()) {
    OnRequest(aIdentity, aEnvelope.sender_vm(), aEnvelope.store_question());
  } else if (aEnvelope.has_store_answer()) {
    OnResponse(aEnvelope.sender_vm(), aEnvelope.store_answer());
  }
}

void
StoreRelay::OnRequest(std::string_view aIdentity,
                      const std::string& aPeer,
                      const wire::StoreQuestion& aQuestion)
{
  if (mHeldRequests.size() >= kMaxHeldRequests &&
      !mHeldRequests.contains(aPeer)) {
    return; // The sender's request times out.
  }
  const Instant now = SteadyNow();
  HeldRequest held;
  held.mIdentity = std::string{ aIdentity };
  held.mId = aQuestion.id();
  held.mReceivedAt = now;
  const std::size_t named = std::min<std::size_t>(
    kStoreCollections, aQuestion.known_revisions().size());
  const std::size_t withEra =
    std::min<std::size_t>(named, aQuestion.known_eras().size());
  for (std::size_t i = 0; i < named; ++i) {
    const int at = static_cast<int>(i);
    // A gateway of an earlier release knows no eras. It gets the changes since
    // its revision.
    const std::uint64_t era =
      i < withEra ? aQuestion.known_eras(at)
                  : mView.Version(static_cast<StoreCollection>(i)).mEra;
    held.mKnownVersions[i] = { aQuestion.known_revisions(at), era };
  }
  // Changes of collections that the sender doesn't know are no news to it.
  for (std::size_t i = named; i < kStoreCollections; ++i) {
    held.mKnownVersions[i] = mView.Version(static_cast<StoreCollection>(i));
  }
  held.mAcceptsParts = aQuestion.accepts_parts();
  if (aQuestion.has_receiving()) {
    held.mReceiving = UpdatePosition{ aQuestion.receiving().digest(),
                                      aQuestion.receiving().offset() };
    mHeldRequests.erase(aPeer);
    RespondIfDue(held, now);
    return;
  }
  mHeldRequests[aPeer] = std::move(held);
}

bool
StoreRelay::IsStoreReachable() const
{
  return !mIsStopping && !mState.mIsUpstreamWatchDown &&
         mState.mFreshness.HasContact(kMaxContactAge, BootNow());
}

std::uint64_t
StoreRelay::AppliedVersion() const
{
  return mState.mTable ? mState.mTable->Config().mVersion : 0;
}

bool
StoreRelay::RespondIfDue(const HeldRequest& aHeld, Instant aNow)
{
  const Milliseconds held = Since(aHeld.mReceivedAt, aNow);
  const bool isInContact = IsStoreReachable();
  const bool hasChanges =
    isInContact && mView.HasChangesSince(aHeld.mKnownVersions);
  const Milliseconds longest =
    mState.mFreshness.HasEverHadContact() ? kLongPollTime : kStartPollTime;
  if (!hasChanges && !aHeld.mReceiving && held < longest && !mIsStopping) {
    return false;
  }
  wire::Envelope envelope;
  wire::StoreAnswer* const answer = envelope.mutable_store_answer();
  answer->set_id(aHeld.mId);
  answer->set_in_contact(isInContact);
  answer->set_era(mView.Era());
  answer->set_config_version(AppliedVersion());
  answer->set_held_ms(static_cast<std::uint32_t>(held.count()));
  answer->set_no_config(!mState.mFreshness.IsKnown());
  answer->set_age_ms(
    static_cast<std::uint32_t>(mState.mFreshness.Age(BootNow()).count()));
  answer->set_lapse_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
    0, Since(aNow, mState.mDirectory.GraceUntil()).count())));
  const std::optional<Instant> answeredAt = mState.mStoreOutages.AnsweredAt();
  if (answeredAt) {
    answer->set_store_age_ms(
      static_cast<std::uint32_t>(1 + Since(*answeredAt, aNow).count()));
  }
  if (isInContact) {
    AddUpdates(aHeld, *answer);
  }
  mPeers.Reply(aHeld.mIdentity, envelope);
  return true;
}

void
StoreRelay::AddUpdates(const HeldRequest& aHeld, wire::StoreAnswer& aAnswer)
{
  if (aHeld.mReceiving) {
    const std::optional<UpdatePart> part = mSender.Continue(*aHeld.mReceiving);
    if (part) {
      Encode(*part, *aAnswer.mutable_part());
    }
  }
  for (std::size_t i = 0; i < kStoreCollections; ++i) {
    wire::StoreCollectionUpdate update;
    update.set_collection(static_cast<std::uint32_t>(i));
    Encode(
      mView.Since(static_cast<StoreCollection>(i), aHeld.mKnownVersions[i]),
      update);
    AddUpdate(aHeld, std::move(update), aAnswer);
  }
}

void
StoreRelay::AddUpdate(const HeldRequest& aHeld,
                      wire::StoreCollectionUpdate aUpdate,
                      wire::StoreAnswer& aAnswer)
{
  if (!aHeld.mAcceptsParts ||
      aUpdate.ByteSizeLong() <= UpdateSender::kMaxWholeBytes) {
    *aAnswer.add_updates() = std::move(aUpdate);
  } else if (!aAnswer.has_part()) {
    Encode(mSender.Begin(aUpdate.SerializeAsString()), *aAnswer.mutable_part());
  }
}

void
StoreRelay::Apply(const wire::StoreCollectionUpdate& aUpdate, Instant aNow)
{
  if (aUpdate.collection() < kStoreCollections && aUpdate.revision() != 0) {
    mView.Apply(static_cast<StoreCollection>(aUpdate.collection()),
                Decode(aUpdate),
                aNow);
  }
}

void
StoreRelay::OnPart(const std::string& aPeer, const wire::UpdatePart& aPart)
{
  const Result<std::optional<std::string>> whole =
    mReceiver.OnPart(Decode(aPart));
  const Instant now = SteadyNow();
  if (!whole) {
    mState.mLog.Write(
      "store-relay-part-ignored",
      { { "relay", aPeer }, { "reason", whole.error().mDetail } },
      now);
    return;
  }
  wire::StoreCollectionUpdate update;
  if (whole.value() && update.ParseFromString(*whole.value())) {
    Apply(update, now);
  }
}

void
StoreRelay::OnLateResponse(const std::string& aPeer,
                           const wire::StoreAnswer& aAnswer)
{
  mState.mLog.Write(
    "store-relay-late",
    { { "relay", aPeer },
      { "bytes", static_cast<std::int64_t>(aAnswer.ByteSizeLong()) },
      { "heldMs", static_cast<std::int64_t>(aAnswer.held_ms()) },
      { "outstanding", static_cast<std::int64_t>(mLastId - aAnswer.id()) } },
    SteadyNow());
  // A part is the same whenever it arrives, so that a transfer goes on even if
  // each response is late.
  if (aAnswer.has_part() && mReceiver.IsNext(Decode(aAnswer.part()))) {
    OnPart(aPeer, aAnswer.part());
  }
}

void
StoreRelay::OnResponse(const std::string& aPeer,
                       const wire::StoreAnswer& aAnswer)
{
  if (!mPending || mPending->mId != aAnswer.id()) {
    OnLateResponse(aPeer, aAnswer);
    return;
  }
  const PendingRequest request = *std::exchange(mPending, std::nullopt);
  const Instant now = SteadyNow();
  NoteStoreAnswer(request, aPeer, aAnswer, now);
  // A relay that has not noticed the restoration of the store reports what is
  // outdated.
  if (!aAnswer.in_contact() || aAnswer.era() < mView.Era()) {
    mSelector.OnStoreLost(aPeer, now);
    mState.mLog.Write(
      "store-relay-without-contact", { { "relay", aPeer } }, now);
    return;
  }
  mSelector.OnResponse(aPeer, now);
  mState.mIsUpstreamWatchDown = false;
  for (const wire::StoreCollectionUpdate& update : aAnswer.updates()) {
    Apply(update, now);
  }
  if (aAnswer.has_part()) {
    OnPart(aPeer, aAnswer.part());
  } else {
    mReceiver.Reset();
  }
  Confirm(request, aPeer, aAnswer);
  if (mReceiver.Position() && mSelector.Relay(now) == aPeer) {
    SendRequest(aPeer, now);
  }
}

void
StoreRelay::NoteStoreAnswer(const PendingRequest& aRequest,
                            const std::string& aPeer,
                            const wire::StoreAnswer& aAnswer,
                            Instant aNow)
{
  const Instant respondedAt =
    aNow - std::chrono::duration_cast<Instant::duration>(
             BootNow() - HeldUntil(aRequest.mSentAtBoot, aAnswer));
  const std::optional<Milliseconds> age = StoreAge(aAnswer);
  if (age) {
    mState.OnStoreAnswered(respondedAt - *age, aPeer);
  } else {
    mState.mStoreOutages.OnFailure(respondedAt);
  }
}

void
StoreRelay::Confirm(const PendingRequest& aRequest,
                    const std::string& aPeer,
                    const wire::StoreAnswer& aAnswer)
{
  const BootTime heldUntil = HeldUntil(aRequest.mSentAtBoot, aAnswer);
  if (aAnswer.no_config()) {
    mState.mFreshness.OnMissing(heldUntil);
  } else if (aAnswer.config_version() > AppliedVersion()) {
    // The relay's knowledge is complete, this gateway's is not.
    mState.mFreshness.OnContact(heldUntil);
    mState.mFreshness.OnApplied(aAnswer.config_version());
    mState.mLog.Write(
      "config-behind-relay",
      { { "relay", aPeer },
        { "applied", static_cast<std::int64_t>(AppliedVersion()) },
        { "relayApplies",
          static_cast<std::int64_t>(aAnswer.config_version()) } },
      SteadyNow());
  } else {
    mState.mFreshness.OnConfirmed(heldUntil - Milliseconds{ aAnswer.age_ms() });
  }
}

} // namespace cactusgw
