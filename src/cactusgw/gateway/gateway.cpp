#include "cactusgw/gateway/gateway.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/gateway/client_memory.hpp"
#include "cactusgw/gateway/gateway_call.hpp"
#include "cactusgw/gateway/message_headers.hpp"
#include "cactusgw/gateway/store_backoff.hpp"
#include "cactusgw/net/operator_port.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/programs/event_loop.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cactusgw {

namespace {

/// Interval of the periodic checks, such as those for expired registrations.
constexpr Milliseconds kTickInterval{ 25 };
/// Upstreams are treated as cold for this long after their data centre was
/// undrained, since their records lag behind. Covers a registration interval
/// and its delay.
constexpr Milliseconds kColdAfterUndrainTime{ 3000 };
/// Interval between two changes of the stored quarantines; the gateway learns
/// of a change by its watch meanwhile, and doesn't repeat it.
constexpr Milliseconds kQuarantineStoreInterval{ 500 };
constexpr Milliseconds kQuarantineStoreRetryDelay{ 2000 };
/// Time after its write in which a registration shows up in the list of
/// gateways. If it doesn't, the store was restored from a copy without it.
constexpr Milliseconds kRegistrationVisibleTime{ 2000 };
/// Interval at which the gateways that read the store check whether the stage
/// of a roll-out is due.
constexpr Milliseconds kRolloutStoreInterval{ 50 };
/// Time in which a written stage comes back by the watch; also the delay after
/// a failed write.
constexpr Milliseconds kRolloutVisibleTime{ 300 };
/// Time for a change in the store to reach the gateways of other data centres.
constexpr Milliseconds kWriteTurnTime{ 150 };

/// Counts the routes or workspaces whose requests are restricted to regions.
template<typename T>
std::int64_t
CountRestricted(const std::vector<T>& aItems)
{
  return std::count_if(aItems.begin(), aItems.end(), [](const T& aItem) {
    return aItem.mRegions.IsRestricted();
  });
}

/// Writes a line for each route or workspace whose regions differ from those of
/// the version before.
template<typename T>
void
LogChangedRegions(DecisionLog& aLog,
                  std::string_view aKind,
                  const std::vector<T>& aBefore,
                  const std::vector<T>& aItems)
{
  const AllowedRegions everywhere = AllowedRegions::Everywhere();
  std::map<std::string_view, const AllowedRegions*> known;
  for (const T& item : aBefore) {
    known.emplace(item.mName, &item.mRegions);
  }
  for (const T& item : aItems) {
    const auto it = known.find(item.mName);
    const AllowedRegions& before = it == known.end() ? everywhere : *it->second;
    if (item.mRegions != before) {
      aLog.Write("homes-changed",
                 { { aKind, item.mName },
                   { "homes", item.mRegions.Text() },
                   { "before", before.Text() } },
                 SteadyNow());
    }
  }
}

/// Keeps the last of several changes of an object. A registration that expired
/// and was written again before it was read has not been missing.
template<typename Value>
void
KeepLastChanges(std::vector<Change<Value>>& aChanges)
{
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < aChanges.size(); ++i) {
    last[aChanges[i].mName] = i;
  }
  std::size_t index = 0;
  std::erase_if(aChanges, [&](const Change<Value>& aChange) {
    return last[aChange.mName] != index++;
  });
}

} // namespace

Gateway::Gateway(boost::asio::io_context& aContext,
                 GatewaySettings aSettings,
                 HeaderNames aNames,
                 GenerationControl aControl,
                 PeerRegistration aRegistration,
                 QuarantineRecords aQuarantines,
                 RolloutRecords aRollouts,
                 StreamVersionRecords aStreamVersions,
                 StreamOriginRecords aStreamOrigins)
  : mContext(aContext)
  , mState(std::move(aSettings),
           std::move(aNames),
           aControl.mStart,
           static_cast<bool>(aStreamVersions.mRead))
  , mMigrator(aContext,
              mState,
              std::move(aControl),
              [this](const DrainingUpstream& aUpstream) {
                OnDrainNotice(aUpstream, "upstream", DrainEvidence::Stated);
              })
  , mRegistration(std::move(aRegistration))
  , mQuarantineRecords(std::move(aQuarantines))
  , mQuarantineKeeper(QuarantineKeeper::Create())
  , mRolloutRecords(std::move(aRollouts))
  , mStreamRecords(aContext,
                   mState,
                   mStore,
                   std::move(aStreamVersions),
                   std::move(aStreamOrigins))
  , mTunnels(aContext, mState)
{
  mState.mMigrator = &mMigrator;
  mStore.SetRestoreHandler(
    [this](StoreCollection aCollection) { OnStoreRestored(aCollection); });
  mState.mOnStatedDraining = [this](const DrainingUpstream& aUpstream) {
    OnDrainNotice(aUpstream, "answer", DrainEvidence::Stated);
  };
}

Result<std::unique_ptr<Gateway>>
Gateway::Start(boost::asio::io_context& aContext,
               GatewaySettings aSettings,
               HeaderNames aNames,
               GenerationControl aControl,
               PeerRegistration aRegistration,
               QuarantineRecords aQuarantines,
               RolloutRecords aRollouts,
               StreamVersionRecords aStreamVersions,
               StreamOriginRecords aStreamOrigins)
{
  std::unique_ptr<Gateway> gateway{ new Gateway{ aContext,
                                                 std::move(aSettings),
                                                 std::move(aNames),
                                                 std::move(aControl),
                                                 std::move(aRegistration),
                                                 std::move(aQuarantines),
                                                 std::move(aRollouts),
                                                 std::move(aStreamVersions),
                                                 std::move(aStreamOrigins) } };
  const Result<void> listening = gateway->Listen();
  if (!listening) {
    return listening.error();
  }
  Gateway* const self = gateway.get();
  SpawnLoop(aContext.get_executor(), "drain-poll", [self] {
    return self->mMigrator.PollWhileWatchIsDown();
  });
  SpawnLoop(aContext.get_executor(), "quarantine-store", [self] {
    return self->StoreQuarantines();
  });
  if (gateway->mState.mRollouts.IsEnabled() &&
      gateway->mRolloutRecords.mWrite) {
    SpawnLoop(aContext.get_executor(), "rollout-store", [self] {
      return self->StoreRollouts();
    });
  }
  gateway->mStreamRecords.Start(
    { [self] { return self->MayWriteStreamVersions(); },
      [self] { return self->IsFirstOfStore(); },
      [self] { return self->WriteDelay(); } });
  RunEvery(
    aContext,
    [] { return kTickInterval; },
    [self] { return self->Tick(); },
    "tick");
  const GatewaySettings& settings = gateway->mState.mSettings;
  gateway->mState.mLog.WriteAlways(
    "started",
    { { "vm", settings.mPlace.mVm },
      { "dataCentre", settings.mPlace.mDataCentre },
      { "listen", settings.mListen } });
  return gateway;
}

Result<void>
Gateway::Listen()
{
  const GatewaySettings& settings = mState.mSettings;
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    mContext,
    settings.mListen,
    [this] { return HttpLimits(); },
    [this](HttpExchange& aExchange) { return ServeClient(aExchange); },
    ClientMemory(mState));
  if (!server) {
    return server.error();
  }
  mServer = std::move(server.value());
  const HttpHandler operators = [this](HttpExchange& aExchange) {
    return ServeOperator(aExchange);
  };
  Result<std::unique_ptr<HttpServer>> ready = HttpServer::Listen(
    mContext,
    settings.mReadyListen,
    [] { return HttpServerLimits{}; },
    operators);
  if (!ready) {
    return ready.error();
  }
  mReadyServer = std::move(ready.value());
  Result<std::unique_ptr<HttpServer>> metrics = HttpServer::Listen(
    mContext,
    settings.mMetricsListen,
    [] { return HttpServerLimits{}; },
    operators);
  if (!metrics) {
    return metrics.error();
  }
  mMetricsServer = std::move(metrics.value());
  Result<std::unique_ptr<PeerExchange>> peers =
    PeerExchange::Listen(mContext, mState);
  if (!peers) {
    return peers.error();
  }
  mPeers = std::move(peers.value());
  mRelay = std::make_unique<StoreRelay>(mState, mStore, *mPeers);
  mRelay->OnStarted(SteadyNow());
  mLoadExchange = std::make_unique<LoadExchange>(
    mState, *mPeers, [this](const DrainingUpstream& aUpstream) {
      OnDrainNotice(aUpstream, "peer", DrainEvidence::Notice);
    });
  mPeers->SetHandler(
    [this](std::string_view aIdentity, const wire::Envelope& aEnvelope) {
      mRelay->OnMessage(aIdentity, aEnvelope);
      mLoadExchange->OnMessage(aEnvelope);
      if (aEnvelope.gateway_use().stream_origins_size() > 0) {
        mStreamRecords.OnOriginsHeard();
      }
    });
  return mTunnels.Listen();
}

HttpServerLimits
Gateway::HttpLimits() const
{
  HttpServerLimits limits;
  if (mState.mTable) {
    const ClientLimits& configured = mState.mTable->Config().mLimits;
    limits.mMaxHeaderBytes = configured.mMaxHeaderBytes;
    limits.mMaxBodyBytes = configured.mMaxBodyBytes;
    limits.mReadHeaderTime = configured.mHeaderTimeout;
    limits.mIdleTime = configured.mIdleTime;
  }
  return limits;
}

Task<void>
Gateway::ServeClient(HttpExchange& aExchange)
{
  GatewayCall call{ mState, aExchange };
  co_await call.Run();
}

Task<void>
Gateway::ServeOperator(HttpExchange& aExchange)
{
  OperatorPages pages;
  pages.mReady = IsReady();
  pages.mMetrics = [this] { return WriteMetrics(); };
  pages.mEvents = [this] { return mState.mRecorder.WriteJsonLines(); };
  pages.mStatus = [] { return std::string{ "{}" }; };
  co_await ServeOperatorPage(aExchange, "", std::move(pages));
}

std::string
Gateway::WriteMetrics()
{
  mState.mMetrics.mConfigAge.Set(
    std::chrono::duration<double>(mState.mFreshness.Age(BootNow())).count());
  // Counted for the whole process.
  MetricRegistry tasks;
  tasks
    .AddCounter({ "cactusgw_task_failures_total",
                  "Tasks that ended by an exception.",
                  "" })
    .Add(TaskFailures());
  SetMemoryMetrics(mState);
  return mState.mMetrics.Write() + tasks.Write();
}

bool
Gateway::IsReady() const
{
  return !mIsStopping && mState.mTable && mHasUpstreamList &&
         mHasDrainedDataCentres &&
         (mHasRollouts || !mState.mRollouts.IsEnabled()) &&
         mState.mFreshness.IsFresh(BootNow()) && mTunnels.HasWay(SteadyNow());
}

bool
Gateway::Tick()
{
  const Instant now = SteadyNow();
  RemoveExpired(now);
  mStore.Tick(now, mRelay->IsStoreReachable());
  RegisterIfLost(now);
  mTunnels.Tick(now);
  UpdateRollouts(now);
  mState.UpdateStreamVersionsIfDue(now);
  mState.UpdateOutliers(now);
  mState.mPool.CloseExpired(now);
  UpdateQuarantines(now);
  mState.UpdateLimits(now);
  mRelay->Tick(now);
  mLoadExchange->Tick(mRelay->Parent(now), now);
  mState.mWaitQueue.WakeFirstWaiters();
  return true;
}

void
Gateway::RemoveExpired(Instant aNow)
{
  // Until the store answers again, nobody can register again.
  if (!mState.mStoreOutages.IsAnswering()) {
    return;
  }
  for (const std::string& id : mState.mDirectory.RemoveExpired(aNow)) {
    OnDirectoryChange(DirectoryChange::DrainingOrRemoved, id);
  }
}

void
Gateway::UpdateQuarantines(Instant aNow)
{
  UpdateRequestQuarantines(aNow);
  const QuarantineChanges changes = mState.mCrashes.Update(aNow);
  for (const Quarantine& quarantine : changes.mBegun) {
    mState.mLog.WriteAlways(
      "parts-quarantined",
      { { "parts", JoinParts(quarantine.mParts) },
        { "crashes", static_cast<std::int64_t>(quarantine.mCrashes) } });
  }
  for (const Quarantine& quarantine : changes.mEnded) {
    mState.mLog.WriteAlways("parts-released",
                            { { "parts", JoinParts(quarantine.mParts) } });
  }
  mState.mMetrics.mQuarantines.Set(
    static_cast<double>(mState.mCrashes.Quarantines().size()));
  mState.mMetrics.mRequestQuarantines.Set(
    static_cast<double>(mState.mRequestCrashes.Quarantined().size()));
}

void
Gateway::UpdateRequestQuarantines(Instant aNow)
{
  const RequestQuarantineChanges changes = mState.mRequestCrashes.Update(aNow);
  for (const RequestFingerprint request : changes.mBegun) {
    mState.mLog.Write(
      "request-quarantined", { { "fingerprint", ToString(request) } }, aNow);
  }
  for (const RequestFingerprint request : changes.mEnded) {
    mState.mLog.Write(
      "request-released", { { "fingerprint", ToString(request) } }, aNow);
  }
}

std::vector<Quarantine>
Gateway::QuarantinesToStore() const
{
  std::vector<Quarantine> quarantines = mState.mCrashes.Quarantines();
  for (const RequestFingerprint request :
       mState.mRequestCrashes.Quarantined()) {
    quarantines.push_back(
      { StoredFormOf(request), RequestCrashes::kMinCrashes });
  }
  return quarantines;
}

void
Gateway::OnQuarantineChanges(
  const std::vector<Change<StoredQuarantine>>& aChanges)
{
  for (const Change<StoredQuarantine>& change : aChanges) {
    mQuarantineKeeper.OnChange(change.mName, change.mValue);
  }
  mState.mCrashes.SetStored(mQuarantineKeeper.StoredParts());
  mState.mRequestCrashes.SetStored(mQuarantineKeeper.StoredRequests());
  UpdateQuarantines(SteadyNow());
}

void
Gateway::OnRolloutChanges(std::vector<Change<StoredRollout>> aChanges)
{
  mHasRollouts = true;
  for (Change<StoredRollout>& change : aChanges) {
    mState.mRollouts.OnStored(
      change.mName, std::move(change.mValue), SteadyNow());
  }
  mState.mRollouts.OnStoreListed();
  mState.mWaitQueue.WakeFirstWaiters();
}

void
Gateway::UpdateRollouts(Instant aNow)
{
  for (const RolloutEvent& event : mState.mRollouts.Update(aNow)) {
    mState.mMetrics.mRolloutStage.Set(static_cast<double>(event.mStage));
    mState.mLog.WriteAlways(
      event.mName,
      { { "service", event.mOrder.mId.mService },
        { "target", event.mOrder.mId.mTarget },
        { "stage", ToString(event.mStage) },
        { "ageMs", event.mAge.count() },
        { "durationMs", event.mOrder.mDuration.count() },
        { "verdict", ToString(event.mVerdict.mSoundness) },
        { "route", event.mVerdict.mRoute },
        { "measure", event.mVerdict.mMeasure },
        { "targetResponses",
          static_cast<std::int64_t>(event.mVerdict.mTargetResponses) },
        { "targetFailures",
          static_cast<std::int64_t>(event.mVerdict.mTargetFailures) },
        { "sentToTarget", static_cast<std::int64_t>(event.mSentToTarget) },
        { "sent", static_cast<std::int64_t>(event.mSent) } });
  }
  for (const std::string& service : mState.mRollouts.LeavingServices()) {
    for (const KnownUpstream* const known :
         mState.mDirectory.Serving(service)) {
      if (mState.mRollouts.IsLeaving(service, known->mRecord.mVersion)) {
        mMigrator.OnDraining(known->mRecord.mId);
      }
    }
  }
}

bool
Gateway::MayWriteStreamVersions() const
{
  return mHasUpstreamList && ShouldReadStore() && !mIsStopping;
}

bool
Gateway::IsFirstOfStore() const
{
  return ShouldReadStore() && !mIsStopping && mRelay->IsStoreReachable() &&
         mLoadExchange->IsFirstRoot(SteadyNow());
}

Milliseconds
Gateway::WriteDelay() const
{
  const RegionMap& dataCentres = mState.mSettings.mRegions;
  return kWriteTurnTime *
         std::distance(dataCentres.begin(),
                       dataCentres.find(mState.mSettings.mPlace.mDataCentre));
}

Task<void>
Gateway::StoreRollouts()
{
  net::steady_timer timer{ mContext };
  // What is due for each service, and since when.
  std::map<std::string, std::pair<RolloutStage, Instant>> due;
  while (true) {
    timer.expires_after(kRolloutStoreInterval);
    co_await timer.async_wait(net::use_awaitable);
    const Instant now = SteadyNow();
    std::vector<RolloutEdit> edits;
    if (ShouldReadStore() && !mIsStopping) {
      edits = mState.mRollouts.NextEdits(
        [&](std::string_view aService) {
          return mState.VersionsOf(aService, now);
        },
        now);
    }
    std::map<std::string, std::pair<RolloutStage, Instant>> known =
      std::exchange(due, {});
    for (RolloutEdit& edit : edits) {
      const RolloutStage stage = edit.mStage;
      const std::string service = edit.mOrder.mId.mService;
      const auto it = known.find(service);
      const bool isNew = it == known.end() || it->second.first != stage;
      std::pair<RolloutStage, Instant>& since =
        due.emplace(service, isNew ? std::pair{ stage, now } : it->second)
          .first->second;
      if (now - since.second < WriteDelay()) {
        continue;
      }
      const Result<void> done =
        co_await mRolloutRecords.mWrite(std::move(edit));
      mState.mLog.WriteAlways(
        "rollout-status",
        { { "service", service },
          { "stage", ToString(stage) },
          { "outcome", done ? std::string{ "done" } : done.error().mDetail } });
      // The stage is not written again before it can have come back.
      since.second = SteadyNow() + kRolloutVisibleTime - WriteDelay();
    }
  }
}

void
Gateway::OnStreamVersionChanges(
  std::vector<Change<StoredStreamVersion>> aChanges)
{
  const Instant now = SteadyNow();
  for (Change<StoredStreamVersion>& change : aChanges) {
    mState.mStreamVersions.OnStored(
      change.mName, std::move(change.mValue), now);
  }
  mState.mStreamVersions.OnListed();
  mState.UpdateStreamVersions(now);
  mState.mWaitQueue.WakeFirstWaiters();
}

Task<void>
Gateway::StoreQuarantines()
{
  net::steady_timer timer{ mContext };
  Milliseconds delay = kQuarantineStoreInterval;
  while (true) {
    timer.expires_after(delay);
    co_await timer.async_wait(net::use_awaitable);
    const std::optional<QuarantineEdit> edit =
      mQuarantineKeeper.NextEdit(QuarantinesToStore(), WallClockMs());
    if (!edit || !ShouldReadStore() || mIsStopping) {
      delay = kQuarantineStoreInterval;
      continue;
    }
    const Result<void> done = co_await Store(*edit);
    delay = done ? kQuarantineStoreInterval : kQuarantineStoreRetryDelay;
  }
}

Task<Result<void>>
Gateway::Store(QuarantineEdit aEdit)
{
  std::string name = aEdit.mRemoved;
  Result<void> done = boost::outcome_v2::success();
  if (aEdit.mAdded) {
    name = QuarantineName(aEdit.mAdded->mParts);
    done = co_await mQuarantineRecords.mAdd(*aEdit.mAdded);
  } else {
    done = co_await mQuarantineRecords.mRemove(name);
  }
  mState.mLog.Write(
    "quarantine-stored",
    { { "name", name },
      { "change", aEdit.mAdded ? "added" : "removed" },
      { "outcome", done ? std::string{ "done" } : done.error().mDetail } },
    SteadyNow());
  co_return done;
}

bool
Gateway::ShouldReadStore() const
{
  return mRelay->ShouldRead(SteadyNow());
}

bool
Gateway::ShouldReadPeers() const
{
  return mRelay->ShouldReadPeers(SteadyNow());
}

Milliseconds
Gateway::MaxStoreBackoff() const
{
  // The first gateways notice soon that the store is back, and the others get
  // its content from them.
  return std::min(StoreBackoff::kMaxBackoff *
                    (1 + static_cast<int>(mRelay->Rank())),
                  StoreBackoff::kMaxBackoffWithRelay);
}

void
Gateway::OnConfigUnusable(const Failure& aFailure)
{
  mState.mFreshness.SetUsable(false);
  mState.mLog.WriteAlways("config-unusable",
                          { { "detail", aFailure.mDetail } });
}

void
Gateway::OnConfig(GatewayConfig aConfig)
{
  mState.mFreshness.SetUsable(true);
  mState.mFreshness.OnRead(aConfig.mVersion);
  mState.mFreshness.OnOwnVersion(aConfig.mVersion);
  const std::uint64_t known =
    mState.mTable ? mState.mTable->Config().mVersion : 0;
  if (mState.mTable && aConfig.mVersion <= known) {
    if (aConfig.mVersion < known) {
      mState.mLog.Write(
        "config-ignored",
        { { "version", static_cast<std::int64_t>(aConfig.mVersion) },
          { "applied", static_cast<std::int64_t>(known) } },
        SteadyNow());
    }
    return;
  }
  mState.mLog.Write(
    "config-applied",
    { { "version", static_cast<std::int64_t>(aConfig.mVersion) },
      { "before", static_cast<std::int64_t>(known) },
      { "routes", static_cast<std::int64_t>(aConfig.mRoutes.size()) },
      { "routesWithHomes", CountRestricted(aConfig.mRoutes) },
      { "workspacesWithHomes", CountRestricted(aConfig.mWorkspaces) } },
    SteadyNow());
  const GatewayConfig none;
  const GatewayConfig& before = mState.mTable ? mState.mTable->Config() : none;
  LogChangedRegions(mState.mLog, "route", before.mRoutes, aConfig.mRoutes);
  LogChangedRegions(
    mState.mLog, "workspace", before.mWorkspaces, aConfig.mWorkspaces);
  mState.mMetrics.mConfigVersion.Set(static_cast<double>(aConfig.mVersion));
  mState.mTable = std::make_shared<const RoutingTable>(
    RoutingTable::Create(std::move(aConfig), mState.mTable.get(), SteadyNow()));
  mState.UpdateStreamVersions(SteadyNow());
  mState.mWaitQueue.WakeFirstWaiters();
}

void
Gateway::OnStoreRestored(StoreCollection aCollection)
{
  const StoreVersion version = mStore.Version(aCollection);
  // Registrations that the copy lacks are written again at once. Collections
  // that seldom change show the era many seconds later.
  if (version.mEra > mRestoredEra) {
    mRestoredEra = version.mEra;
    mState.mDirectory.OnStoreReturned(SteadyNow());
  }
  if (aCollection == StoreCollection::Quarantines) {
    mQuarantineKeeper.OnStoreRestored();
  }
  mState.mMetrics.mStoreEra.Set(static_cast<double>(version.mEra));
  mState.mLog.WriteAlways(
    "store-restored",
    { { "collection", static_cast<std::int64_t>(aCollection) },
      { "era", static_cast<std::int64_t>(version.mEra) },
      { "revision", static_cast<std::int64_t>(version.mRevision) },
      { "withheld",
        static_cast<std::int64_t>(mStore.WithheldCount(aCollection)) } });
}

void
Gateway::OnConfigConfirmed(BootTime aAsOf)
{
  mState.mFreshness.OnConfirmed(aAsOf);
}

void
Gateway::OnDrainNotice(const DrainingUpstream& aUpstream,
                       std::string_view aFrom,
                       DrainEvidence aEvidence)
{
  if (!mState.mDirectory.MarkDraining(
        aUpstream.mId, aUpstream.mStartedMs, aEvidence)) {
    return;
  }
  mState.mLog.Write("leaving-heard",
                    { { "upstream", aUpstream.mId }, { "from", aFrom } },
                    SteadyNow());
  OnDirectoryChange(DirectoryChange::DrainingOrRemoved, aUpstream.mId);
}

void
Gateway::RecordDraining(const std::string& aId)
{
  const KnownUpstream* const known = mState.mDirectory.Find(aId);
  if (known != nullptr) {
    mState.mDrainNotices.Add({ aId, known->mRecord.mStartedMs }, SteadyNow());
  }
}

void
Gateway::OnDirectoryChange(DirectoryChange aChange, const std::string& aId)
{
  switch (aChange) {
    case DirectoryChange::Added:
      mState.Forget(aId);
      LogAdded(aId);
      mState.mWaitQueue.WakeFirstWaiters();
      break;
    case DirectoryChange::DrainingOrRemoved:
      mState.mPool.Forget(aId);
      mState.mPromptCaches.Forget(aId);
      mMigrator.OnDraining(aId);
      RecordDraining(aId);
      mState.mLog.Write(
        "upstream-leaving", { { "upstream", aId } }, SteadyNow());
      break;
    case DirectoryChange::None:
    case DirectoryChange::Updated:
      break;
  }
}

void
Gateway::LogAdded(const std::string& aId)
{
  const KnownUpstream* const known = mState.mDirectory.Find(aId);
  if (known == nullptr) {
    return;
  }
  const UpstreamRecord& record = known->mRecord;
  mState.mRollouts.OnUpstreamSeen(
    record.mService, record.mVersion, SteadyNow());
  mState.mLog.Write("upstream-added",
                    { { "upstream", aId },
                      { "startedMs", record.mStartedMs },
                      { "address", record.mAddress },
                      { "dataCentre", record.mDataCentre },
                      { "region", mState.RegionOf(record.mDataCentre) },
                      { "version", record.mVersion } },
                    SteadyNow());
}

void
Gateway::OnUpstreamChanges(std::vector<Change<UpstreamRecord>> aChanges)
{
  const Instant now = SteadyNow();
  mHasUpstreamList = true;
  KeepLastChanges(aChanges);
  for (Change<UpstreamRecord>& change : aChanges) {
    if (change.mValue) {
      LogIfMissing(change.mName, "upstream-registered-again", now);
      OnDirectoryChange(mState.mDirectory.Put(std::move(*change.mValue), now),
                        change.mName);
    } else {
      OnRemoved(change.mName, now);
    }
  }
  mState.UpdateStreamVersions(now);
}

void
Gateway::OnRemoved(const std::string& aId, Instant aNow)
{
  const KnownUpstream* const known = mState.mDirectory.Find(aId);
  const std::int64_t startedMs =
    known == nullptr ? 0 : known->mRecord.mStartedMs;
  const DirectoryChange effect = mState.mDirectory.Remove(aId, aNow);
  if (effect == DirectoryChange::DrainingOrRemoved) {
    // RecordDraining can't find the record any more once it is removed.
    mState.mDrainNotices.Add({ aId, startedMs }, aNow);
  }
  LogIfMissing(aId, "upstream-missing", aNow);
  OnDirectoryChange(effect, aId);
}

void
Gateway::LogIfMissing(const std::string& aId,
                      std::string_view aEvent,
                      Instant aNow)
{
  const KnownUpstream* const known = mState.mDirectory.Find(aId);
  if (known == nullptr || !known->mIsMissing) {
    return;
  }
  const auto milliseconds = [](Instant::duration aTime) {
    return std::chrono::duration_cast<Milliseconds>(aTime).count();
  };
  mState.mLog.Write(
    aEvent,
    { { "upstream", aId },
      { "missingMs", milliseconds(aNow - known->mMissingSince) },
      { "graceMs", milliseconds(mState.mDirectory.GraceUntil() - aNow) } },
    aNow);
}

void
Gateway::OnDrainedChanges(const std::vector<Change<std::string>>& aChanges)
{
  mHasDrainedDataCentres = true;
  for (const Change<std::string>& change : aChanges) {
    mState.mDirectory.SetDrained(change.mName, change.mValue.has_value());
    if (change.mValue) {
      mState.mLog.Write(
        "data-centre-drained", { { "dataCentre", change.mName } }, SteadyNow());
    } else {
      OnUndrained(change.mName);
    }
  }
  mState.mWaitQueue.WakeFirstWaiters();
}

void
Gateway::OnUndrained(const std::string& aDataCentre)
{
  const Instant now = SteadyNow();
  mState.mColdAfterUndrainUntil[aDataCentre] = now + kColdAfterUndrainTime;
  mState.mLog.Write(
    "data-centre-taken-back", { { "dataCentre", aDataCentre } }, now);
}

GatewayPeer
Gateway::Self() const
{
  const GatewaySettings& settings = mState.mSettings;
  return { settings.mPlace.mVm,
           settings.mPeerListen,
           settings.mPlace.mDataCentre,
           settings.mCapacity,
           settings.mTunnelListen };
}

void
Gateway::RegisterIfLost(Instant aNow)
{
  const bool isLost =
    mStore.Version(StoreCollection::Gateways) != StoreVersion{} &&
    !mStore.Holds(StoreCollection::Gateways, mState.mSettings.mPlace.mVm);
  if (isLost && mRegistered && !mIsStopping &&
      aNow - mRegisteredAt >= kRegistrationVisibleTime) {
    mRegistered.reset();
    RegisterIfMissing();
  }
}

void
Gateway::RegisterIfMissing()
{
  if (mRegistered == Self()) {
    return;
  }
  if (!std::exchange(mIsRegistering, true)) {
    SpawnLoop(
      mContext.get_executor(), "registration", [this] { return Register(); });
  }
}

Task<void>
Gateway::Register()
{
  constexpr Milliseconds kRegistrationRetryDelay{ 500 };
  const GatewayPeer self = Self();
  net::steady_timer timer{ mContext };
  while (!mIsStopping) {
    const Result<void> done = co_await mRegistration.mRegister(self);
    if (done) {
      mState.mLog.WriteAlways("registered", { { "vm", self.mName } });
      mRegistered = self;
      mRegisteredAt = SteadyNow();
      break;
    }
    mState.mLog.Write("registration-failed",
                      { { "reason", done.error().mDetail } },
                      SteadyNow());
    timer.expires_after(kRegistrationRetryDelay);
    co_await timer.async_wait(net::use_awaitable);
  }
  mIsRegistering = false;
  if (mIsStopping) {
    co_await Deregister();
  }
}

Task<void>
Gateway::Deregister()
{
  const std::string& self = mState.mSettings.mPlace.mVm;
  const Result<void> done = co_await mRegistration.mWithdraw(self);
  mState.mLog.WriteAlways(
    "registration-withdrawn",
    { { "vm", self },
      { "outcome", done ? std::string{ "done" } : done.error().mDetail } });
}

void
Gateway::OnPeerChanges(const std::vector<Change<GatewayPeer>>& aChanges)
{
  for (const Change<GatewayPeer>& change : aChanges) {
    if (change.mName == mState.mSettings.mPlace.mVm) {
      mRegistered = change.mValue;
    }
    if (change.mValue) {
      mPeers->SetPeer(*change.mValue);
      mRelay->SetPeer(*change.mValue);
      mLoadExchange->SetPeer(*change.mValue);
      mTunnels.SetPeer(*change.mValue);
    } else {
      mPeers->RemovePeer(change.mName);
      mRelay->RemovePeer(change.mName);
      mLoadExchange->RemovePeer(change.mName);
      mTunnels.RemovePeer(change.mName);
    }
  }
  mRelay->OnPeersListed(SteadyNow());
  RegisterIfMissing();
  UpdateGatewayCount();
}

void
Gateway::UpdateGatewayCount()
{
  const std::uint32_t known =
    static_cast<std::uint32_t>(mPeers->PeerCount()) + 1;
  const std::string& vm = mState.mSettings.mPlace.mVm;
  mState.SetGateways(known, mPeers->CountBefore(vm));
  mState.mRequestCrashes.SetPlace(
    { mState.mGatewayRank, known, StableHash(vm) });
}

void
Gateway::OnStoreLost(std::string_view aWhat, const Failure& aFailure)
{
  mState.mLog.WriteAlways("store-lost",
                          { { "collection", aWhat },
                            { "reason", ToString(aFailure.mCode) },
                            { "detail", aFailure.mDetail } });
}

void
Gateway::OnStoreRecovered(std::string_view aWhat)
{
  mState.mLog.WriteAlways("store-back", { { "collection", aWhat } });
}

void
Gateway::Reload(const SettingsResult<GatewaySettings>& aSettings)
{
  if (!aSettings) {
    mState.mLog.WriteAlways("reload-refused",
                            { { "faults", ToString(aSettings.error()) } });
    return;
  }
  mState.Reload(aSettings.value());
  mState.mLog.WriteAlways("reloaded",
                          { { "vm", mState.mSettings.mPlace.mVm } });
}

void
Gateway::Stop(std::function<void()> aOnStopped)
{
  mIsStopping = true;
  mState.mLog.WriteAlways(
    "stopping",
    { { "openRequests",
        static_cast<std::int64_t>(mServer->OpenExchanges()) } });
  SpawnTask(
    mContext.get_executor(), "stop", StopGracefully(std::move(aOnStopped)));
}

void
Gateway::GiveUpOpenCalls()
{
  // A call may end, and leave the set, while it is interrupted.
  const std::set<GatewayCall*> calls = *mState.mCalls;
  for (GatewayCall* const call : calls) {
    if (mState.mCalls->contains(call)) {
      call->GiveUp();
    }
  }
}

Task<void>
Gateway::FinishOpenRequests()
{
  constexpr Milliseconds kOpenRequestPollInterval{ 20 };
  const StopSchedule schedule = StopSchedule::Create(
    SteadyNow(), mState.mSettings.mUnreadyTime, mState.mSettings.mStopTime);
  mState.mStop = schedule;
  net::steady_timer timer{ mContext };
  mServer->Drain();
  mTunnels.Drain();
  mRelay->Stop();
  // A registration in progress could reach the store after its withdrawal, so
  // that it withdraws itself.
  if (!mIsRegistering) {
    SpawnTask(mContext.get_executor(), "withdrawal", Deregister());
  }
  timer.expires_at(schedule.AcceptUntil());
  co_await timer.async_wait(net::use_awaitable);
  mServer->StopAccepting();
  // Requests that wait in sockets are counted only once they are read.
  do {
    timer.expires_after(kOpenRequestPollInterval);
    co_await timer.async_wait(net::use_awaitable);
  } while ((mServer->OpenRequests() > 0 || mTunnels.Carried() > 0) &&
           SteadyNow() < schedule.AnswerAt());
  GiveUpOpenCalls();
  // A process that was held up until now still answers.
  const Instant end =
    std::max(schedule.End(), SteadyNow() + StopSchedule::kAnswerMargin);
  while (mServer->OpenRequests() > 0 && SteadyNow() < end) {
    mServer->RefuseUnread();
    timer.expires_after(kOpenRequestPollInterval);
    co_await timer.async_wait(net::use_awaitable);
  }
  mState.mLog.WriteAlways(
    "stopped",
    {
      { "cutRequests", static_cast<std::int64_t>(mServer->OpenExchanges()) },
    });
}

Task<void>
Gateway::StopGracefully(std::function<void()> aOnStopped)
{
  try {
    co_await FinishOpenRequests();
  } catch (...) {
    ReportTaskFailure("stop", std::current_exception());
  }
  aOnStopped();
}

} // namespace cactusgw
