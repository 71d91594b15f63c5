#include "cactusgw/net/steady_now.hpp"
#include "free_address.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw::test {

namespace {

constexpr const char* kDeadlyPart = "dead";

/// Serves a stream, but ends without an answer when the prompt has the deadly
/// part.
Task<void>
CrashOnDeadlyPart(ScriptedExchange& aExchange)
{
  if (aExchange.Header("Prompt-Parts").find(kDeadlyPart) != std::string::npos) {
    aExchange.Close();
    co_return;
  }
  co_await aExchange.Answer(200, "Seal: s\r\n", "id: 1\ndata: x\n\n");
}

} // namespace

class CrashQuarantineTest : public GatewayTest
{
protected:
  static constexpr int kUpstreams = 8;

  CrashQuarantineTest()
  {
    for (int i = 0; i < kUpstreams; ++i) {
      AddUpstream("u" + std::to_string(i), "engine", &CrashOnDeadlyPart);
    }
  }

  HttpRequest PromptRequest(const std::string& aTarget,
                            const std::string& aParts) const
  {
    HttpRequest request = MakeRequest(http::verb::post, aTarget);
    request.set("Prompt-Parts", aParts);
    return request;
  }

  /// Ends an upstream and starts it anew under its id, as a crash does.
  void Restart(const std::string& aId, std::int64_t aStartedMs)
  {
    const KnownUpstream* const known = mGateway->State().mDirectory.Find(aId);
    ASSERT_NE(known, nullptr);
    UpstreamRecord record = known->mRecord;
    record.mStartedMs = aStartedMs;
    mGateway->OnUpstreamChanges({ { aId, record } });
  }

  /// Lets pass the time after which a crash counts, and after which the next
  /// one counts as another.
  Task<void> Settle()
  {
    net::steady_timer timer{ mContext };
    timer.expires_after(CrashEvidence::kSettleTime);
    co_await timer.async_wait(net::use_awaitable);
    mGateway->State().mCrashes.Update(SteadyNow());
  }

  /// Requests that reached the upstreams and carried the deadly part.
  std::size_t DeadlyArrivals() const
  {
    std::size_t arrivals = 0;
    for (const std::unique_ptr<ScriptedUpstream>& upstream : mUpstreams) {
      for (const HttpRequest& request : upstream->Requests()) {
        const beast::string_view parts = request["Prompt-Parts"];
        arrivals += parts.find(kDeadlyPart) != beast::string_view::npos;
      }
    }
    return arrivals;
  }
};

// Requests with a deadly prompt part went on crashing one upstream after the
// other, as no request comes twice.
TEST_F(CrashQuarantineTest, RequestsWithADeadlyPartStopReachingUpstreams)
{
  StartGateway();
  Run([&]() -> Task<void> {
    for (int i = 0; i < kUpstreams; ++i) {
      const std::string own = "own" + std::to_string(i) + ":9";
      const ClientResponse sound =
        co_await Call(PromptRequest("/stream/x", "base:7," + own));
      EXPECT_EQ(sound.mStatus, 200);
      co_await Call(PromptRequest("/stream/x", "base:7,dead:5,other:3," + own));
      co_await Settle();
      // Each upstream is back under its id before the next request.
      for (int u = 0; u < kUpstreams; ++u) {
        Restart("u" + std::to_string(u), 100 + i);
      }
    }
    const std::size_t arrivals = DeadlyArrivals();
    EXPECT_LE(arrivals, 5U);
    const ClientResponse refused =
      co_await Call(PromptRequest("/stream/x", "base:7,dead:5,other:3,o:1"));
    EXPECT_EQ(refused.mStatus, 503);
    EXPECT_EQ(refused.mRetryAfter, "60.000");
    const ClientResponse sound =
      co_await Call(PromptRequest("/stream/x", "base:7,other:3,o:2"));
    EXPECT_EQ(sound.mStatus, 200);
    EXPECT_EQ(DeadlyArrivals(), arrivals);
  });
}

// A request that is sent again, or resumed, after a crash is refused as well.
TEST_F(CrashQuarantineTest, RetriesWithADeadlyPartStopReachingUpstreams)
{
  StartGateway();
  Run([&]() -> Task<void> {
    for (int i = 0; i < kUpstreams; ++i) {
      co_await Call(PromptRequest("/resumable/x", "dead:5,own:1"));
      co_await Settle();
      for (int u = 0; u < kUpstreams; ++u) {
        Restart("u" + std::to_string(u), 100 + i);
      }
    }
  });
  EXPECT_LE(DeadlyArrivals(), 6U);
}

// An upstream whose connection ends beside a served part must not be taken for
// crashed by that part.
TEST_F(CrashQuarantineTest, PartsThatAreServedStayAllowed)
{
  StartGateway();
  Run([&]() -> Task<void> {
    for (int i = 0; i < kUpstreams; ++i) {
      const std::string own = "own" + std::to_string(i) + ":9";
      co_await Call(PromptRequest("/stream/x", "base:7,dead:5," + own));
      co_await Settle();
      const ClientResponse sound =
        co_await Call(PromptRequest("/stream/x", "base:7," + own));
      EXPECT_EQ(sound.mStatus, 200);
    }
  });
}

// The evidence is lost when all gateways restart.
TEST_F(CrashQuarantineTest, AQuarantineInTheStoreOutlastsTheEvidence)
{
  StartGateway();
  mGateway->OnQuarantineChanges(
    { { "q-1", StoredQuarantine{ { "dead" }, 1 } } });
  Run([&]() -> Task<void> {
    const ClientResponse refused =
      co_await Call(PromptRequest("/stream/x", "base:7,dead:5,own:1"));
    EXPECT_EQ(refused.mStatus, 503);
    const ClientResponse sound =
      co_await Call(PromptRequest("/stream/x", "base:7,own:2"));
    EXPECT_EQ(sound.mStatus, 200);
  });
  EXPECT_EQ(DeadlyArrivals(), 0U);
}

/// Requests of each kind of route that crash upstreams by their bodies.
class CrashingRequestTest
  : public GatewayTest
  , public ::testing::WithParamInterface<const char*>
{
protected:
  static constexpr int kUpstreams = 8;

  CrashingRequestTest()
  {
    for (int i = 0; i < kUpstreams; ++i) {
      AddUpstream("e" + std::to_string(i), "engine", &CrashOnDeadlyBody);
      AddUpstream("a" + std::to_string(i), "app", &CrashOnDeadlyBody);
    }
  }

  /// Serves a request, but ends without an answer when the body is deadly.
  static Task<void> CrashOnDeadlyBody(ScriptedExchange& aExchange)
  {
    if (aExchange.Request().body() == "deadly") {
      aExchange.Close();
      co_return;
    }
    co_await aExchange.Answer(200, "Seal: s\r\n", "id: 1\ndata: x\n\n");
  }

  HttpRequest Request(const std::string& aBody, int aId) const
  {
    HttpRequest request =
      MakeRequest(http::verb::post, std::string{ GetParam() } + "x");
    request.set("Request-Id", "attempt-" + std::to_string(aId));
    request.set("Prompt-Parts", "shared:7,own:1");
    request.body() = aBody;
    request.prepare_payload();
    return request;
  }

  /// The crashed upstreams are back, and the time in which a request is held
  /// back has passed.
  void RestartAll(int aRound)
  {
    for (int i = 0; i < kUpstreams; ++i) {
      Register("e" + std::to_string(i), 100 + aRound);
      Register("a" + std::to_string(i), 100 + aRound);
    }
    mGateway->State().mCrashes.Update(SteadyNow());
  }

  std::size_t DeadlyArrivals() const
  {
    std::size_t arrivals = 0;
    for (const std::unique_ptr<ScriptedUpstream>& upstream : mUpstreams) {
      for (const HttpRequest& request : upstream->Requests()) {
        arrivals += request.body() == "deadly";
      }
    }
    return arrivals;
  }
};

// A request without prompt parts, or with parts that others are served with,
// came again under new ids and went on crashing upstreams.
TEST_P(CrashingRequestTest, ARepeatedDeadlyRequestStopsReachingUpstreams)
{
  StartGateway();
  Run([&]() -> Task<void> {
    for (int i = 0; i < kUpstreams; ++i) {
      co_await Call(Request("deadly", i));
      RestartAll(i);
      const ClientResponse sound =
        co_await Call(Request("sound " + std::to_string(i), 100 + i));
      EXPECT_EQ(sound.mStatus, 200);
    }
    EXPECT_LE(DeadlyArrivals(), RequestCrashes::kMinCrashes);
    EXPECT_GE(DeadlyArrivals(), RequestCrashes::kMinCrashesToHold);
    const std::size_t arrivals = DeadlyArrivals();
    const ClientResponse refused = co_await Call(Request("deadly", 99));
    EXPECT_EQ(refused.mStatus, 503);
    EXPECT_NE(refused.mRetryAfter, "");
    EXPECT_EQ(DeadlyArrivals(), arrivals);
    // Another caller's path and body, and the caller's other requests, go on.
    const ClientResponse empty = co_await Call(Request("", 200));
    EXPECT_EQ(empty.mStatus, 200);
  });
}

INSTANTIATE_TEST_SUITE_P(
  Routes,
  CrashingRequestTest,
  ::testing::Values("/read/", "/write/", "/stream/", "/resumable/"));

/// An upstream that is thought to have crashed under a request responds.
class SupposedCrashTest : public GatewayTest
{
protected:
  static constexpr RequestFingerprint kSuspect{ 7 };

  void CallAfterCrash(const Script& aScript)
  {
    AddUpstream("a", "app", aScript);
    StartGateway();
    for (const int round : { 3, 2, 1 }) {
      const Instant at = SteadyNow() - round * RequestCrashes::kHoldTime;
      mGateway->State().mRequestCrashes.OnCrash(
        kSuspect, { round == 1 ? "a" : std::to_string(round), 0 }, at, at);
    }
    Run([&]() -> Task<void> {
      co_await Call(MakeRequest(http::verb::post, "/read/x"));
    });
  }

  bool IsQuarantined() const
  {
    return mGateway->State().mRequestCrashes.IsQuarantined(kSuspect);
  }
};

// Sound requests were refused for minutes when an upstream that went on had
// closed their connections.
TEST_F(SupposedCrashTest, IsRefutedByAResponse)
{
  CallAfterCrash([](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
  });
  EXPECT_FALSE(IsQuarantined());
}

// The next upstream at the address of a crashed one answered for it, and the
// request went on crashing upstreams.
TEST_F(SupposedCrashTest, IsNotRefutedByAnotherUpstreamAtTheAddress)
{
  CallAfterCrash([](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(421, "Not-Run: 1\r\n", "");
  });
  EXPECT_TRUE(IsQuarantined());
}

/// An upstream answers while other upstreams crash on the request.
class SickUpstreamTest : public GatewayTest
{
protected:
  /// Ends the connection or fails the request, in turn.
  Script CrashOrFail(unsigned aStatus)
  {
    return [this, aStatus](ScriptedExchange& aExchange) -> Task<void> {
      mIsFailing = !mIsFailing;
      if (mIsFailing) {
        co_await aExchange.Answer(aStatus, "", "");
      } else {
        aExchange.Close();
      }
    };
  }

  /// Sends a request that is known to have crashed some upstreams.
  /// @return how many crashes are known after the response
  std::size_t CrashesAfterResponse(unsigned aStatus)
  {
    AddUpstream("a", "app", CrashOrFail(aStatus));
    StartGateway();
    RequestCrashes& crashes = mGateway->State().mRequestCrashes;
    std::size_t known = 0;
    Run([&]() -> Task<void> {
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
      const RequestFingerprint request =
        crashes.ChangedSince(0, 1).first.empty()
          ? RequestFingerprint{}
          : crashes.ChangedSince(0, 1).first.front().mRequest;
      // Sent before the first crash: the request is not held back.
      const Instant now = SteadyNow();
      crashes.OnCrash(
        request, { "b", 1 }, now - std::chrono::seconds{ 1 }, now);
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
      known = crashes.CountOf(request).mCrashes;
    });
    return known;
  }

private:
  bool mIsFailing = true;
};

// A sick upstream answered a request that it had not run with an error; all
// that was known of the request was forgotten, and it went on crashing
// upstreams.
TEST_F(SickUpstreamTest, AnErrorDoesNotClearARequest)
{
  EXPECT_EQ(CrashesAfterResponse(500), 1U);
}

TEST_F(SickUpstreamTest, AResponseToTheRequestClearsIt)
{
  EXPECT_EQ(CrashesAfterResponse(404), 0U);
}

/// Crashes become known while an upstream, which is another one than expected,
/// refuses the request.
class MisdirectedRequestTest : public GatewayTest
{
protected:
  Script RefuseAfterCrashes()
  {
    return [this](ScriptedExchange& aExchange) -> Task<void> {
      RequestCrashes& crashes = mGateway->State().mRequestCrashes;
      const Instant now = SteadyNow();
      const RequestFingerprint request =
        FingerprintOf({ "POST", "host.test", "/read/x", "workspace", "" });
      for (const char* const upstream : { "x", "y" }) {
        crashes.OnCrash(request, { upstream, 1 }, now, now);
      }
      co_await aExchange.Answer(421, "Not-Run: 1\r\n", "");
    };
  }
};

// The time for which a request is held back applied to the first send only: one
// that a new upstream had refused with 421 was sent again and crashed it.
TEST_F(MisdirectedRequestTest, TheNextSendIsDecidedAnew)
{
  AddUpstream("a", "app", RefuseAfterCrashes());
  AddUpstream("b", "app", RefuseAfterCrashes());
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/read/x"));
    EXPECT_EQ(response.mStatus, 503);
    EXPECT_NE(response.mRetryAfter, "");
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size() + mUpstreams[1]->Requests().size(),
            1U);
}

/// Two gateways of one data centre.
class SharedEvidenceTest : public GatewayTest
{
protected:
  static constexpr const char* kOther = "vm-2";

  SharedEvidenceTest()
  {
    mOtherSettings = mSettings;
    mOtherSettings.mPlace.mVm = kOther;
    mOtherSettings.mListen = FreeAddress();
    mOtherSettings.mReadyListen = FreeAddress();
    mOtherSettings.mMetricsListen = FreeAddress();
    mOtherSettings.mPeerListen = FreeAddress();
    mGateway = MakeGateway(mSettings);
    StartOther();
  }

  /// Starts the other gateway, in place of the one that may run. Its event loop
  /// ends with it, as with its process.
  void StartOther()
  {
    mOther.reset();
    mOtherContext = std::make_unique<net::io_context>(1);
    mOther = MakeGateway(mOtherSettings, *mOtherContext);
    const std::string& self = mSettings.mPlace.mVm;
    const std::vector<Change<GatewayPeer>> peers{
      { self, GatewayPeer{ self, mSettings.mPeerListen, "dc-a", 1 } },
      { kOther, GatewayPeer{ kOther, mOtherSettings.mPeerListen, "dc-a", 1 } },
    };
    mGateway->OnPeerChanges(peers);
    mOther->OnPeerChanges(peers);
  }

  static void AddCrash(Gateway& aGateway, const std::string& aUpstream)
  {
    const std::vector<std::string> parts{ "dead", aUpstream };
    const Milliseconds spacing = 2 * CrashEvidence::kCommonCauseTime;
    aGateway.State().mCrashes.OnCrash(
      { aUpstream, 1 }, parts, SteadyNow() - spacing * ++sCrashes);
  }

  static bool IsRefused(Gateway& aGateway)
  {
    const std::vector<std::string> parts{ "dead", "new" };
    return aGateway.State().mCrashes.Find(parts) != nullptr;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      // The gateway in contact with the store is the parent of the other.
      mGateway->OnConfigConfirmed(BootNow());
      mContext.poll_one();
      mOtherContext->poll_one();
    }
  }

  static inline int sCrashes = 0;
  GatewaySettings mOtherSettings;
  std::unique_ptr<net::io_context> mOtherContext;
  std::unique_ptr<Gateway> mOther;
};

// Requests with one part come at any gateway: each sees too few crashes to
// blame it.
TEST_F(SharedEvidenceTest, CrashesSeenByDifferentGatewaysCountTogether)
{
  AddCrash(*mGateway, "u1");
  AddCrash(*mOther, "u2");
  AddCrash(*mOther, "u3");
  RunUntil([&] { return IsRefused(*mGateway) && IsRefused(*mOther); });
}

// The limit of an upstream is for all gateways together, whichever hears it.
TEST_F(SharedEvidenceTest, LimitsAndRecentRequestsAreSharedToo)
{
  UpstreamRecord record;
  record.mId = "u1";
  record.mService = "app";
  record.mAddress = "127.0.0.1:1";
  record.mDataCentre = "dc-a";
  record.mStartedMs = 1;
  mGateway->OnUpstreamChanges({ { "u1", record } });
  mOther->OnUpstreamChanges({ { "u1", record } });
  const Instant now = SteadyNow();
  mOther->State().mStatedLimits.OnResponse({ "u1", 1 }, 2.5, now, now);
  RunUntil(
    [&] { return mGateway->State().mStatedLimits.PerSecond("u1") == 2.5; });
  RunUntil([&] { return mOther->State().mLimitPacer.IsLimited("u1"); });
  mOther->State().OnSelected("u1", SteadyNow());
  RunUntil([&] {
    return mGateway->State().mLoads.Total("u1", SteadyNow()).mRecent == 1;
  });
}

// Gateways that get no response of a draining upstream would learn of it from
// the store only.
TEST_F(SharedEvidenceTest, ADrainStatedInAResponseIsPassedOn)
{
  UpstreamRecord ready;
  ready.mId = "u1";
  ready.mService = "app";
  ready.mAddress = "127.0.0.1:1";
  ready.mDataCentre = "dc-a";
  ready.mStartedMs = 1;
  mOther->OnUpstreamChanges({ { "u1", ready } });
  mGateway->OnUpstreamChanges({ { "u1", ready } });
  ASSERT_TRUE(mGateway->State().mOnStatedDraining);
  mGateway->State().mOnStatedDraining({ "u1", 1 });
  RunUntil([&] { return mOther->State().mDirectory.Serving("app").empty(); });
}

// A registration that had only expired returned, and was not used again.
TEST_F(SharedEvidenceTest, ARemovalIsUndoneByTheRegistrationsReturn)
{
  UpstreamRecord ready;
  ready.mId = "u1";
  ready.mService = "app";
  ready.mAddress = "127.0.0.1:1";
  ready.mDataCentre = "dc-a";
  ready.mStartedMs = 1;
  mOther->OnUpstreamChanges({ { "u1", ready } });
  mGateway->OnUpstreamChanges({ { "u1", ready } });
  mGateway->OnUpstreamChanges({ { "u1", std::nullopt } });
  const auto serves = [&] {
    return !mOther->State().mDirectory.Serving("app").empty();
  };
  RunUntil([&] { return !serves(); });
  mOther->OnUpstreamChanges({ { "u1", ready } });
  EXPECT_TRUE(serves());
}

TEST_F(SharedEvidenceTest, AQuarantineIsWrittenIntoTheStore)
{
  for (const char* const upstream : { "u1", "u2", "u3" }) {
    AddCrash(*mGateway, upstream);
  }
  RunUntil([&] { return !mStoredQuarantines.empty(); });
  EXPECT_EQ(mStoredQuarantines[0], PartSet{ "dead" });
}

// A request comes again at a gateway that saw none of its crashes.
TEST_F(SharedEvidenceTest, SuspectsOfCrashesAreSharedAndStored)
{
  constexpr RequestFingerprint kDeadly{ 0xDEAD };
  const Instant now = SteadyNow();
  int crashes = 0;
  for (Gateway* const gateway :
       { mGateway.get(), mOther.get(), mOther.get() }) {
    const Instant at = now - ++crashes * RequestCrashes::kHoldTime;
    gateway->State().mRequestCrashes.OnCrash(
      kDeadly, { "u" + std::to_string(crashes), 1 }, at, at);
  }
  RunUntil([&] {
    return mGateway->State().mRequestCrashes.IsQuarantined(kDeadly) &&
           mOther->State().mRequestCrashes.IsQuarantined(kDeadly);
  });
  RunUntil([&] { return !mStoredQuarantines.empty(); });
  EXPECT_EQ(mStoredQuarantines[0], StoredFormOf(kDeadly));
  StartOther();
  EXPECT_FALSE(mOther->State().mRequestCrashes.IsQuarantined(kDeadly));
  RunUntil(
    [&] { return mOther->State().mRequestCrashes.IsQuarantined(kDeadly); });
}

// A restarted gateway has no evidence of its own.
TEST_F(SharedEvidenceTest, AGatewayThatStartsLaterLearnsOfQuarantines)
{
  for (const char* const upstream : { "u1", "u2", "u3" }) {
    AddCrash(*mGateway, upstream);
  }
  RunUntil([&] { return IsRefused(*mOther); });
  StartOther();
  EXPECT_FALSE(IsRefused(*mOther));
  RunUntil([&] { return IsRefused(*mOther); });
}

} // namespace cactusgw::test
