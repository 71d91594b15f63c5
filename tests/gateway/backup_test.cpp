#include "cactusgw/gateway/backup_choice.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw::test {

namespace {

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t\n\n";
}

/// Time after which a stream counts as begun, and a margin.
constexpr Milliseconds kBegun{ 320 };

Task<void>
Until(std::function<bool()> aCondition)
{
  while (!aCondition()) {
    co_await net::post(net::use_awaitable);
  }
}

Candidate
CandidateOf(const KnownUpstream& aUpstream,
            const UpstreamLoad& aLoad,
            Distance aDistance)
{
  return { &aUpstream, aLoad, aDistance, 0, 0 };
}

KnownUpstream
UpstreamOf(const std::string& aId)
{
  KnownUpstream upstream;
  upstream.mRecord.mId = aId;
  return upstream;
}

} // namespace

class BackupTest : public GatewayTest
{
protected:
  /// Both upstreams run the first script for a new request and the second one
  /// for a continuation.
  void StartWith(const Script& aSource, const Script& aBackup)
  {
    const Script either = [aSource,
                           aBackup](ScriptedExchange& aExchange) -> Task<void> {
      if (aExchange.Header("Moved-From").empty()) {
        co_await aSource(aExchange);
      } else {
        co_await aBackup(aExchange);
      }
    };
    AddUpstream("a", "engine", either);
    mUpstreamVersion = mSecondVersion;
    AddUpstream("b", "engine", either);
    // The call must not wait for the reply to the order to stop.
    mControl.mCopy = [this](CopyOrder aOrder) -> Task<CopyReply> {
      mCopies.push_back(std::move(aOrder));
      co_await Until([this] { return !BackupUpstream().Requests().empty(); });
      co_return CopyReply{ CopyOutcome::Copied, "handle" };
    };
    StartGateway();
    Configure(2, [](GatewayConfig& aConfig) {
      aConfig.mServices[1].mEngine->mCanBackUp = true;
    });
  }

  /// Version of the second upstream.
  std::string mSecondVersion = mUpstreamVersion;

  HttpRequest LongRequest() const
  {
    HttpRequest request = MakeRequest(http::verb::post, "/stream/x");
    request.set("Tokens", "100,400");
    request.set("Hint", "300");
    return request;
  }

  std::size_t Source() const
  {
    return mUpstreams[0]->Requests().empty() ? 1 : 0;
  }
  ScriptedUpstream& SourceUpstream() const { return *mUpstreams[Source()]; }
  ScriptedUpstream& BackupUpstream() const { return *mUpstreams[1 - Source()]; }

  static Task<void> BreakAfterBegun(ScriptedExchange& aExchange)
  {
    co_await aExchange.BeginChunks(kSealed);
    co_await aExchange.Chunk(Event(1));
    const Instant end = SteadyNow() + kBegun;
    co_await Until([end] { return SteadyNow() >= end; });
    aExchange.Close(true);
  }

  static Task<void> Continue(ScriptedExchange& aExchange)
  {
    co_await aExchange.BeginChunks(kSealed);
    co_await aExchange.Chunk(Event(2));
    co_await aExchange.EndChunks();
  }
};

// A draft was lost with its upstream, although it had run for seconds.
TEST_F(BackupTest, AStreamThatBreaksIsContinuedAtItsBackup)
{
  StartWith(&BreakAfterBegun, &Continue);
  HttpRequest request = LongRequest();
  const std::string id{ request["Request-Id"] };
  Run([&]() -> Task<void> {
    const ClientResponse response = co_await Call(std::move(request));
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mBody, Event(1) + Event(2));
  });
  ASSERT_EQ(SourceUpstream().Requests().size(), 1U);
  EXPECT_EQ(SourceUpstream().Requests()[0]["Backup-To"],
            BackupUpstream().Address());
  ASSERT_EQ(BackupUpstream().Requests().size(), 1U);
  const HttpRequest& continuation = BackupUpstream().Requests()[0];
  EXPECT_EQ(continuation["Moved-From"], BackupUpstream().Address() + "/" + id);
  EXPECT_EQ(continuation["Last-Event-Id"], "1");
  // The source is told to stop, as it may go on behind a broken connection.
  ASSERT_EQ(mCopies.size(), 1U);
  EXPECT_TRUE(mCopies[0].mStops);
}

// An upstream that crashes on a request sends some events first. The backup
// would crash as well.
TEST_F(BackupTest, AStreamThatBreaksAtItsBeginningIsNotContinued)
{
  StartWith(
    [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk(Event(1));
      aExchange.Close(true);
    },
    &Continue);
  Run([&]() -> Task<void> {
    const ClientResponse response = co_await Call(LongRequest());
    EXPECT_FALSE(response.mIsWhole);
  });
  EXPECT_TRUE(BackupUpstream().Requests().empty());
}

// The backup may have had no room. The copy that the stop makes still serves.
TEST_F(BackupTest, ARefusedBackupFallsBackToTheStoppedSource)
{
  StartWith(&BreakAfterBegun, [](ScriptedExchange& aExchange) -> Task<void> {
    if (aExchange.Header("Moved-From").ends_with("/handle")) {
      co_await Continue(aExchange);
    } else {
      co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
    }
  });
  Run([&]() -> Task<void> {
    const ClientResponse response = co_await Call(LongRequest());
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mBody, Event(1) + Event(2));
  });
  ASSERT_EQ(BackupUpstream().Requests().size(), 2U);
  EXPECT_EQ(BackupUpstream().Requests()[1]["Moved-From"],
            SourceUpstream().Address() + "/handle");
}

// Copies of all generations of a draining upstream queue on its link for longer
// than it gives notice.
TEST_F(BackupTest, ADrainingUpstreamIsLeftWithoutAnotherCopyOfTheMemory)
{
  StartWith(
    [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk(Event(1));
      Drain(Source() == 0 ? "a" : "b");
      co_await Until([this] { return !mCopies.empty(); });
      aExchange.Close();
    },
    &Continue);
  Run([&]() -> Task<void> {
    const ClientResponse response = co_await Call(LongRequest());
    EXPECT_EQ(response.mBody, Event(1) + Event(2));
    EXPECT_TRUE(response.mIsWhole);
  });
  ASSERT_EQ(mCopies.size(), 1U);
  EXPECT_TRUE(mCopies[0].mStops);
}

// A short generation ends before its upstream does.
TEST_F(BackupTest, OnlyLongStreamsHaveABackup)
{
  StartWith(&Continue, &Continue);
  HttpRequest request = LongRequest();
  request.set("Tokens", "100,32");
  Run([&]() -> Task<void> {
    const ClientResponse response = co_await Call(std::move(request));
    EXPECT_TRUE(response.mIsWhole);
  });
  EXPECT_EQ(SourceUpstream().Requests()[0].count("Backup-To"), 0U);
}

// Guards against a stream that another version continues.
TEST_F(BackupTest, ABackupIsOfTheSameVersion)
{
  mSecondVersion = "another";
  StartWith(&Continue, &Continue);
  Run([&]() -> Task<void> {
    const ClientResponse response = co_await Call(LongRequest());
    EXPECT_TRUE(response.mIsWhole);
  });
  EXPECT_EQ(SourceUpstream().Requests()[0].count("Backup-To"), 0U);
}

// In a burst, room for requests is worth more than backups.
TEST(BackupChoiceTest, TakesTheNearestUpstreamWithAmpleRoom)
{
  GatewayService service;
  service.mEngine = EngineProfile{ 8, 10'000, 1000, 1000.0, true, true };
  const TokenNeed need{ 1000, 2000 };
  const KnownUpstream primary = UpstreamOf("primary");
  const KnownUpstream near = UpstreamOf("near");
  const KnownUpstream far = UpstreamOf("far");
  const KnownUpstream elsewhere = UpstreamOf("elsewhere");
  std::vector<Candidate> candidates{
    CandidateOf(primary, {}, Distance::SameDataCentre),
    CandidateOf(near, { 1, 500, 0, 0 }, Distance::SameDataCentre),
    CandidateOf(far, {}, Distance::SameRegion),
    CandidateOf(elsewhere, {}, Distance::OtherRegion),
  };
  const auto choose = [&] {
    const Candidate* const chosen =
      ChooseBackup(candidates, "primary", service, need);
    return chosen == nullptr ? "none" : chosen->mUpstream->mRecord.mId;
  };
  EXPECT_EQ(choose(), "near");
  candidates[1].mLoad.mTokens = 501;
  EXPECT_EQ(choose(), "far");
  candidates[2].mLoad.mRequests = 5;
  EXPECT_EQ(choose(), "none");
}

} // namespace cactusgw::test
