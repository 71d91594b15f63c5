#include "gateway_fixture.hpp"

#include "free_address.hpp"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace cactusgw::test {

namespace {

constexpr Milliseconds kCallTime{ 20'000 };

HeaderNames
TestNames()
{
  HeaderNames names;
  names.mRequestId = "Request-Id";
  names.mRemainingTime = "Time-Left";
  names.mExpectedUpstream = "Expected";
  names.mWorkspace = "Workspace";
  names.mNotRun = "Not-Run";
  names.mRateLimit = "Rate-Limit";
  names.mBrittle = "Brittle";
  names.mDraining = "Draining";
  names.mSeal = "Seal";
  names.mTokenCounts = "Tokens";
  names.mPromptParts = "Prompt-Parts";
  names.mLengthHint = "Hint";
  names.mLastEventId = "Last-Event-Id";
  names.mResumes = "Resumes";
  names.mMigratedFrom = "Moved-From";
  names.mBackupTo = "Backup-To";
  names.mReserved = {
    "Time-Left", "Expected", "Workspace", "Moved-From", "Backup-To"
  };
  return names;
}

GatewayRoute
MakeRoute(const std::string& aPrefix,
          RouteKind aKind,
          const std::string& aService)
{
  GatewayRoute route;
  route.mName = aPrefix;
  route.mHost = "host.test";
  route.mPathPrefix = aPrefix;
  route.mKind = aKind;
  route.mTargets = { { aService, 1 } };
  route.mTimeout = Milliseconds{ 5000 };
  route.mLatencyObjective = Milliseconds{ 1000 };
  route.mMaxAttempts = IsRetryable(aKind) ? 2 : 1;
  return route;
}

} // namespace

GatewayTest::GatewayTest()
{
  mSettings.mPlace = { "vm-1", "dc-a" };
  mSettings.mRegions = { { "dc-a", "north" }, { "dc-b", "south" } };
  mSettings.mListen = FreeAddress();
  mSettings.mReadyListen = FreeAddress();
  mSettings.mMetricsListen = FreeAddress();
  mSettings.mPeerListen = FreeAddress();
  mSettings.mBounds.mKeyFreshness = Milliseconds{ 60'000 };
  mSettings.mBounds.mRetryExtra = 1000;
  mSettings.mUnreadyTime = Milliseconds{ 10 };
  mSettings.mStopTime = Milliseconds{ 5000 };
  mControl.mCopy = [this](CopyOrder aOrder) -> Task<CopyReply> {
    mCopies.push_back(std::move(aOrder));
    co_return CopyReply{ CopyOutcome::Copied, "handle" };
  };
  mControl.mIsDraining = [](std::string) -> Task<Result<bool>> {
    co_return false;
  };
  mControl.mFree = [this](std::string, std::string aHandle) -> Task<void> {
    mFreed.push_back(std::move(aHandle));
    co_return;
  };
}

GatewayConfig
GatewayTest::StandardConfig() const
{
  GatewayConfig config;
  config.mVersion = 1;
  config.mRoutes = {
    MakeRoute("/read/", RouteKind::Idempotent, "app"),
    MakeRoute("/write/", RouteKind::NonIdempotent, "app"),
    MakeRoute("/stream/", RouteKind::Stream, "engine"),
    MakeRoute("/resumable/", RouteKind::ResumableStream, "engine"),
  };
  GatewayService app;
  app.mName = "app";
  GatewayService engine;
  engine.mName = "engine";
  engine.mEngine = EngineProfile{ 8, 10'000, 1000, 1000.0, true };
  config.mServices = { app, engine };
  Workspace workspace;
  workspace.mName = "workspace";
  workspace.mKeys = { "key" };
  config.mWorkspaces = { workspace };
  return config;
}

std::unique_ptr<Gateway>
GatewayTest::MakeGateway(const GatewaySettings& aSettings,
                         net::io_context& aContext)
{
  PeerRegistration registration;
  registration.mRegister = [](GatewayPeer) -> Task<Result<void>> {
    co_return boost::outcome_v2::success();
  };
  registration.mWithdraw = [](std::string) -> Task<Result<void>> {
    co_return boost::outcome_v2::success();
  };
  QuarantineRecords quarantines;
  quarantines.mAdd =
    [this](StoredQuarantine aQuarantine) -> Task<Result<void>> {
    mStoredQuarantines.push_back(aQuarantine.mParts);
    co_return boost::outcome_v2::success();
  };
  quarantines.mRemove = [](std::string) -> Task<Result<void>> {
    co_return boost::outcome_v2::success();
  };
  Result<std::unique_ptr<Gateway>> gateway = Gateway::Start(
    aContext,
    aSettings,
    TestNames(),
    mControl,
    std::move(registration),
    std::move(quarantines),
    {},
    mVersionRecords ? mVersionRecords->Functions() : StreamVersionRecords{});
  EXPECT_TRUE(gateway.has_value());
  if (gateway && mVersionRecords) {
    mVersionRecords->Connect(*gateway.value());
    // The only gateway reads the store itself.
    gateway.value()->OnPeerChanges({});
  }
  return gateway ? std::move(gateway.value()) : nullptr;
}

void
GatewayTest::StartGateway()
{
  mGateway = MakeGateway(mSettings);
  ASSERT_NE(mGateway, nullptr);
  mGateway->OnConfig(StandardConfig());
  mGateway->OnConfigConfirmed(BootNow() - mConfigAge);
  std::vector<Change<UpstreamRecord>> upstreams;
  for (const UpstreamRecord& record : mRecords) {
    upstreams.push_back({ record.mId, record });
  }
  mGateway->OnUpstreamChanges(std::move(upstreams));
  mGateway->OnDrainedChanges({});
}

ScriptedUpstream&
GatewayTest::AddUpstream(const std::string& aId,
                         const std::string& aService,
                         Script aScript,
                         const std::string& aDataCentre)
{
  mUpstreams.push_back(
    std::make_unique<ScriptedUpstream>(mContext, std::move(aScript)));
  UpstreamRecord record;
  record.mId = aId;
  record.mService = aService;
  record.mAddress = mUpstreams.back()->Address();
  record.mDataCentre = aDataCentre;
  record.mVersion = mUpstreamVersion;
  // Upstreams that are added earlier get more slots, so that they are selected
  // first regardless of the tie-break rank.
  record.mSlots = mRecords.empty() ? 100 : mRecords.size() < 2 ? 2 : 1;
  mRecords.push_back(record);
  return *mUpstreams.back();
}

void
GatewayTest::Register(const std::string& aId, std::int64_t aStartedMs)
{
  for (UpstreamRecord record : mRecords) {
    if (record.mId == aId) {
      record.mStartedMs = aStartedMs;
      mGateway->OnUpstreamChanges({ { aId, record } });
    }
  }
}

void
GatewayTest::Configure(std::uint64_t aVersion,
                       const std::function<void(GatewayConfig&)>& aEdit)
{
  GatewayConfig config = StandardConfig();
  config.mVersion = aVersion;
  aEdit(config);
  mGateway->OnConfig(std::move(config));
}

void
GatewayTest::Drain(const std::string& aId)
{
  for (const UpstreamRecord& record : mRecords) {
    if (record.mId == aId) {
      UpstreamRecord draining = record;
      draining.mIsDraining = true;
      mGateway->OnUpstreamChanges({ { aId, draining } });
    }
  }
}

void
GatewayTest::Run(const std::function<Task<void>()>& aTest)
{
  bool done = false;
  net::co_spawn(mContext, aTest(), [&](const std::exception_ptr& aError) {
    done = true;
    EXPECT_FALSE(aError);
  });
  while (!done) {
    mContext.run_one();
  }
}

HttpRequest
GatewayTest::MakeRequest(http::verb aVerb, const std::string& aTarget) const
{
  HttpRequest request{ aVerb, aTarget, 11 };
  request.set(http::field::host, "host.test");
  request.set(http::field::authorization, "Bearer key");
  request.set("Request-Id", "r-1");
  request.set("Tokens", "100,50");
  request.prepare_payload();
  return request;
}

Task<GatewayTest::ClientResponse>
GatewayTest::Call(HttpRequest aRequest)
{
  ClientResponse response;
  Result<std::unique_ptr<HttpConnection>> connected =
    co_await HttpConnection::Connect(GatewayAddress(), kCallTime);
  if (!connected) {
    co_return response;
  }
  HttpConnection& connection = *connected.value();
  const Instant until = std::chrono::steady_clock::now() + kCallTime;
  const Result<void> sent = co_await connection.Exchange(aRequest, until);
  if (!sent) {
    co_return response;
  }
  response.mStatus = connection.Status();
  response.mRetryAfter = connection.Header("Retry-After");
  response.mSeal = connection.Header("Seal");
  while (true) {
    const Result<std::string> piece = co_await connection.ReadSome(until);
    if (!piece || piece.value().empty()) {
      response.mIsWhole = piece.has_value();
      break;
    }
    response.mBody += piece.value();
  }
  co_return response;
}

} // namespace cactusgw::test
