#ifndef CACTUSGW_AGENT_INTERNAL_PLATFORM_SYNC_IMPL_HPP
#define CACTUSGW_AGENT_INTERNAL_PLATFORM_SYNC_IMPL_HPP

/// Implementation of PlatformSync.

#include "cactusgw/agent/platform_sync.hpp"
#include "cactusgw/config/layering.hpp"
#include "cactusgw/config/ownership_document.hpp"
#include "cactusgw/core/hash.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace cactusgw {

template<PlatformClient Client>
PlatformSync<Client>::PlatformSync(Client& aClient,
                                   AgentState& aState,
                                   boost::asio::io_context& aContext,
                                   LeaseEvents aEvents)
  : mClient(aClient)
  , mState(aState)
  , mContext(aContext)
  , mEvents(std::move(aEvents))
  , mLog("platform")
  , mRandom(StableHash(aState.Vm()) + aState.Self().mIncarnation)
{
}

template<PlatformClient Client>
void
PlatformSync<Client>::Start()
{
  boost::asio::co_spawn(mContext, LeaseLoop(), boost::asio::detached);
  boost::asio::co_spawn(mContext, OwnershipLoop(), boost::asio::detached);
  boost::asio::co_spawn(mContext, WatchLoop(), boost::asio::detached);
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::Resign()
{
  const Instant now = SteadyNow();
  if (!mState.mLease.IsHeld(now)) {
    co_return;
  }
  mState.mLease.Resign();
  const LeaseStep step = mState.mLease.Next(now, mRandom());
  if (step.mAction == LeaseAction::Write) {
    co_await WriteLease(step);
  }
  mLog.Info("The lease was given up.");
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::LeaseLoop()
{
  while (!mState.mStopping) {
    // Without a configuration the group that backs the lease is not known.
    if (mState.mConfig.Revision() != 0) {
      co_await LeaseOnce();
      CheckLeaseChange();
    }
    co_await Sleep(LeasePause());
  }
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::LeaseOnce()
{
  const Instant now = SteadyNow();
  if (!mHeld && mState.HearsHolder(now)) {
    co_return; // The holder is well; nothing to read.
  }
  const LeaseStep step = mState.mLease.Next(now, mRandom());
  if (step.mAction == LeaseAction::Read) {
    co_await ReadLease();
  } else if (step.mAction == LeaseAction::Write) {
    co_await WriteLease(step);
  }
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::ReadLease()
{
  Result<StoredObject> object =
    co_await mClient.Get(LeaseKey(mState.DataCentre()));
  NoteReachable(object.has_value());
  if (!object) {
    mState.mLease.OnReadFailed();
    co_return;
  }
  std::optional<LeaseRecord> record;
  if (object.value().mVersion != 0) {
    Result<LeaseRecord> parsed = ParseLease(object.value().mValue);
    if (!parsed) {
      mLog.Error("The lease object is malformed.");
      co_return;
    }
    record = parsed.value();
  }
  mState.mLease.OnRead(object.value().mVersion, record, SteadyNow());
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::WriteLease(LeaseStep aStep)
{
  const std::string key = LeaseKey(mState.DataCentre());
  const std::string value = SerializeLease(aStep.mRecord);
  const WriteReply reply =
    co_await mClient.Put(key, aStep.mExpectedVersion, value);
  NoteReachable(reply.mOutcome != WriteOutcome::Unavailable &&
                reply.mOutcome != WriteOutcome::Unknown);
  switch (reply.mOutcome) {
    case WriteOutcome::Written:
      mState.mLease.OnWritten(reply.mVersion);
      break;
    case WriteOutcome::Conflict:
      mState.mLease.OnConflict();
      break;
    case WriteOutcome::Unknown:
      mState.mLease.OnWriteUnknown();
      break;
    case WriteOutcome::Unavailable:
      break;
  }
}

template<PlatformClient Client>
void
PlatformSync<Client>::CheckLeaseChange()
{
  const Instant now = SteadyNow();
  const bool held = mState.mLease.IsHeld(now);
  if (held == mHeld) {
    return;
  }
  mHeld = held;
  EventRecorder& recorder = mState.Recorder();
  if (!held) {
    recorder.Record(EventKind::LeaseLost, "", mState.DataCentre());
    mLog.Warn("The lease was lost.");
    mEvents.mOnLost();
    return;
  }
  const std::uint64_t fence = mState.mLease.FencingToken();
  mOwnershipRead = false;
  mState.ApplyLeaseHolder(mState.Vm(), fence);
  recorder.Record(EventKind::LeaseTaken,
                  "",
                  mState.DataCentre(),
                  static_cast<std::int64_t>(fence));
  mLog.Info("The lease of " + mState.DataCentre() +
            " was taken with fencing number " + std::to_string(fence) + ".");
  mEvents.mOnTaken();
}

template<PlatformClient Client>
Milliseconds
PlatformSync<Client>::LeasePause() const
{
  const bool hearsHolder = mState.HearsHolder(SteadyNow());
  if (mHeld || hearsHolder || mState.mConfig.Revision() == 0) {
    return kLeasePause;
  }
  return kLeaseReadPause * (1 + static_cast<int>(mState.Rank()));
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::OwnershipLoop()
{
  while (!mState.mStopping) {
    if (mHeld) {
      co_await PlanOnce();
    }
    co_await Sleep(kLeasePause);
  }
}

template<PlatformClient Client>
boost::asio::awaitable<bool>
PlatformSync<Client>::ReadOwnership(std::string aDataCentre)
{
  Result<StoredObject> object = co_await mClient.Get(OwnershipKey(aDataCentre));
  NoteReachable(object.has_value());
  if (!object) {
    co_return false;
  }
  const Instant now = SteadyNow();
  if (object.value().mVersion != 0) {
    Result<OwnershipPlan> plan = ParseOwnership(object.value().mValue);
    if (!plan) {
      mLog.Error("The ownership object is malformed.");
      co_return false;
    }
    plan.value().mVersion = object.value().mVersion;
    mState.ApplyOwnership(aDataCentre, plan.value(), now);
  }
  co_return true;
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::PlanOnce()
{
  if (!mOwnershipRead) {
    mOwnershipRead = co_await ReadOwnership(mState.DataCentre());
    if (!mOwnershipRead) {
      co_return;
    }
    // Owners under the former holder may act for a while yet.
    mListeningSince = SteadyNow();
    mState.mMembers.OnLeaseTaken(mState.mOwnership.mOwners, mListeningSince);
    mEvents.mOnTaken();
    co_return;
  }
  // A new holder hears all others before it plans.
  const Instant now = SteadyNow();
  if (now < mListeningSince + mState.HeartbeatInterval() * 2) {
    co_return;
  }
  mState.mMembers.OnHeartbeat(mState.Self(), 0, now);
  OwnershipPlan plan = PlanOwnership(mState.mOwnership,
                                     mState.LocalUpstreams(),
                                     mState.mMembers.Candidates(now));
  const bool mayWrite =
    mState.mLease.IsHeld(now) && !mState.mLease.IsExtended(now);
  if (SameOwners(plan, mState.mOwnership) || !mayWrite) {
    co_return;
  }
  plan.mFencingToken = mState.mLease.FencingToken();
  const WriteReply reply =
    co_await mClient.Put(OwnershipKey(mState.DataCentre()),
                         mState.mOwnership.mVersion,
                         SerializeOwnership(plan));
  if (reply.mOutcome != WriteOutcome::Written) {
    // Another write, or an answer lost: what is there now decides.
    co_await ReadOwnership(mState.DataCentre());
    co_return;
  }
  plan.mVersion = reply.mVersion;
  mState.ApplyOwnership(mState.DataCentre(), plan, SteadyNow());
  mState.Recorder().Record(EventKind::OwnershipWritten,
                           "",
                           mState.DataCentre(),
                           static_cast<std::int64_t>(plan.mVersion));
  mLog.Info("Ownership version " + std::to_string(plan.mVersion) +
            " was written.");
}

template<PlatformClient Client>
bool
PlatformSync<Client>::IsWatcher() const
{
  return mHeld || mState.mConfig.Revision() == 0 || mState.Rank() < kWatchers;
}

template<PlatformClient Client>
boost::asio::awaitable<bool>
PlatformSync<Client>::ReadAll()
{
  // A watch that knows nothing answers with all objects at once: one call.
  std::vector<WatchedKey> keys = WatchedKeys();
  for (WatchedKey& key : keys) {
    key.mKnownVersion = 0;
  }
  Result<std::vector<StoredObject>> objects =
    co_await mClient.Watch(std::move(keys), kReadAllTime);
  NoteReachable(objects.has_value());
  if (!objects) {
    co_return false;
  }
  for (const StoredObject& object : objects.value()) {
    co_await TakeObject(object);
  }
  co_return true;
}

template<PlatformClient Client>
std::vector<WatchedKey>
PlatformSync<Client>::WatchedKeys() const
{
  std::vector<WatchedKey> keys{ { kConfigHeadKey, mHeadVersion },
                                { kDrainKey, mDrainVersion } };
  for (const std::string& dataCentre : mState.ReachableDataCentres()) {
    const OwnershipPlan* plan = mState.FindOwnership(dataCentre);
    keys.push_back(
      { OwnershipKey(dataCentre), plan == nullptr ? 0 : plan->mVersion });
  }
  return keys;
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::WatchLoop()
{
  constexpr Milliseconds kIdlePause{ 1000 };
  bool isCurrent = co_await ReadAll();
  while (!mState.mStopping) {
    if (!IsWatcher()) {
      isCurrent = false;
      co_await Sleep(kIdlePause);
      continue;
    }
    if (!isCurrent) {
      isCurrent = co_await ReadAll();
      if (!isCurrent) {
        co_await Sleep(Jittered(kIdlePause));
        continue;
      }
    }
    const Instant started = SteadyNow();
    Result<std::vector<StoredObject>> changed =
      co_await mClient.Watch(WatchedKeys(), kWatchTime);
    NoteReachable(changed.has_value());
    if (!changed) {
      isCurrent = false;
      co_await Sleep(Jittered(kIdlePause));
      continue;
    }
    for (const StoredObject& object : changed.value()) {
      co_await TakeObject(object);
    }
    // A watch that ended without news may have stopped reporting: look.
    isCurrent = !changed.value().empty() && SteadyNow() < started + kWatchTime;
  }
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::TakeObject(const StoredObject& aObject)
{
  if (aObject.mVersion == 0) {
    co_return;
  }
  if (aObject.mKey == kConfigHeadKey) {
    mHeadVersion = aObject.mVersion;
    co_await TakeHead(aObject.mValue);
  } else if (aObject.mKey == kDrainKey) {
    mDrainVersion = aObject.mVersion;
    const Result<std::vector<DrainState>> states = ParseDrains(aObject.mValue);
    if (states) {
      for (const DrainState& state : states.value()) {
        mState.ApplyDrain(state);
      }
    }
  } else {
    Result<OwnershipPlan> plan = ParseOwnership(aObject.mValue);
    if (plan) {
      plan.value().mVersion = aObject.mVersion;
      const std::string dataCentre = DataCentreOfOwnershipKey(aObject.mKey);
      mState.ApplyOwnership(dataCentre, plan.value(), SteadyNow());
    }
  }
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::TakeHead(std::string aText)
{
  const Result<ConfigHead> head = ParseConfigHead(aText);
  if (!head) {
    mLog.Error("The configuration's head is malformed.");
    co_return;
  }
  const ApplyOutcome outcome =
    mState.ApplyConfigHead(head.value(), SteadyNow());
  if (outcome != ApplyOutcome::NeedsWhole && outcome != ApplyOutcome::Refused) {
    co_return;
  }
  Result<StoredObject> snapshot =
    co_await mClient.Get(head.value().mSnapshotKey);
  if (!snapshot || snapshot.value().mVersion == 0) {
    mHeadVersion = 0;
    co_return;
  }
  ConfigUpdate update;
  update.mRevision = head.value().mSnapshotRevision;
  update.mDocument = snapshot.value().mValue;
  update.mDigest = DigestOfText(update.mDocument);
  mState.ApplyConfig(update, SteadyNow());
  const ApplyOutcome patched =
    mState.ApplyConfigHead(head.value(), SteadyNow());
  if (patched == ApplyOutcome::Refused) {
    mLog.Error("A configuration was refused: it does not match its digest.");
  }
}

template<PlatformClient Client>
boost::asio::awaitable<bool>
PlatformSync<Client>::WriteDrains()
{
  constexpr int kTries = 5;
  for (int i = 0; i < kTries; ++i) {
    Result<StoredObject> object = co_await mClient.Get(kDrainKey);
    NoteReachable(object.has_value());
    if (!object) {
      co_return false;
    }
    co_await TakeObject(object.value());
    const WriteReply reply =
      co_await mClient.Put(kDrainKey,
                           object.value().mVersion,
                           SerializeDrains(mState.mDrains.States()));
    if (reply.mOutcome == WriteOutcome::Written) {
      mDrainVersion = reply.mVersion;
      co_return true;
    }
    co_await Sleep(Jittered(kLeasePause));
  }
  co_return false;
}

template<PlatformClient Client>
boost::asio::awaitable<void>
PlatformSync<Client>::Sleep(Milliseconds aTime)
{
  boost::asio::steady_timer timer{ mContext, aTime };
  boost::system::error_code ec;
  co_await timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

template<PlatformClient Client>
void
PlatformSync<Client>::NoteReachable(bool aReachable)
{
  if (aReachable != mState.mPlatformReachable) {
    mState.mPlatformReachable = aReachable;
    mState.Recorder().Record(aReachable ? EventKind::PlatformBack
                                        : EventKind::PlatformLost,
                             "",
                             mState.Settings().mPlatform);
    if (aReachable) {
      mLog.Info("The platform is reachable.");
    } else {
      mLog.Warn("The platform can't be reached.");
    }
  }
  if (aReachable) {
    mState.mPlatformReachedAt = SteadyNow();
  }
}

template<PlatformClient Client>
Milliseconds
PlatformSync<Client>::Jittered(Milliseconds aTime)
{
  const std::uint64_t span = static_cast<std::uint64_t>(aTime.count());
  return aTime + Milliseconds{ mRandom() % span };
}

} // namespace cactusgw

#endif // CACTUSGW_AGENT_INTERNAL_PLATFORM_SYNC_IMPL_HPP
