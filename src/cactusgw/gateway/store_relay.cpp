#include "cactusgw/gateway/store_relay.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

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

GatewayPeer
SelfOf(const GatewaySettings& aSettings)
{
  return { aSettings.mPlace.mVm,
           aSettings.mPeerListen,
           aSettings.mPlace.mDataCentre,
           aSettings.mCapacity };
}

} // namespace

StoreRelay::StoreRelay(GatewayState& aState,
                       StoreView& aView,
                       PeerExchange& aPeers)
  : mState(aState)
  , mView(aView)
  , mPeers(aPeers)
  , mChoice(RelayChoice::Create(SelfOf(aState.mSettings)))
{
}

void
StoreRelay::Tick(Instant aNow)
{
  std::erase_if(mHeld, [&](const std::pair<const std::string, Held>& aEntry) {
    return AnswerIfDue(aEntry.second, aNow);
  });
  if (mQuestion && Since(mQuestion->mAskedAt, aNow) > kAnswerTime) {
    mState.mLog.Write(
      "store-relay-silent", { { "relay", mQuestion->mRelay } }, aNow);
    mChoice.OnUnanswered(mQuestion->mRelay, aNow);
    mQuestion.reset();
  }
  const std::optional<std::string> relay = mChoice.Relay(aNow);
  if (relay && (!mQuestion || mQuestion->mRelay != *relay)) {
    Ask(*relay, aNow);
  }
  const std::string followed = mChoice.ShouldRead(aNow) || !relay ? "" : *relay;
  if (followed != mFollowed) {
    mFollowed = followed;
    mState.mLog.Write(
      "store-read-by",
      { { "gateway",
          followed.empty() ? mState.mSettings.mPlace.mVm : followed } },
      aNow);
  }
}

void
StoreRelay::Ask(const std::string& aRelay, Instant aNow)
{
  mQuestion = Question{ aRelay, ++mLastId, aNow, BootNow() };
  wire::Envelope envelope;
  wire::StoreQuestion* const question = envelope.mutable_store_question();
  question->set_id(mLastId);
  for (const std::uint64_t position : mView.Positions()) {
    question->add_known_revisions(position);
  }
  mPeers.SendTo(aRelay, envelope); // A lost request times out.
}

void
StoreRelay::OnMessage(std::string_view aIdentity,
                      const wire::Envelope& aEnvelope)
{
  mChoice.OnHeard(aEnvelope.sender_vm());
  if (aEnvelope.has_store_question()) {
    OnQuestion(aIdentity, aEnvelope.sender_vm(), aEnvelope.store_question());
  } else if (aEnvelope.has_store_answer()) {
    OnAnswer(aEnvelope.sender_vm(), aEnvelope.store_answer());
  }
}

void
StoreRelay::OnQuestion(std::string_view aIdentity,
                       const std::string& aPeer,
                       const wire::StoreQuestion& aQuestion)
{
  const Instant now = SteadyNow();
  mChoice.OnAsked(now);
  Held held;
  held.mIdentity = std::string{ aIdentity };
  held.mId = aQuestion.id();
  held.mSince = now;
  const std::size_t named = std::min<std::size_t>(
    kStoreCollections, aQuestion.known_revisions().size());
  for (std::size_t i = 0; i < named; ++i) {
    held.mKnown[i] = aQuestion.known_revisions(static_cast<int>(i));
  }
  mHeld[aPeer] = std::move(held);
}

bool
StoreRelay::IsInContact() const
{
  return !mStopping && !mState.mIsBlind && mState.mFreshness.IsKnown() &&
         mState.mFreshness.Age(BootNow()) < kContactAge;
}

bool
StoreRelay::AnswerIfDue(const Held& aHeld, Instant aNow)
{
  const Milliseconds held = Since(aHeld.mSince, aNow);
  const bool isInContact = IsInContact();
  const bool isNews = isInContact && mView.HasNews(aHeld.mKnown);
  if (!isNews && held < kHoldTime && !mStopping) {
    return false;
  }
  wire::Envelope envelope;
  wire::StoreAnswer* const answer = envelope.mutable_store_answer();
  answer->set_id(aHeld.mId);
  answer->set_in_contact(isInContact);
  answer->set_held_ms(static_cast<std::uint32_t>(held.count()));
  answer->set_age_ms(
    static_cast<std::uint32_t>(mState.mFreshness.Age(BootNow()).count()));
  answer->set_lapse_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
    0, Since(aNow, mState.mDirectory.LapsesUntil()).count())));
  for (std::size_t i = 0; isInContact && i < kStoreCollections; ++i) {
    const StoreCollection collection = static_cast<StoreCollection>(i);
    wire::StoreCollectionUpdate* const update = answer->add_updates();
    update->set_collection(static_cast<std::uint32_t>(i));
    Encode(mView.Since(collection, aHeld.mKnown[i]), *update);
  }
  mPeers.Reply(aHeld.mIdentity, envelope);
  return true;
}

void
StoreRelay::OnAnswer(const std::string& aPeer, const wire::StoreAnswer& aAnswer)
{
  if (!mQuestion || mQuestion->mId != aAnswer.id()) {
    return; // The request has timed out or was replaced.
  }
  const Question question = *std::exchange(mQuestion, std::nullopt);
  const Instant now = SteadyNow();
  if (!aAnswer.in_contact()) {
    mChoice.OnNoContact(aPeer, now);
    mState.mLog.Write(
      "store-relay-without-contact", { { "relay", aPeer } }, now);
    return;
  }
  mChoice.OnAnswered(aPeer, now);
  mState.mIsBlind = false;
  mState.mDirectory.ExtendLapse(now + Milliseconds{ aAnswer.lapse_ms() });
  for (const wire::StoreCollectionUpdate& update : aAnswer.updates()) {
    if (update.collection() < kStoreCollections && update.revision() != 0) {
      mView.Apply(static_cast<StoreCollection>(update.collection()),
                  Decode(update));
    }
  }
  // The relay's boot clock has a different origin, so only durations are used.
  // The response can't have been sent before the request had been held for
  // held_ms.
  mState.mFreshness.OnConfirmed(question.mAskedAtBoot +
                                Milliseconds{ aAnswer.held_ms() } -
                                Milliseconds{ aAnswer.age_ms() });
}

} // namespace cactusgw
