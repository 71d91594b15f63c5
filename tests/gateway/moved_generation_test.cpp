#include "cactusgw/gateway/store_backoff.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>

namespace cactusgw::test {

namespace {

using ::testing::ElementsAre;

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t\n\n";
}

/// How long a draining upstream of these tests goes on.
constexpr Milliseconds kDrainTime{ 1500 };

/// Runs the event loop until the condition holds.
Task<void>
Until(std::function<bool()> aCondition)
{
  while (!aCondition()) {
    co_await net::post(net::use_awaitable);
  }
}

} // namespace

class MovedGenerationTest : public GatewayTest
{
protected:
  /// Adds a source that sends two events and is then marked as draining. Once
  /// the generation is to be stopped, the source runs the given script.
  void AddSource(const Script& aAfterStop)
  {
    AddUpstream("a-source",
                "engine",
                [this, aAfterStop](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.BeginChunks(kSealed);
                  co_await aExchange.Chunk(Event(1) + Event(2));
                  Drain("a-source");
                  co_await Until([this] {
                    return !mCopies.empty() && mCopies.back().mStops;
                  });
                  co_await aAfterStop(aExchange);
                });
  }

  static Task<void> CloseConnection(ScriptedExchange& aExchange)
  {
    aExchange.Close();
    co_return;
  }
};

// The state of a generation was copied to an upstream that wants nothing.
TEST_F(MovedGenerationTest, APausedUpstreamIsNoTarget)
{
  AddSource(&CloseConnection);
  ScriptedUpstream& paused = AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200, kSealed, Event(3));
    });
  AddUpstream(
    "c-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200, kSealed, Event(3));
    });
  StartGateway();
  mGateway->State().mPauses.OnRefusal(
    { "b-target", 0 }, Milliseconds{ 60'000 }, SteadyNow());
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_EQ(response.mBody, Event(1) + Event(2) + Event(3));
  });
  EXPECT_TRUE(paused.Requests().empty());
  ASSERT_FALSE(mCopies.empty());
  for (const CopyOrder& copy : mCopies) {
    EXPECT_EQ(copy.mTarget.Target().mId, "c-target");
  }
}

// Guards against a stream that another version continues.
TEST_F(MovedGenerationTest, AnUpstreamOfAnotherVersionIsNoTarget)
{
  AddSource(&CloseConnection);
  mUpstreamVersion = "another";
  ScriptedUpstream& other = AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200, kSealed, Event(3));
    });
  mUpstreamVersion = "v1";
  AddUpstream(
    "c-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200, kSealed, Event(3));
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_EQ(response.mBody, Event(1) + Event(2) + Event(3));
  });
  EXPECT_TRUE(other.Requests().empty());
  ASSERT_FALSE(mCopies.empty());
  for (const CopyOrder& copy : mCopies) {
    EXPECT_EQ(copy.mTarget.Target().mId, "c-target");
  }
}

// A generation was cut off when its upstream said only in the header of the
// stream that it is draining.
TEST_F(MovedGenerationTest, AStreamWhoseHeaderStatesADrainIsMigrated)
{
  AddUpstream(
    "a-source", "engine", [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(std::string{ kSealed } +
                                     "Draining: 1\r\n");
      co_await aExchange.Chunk(Event(1));
      const Instant end = SteadyNow() + kDrainTime;
      co_await Until([&] {
        return (!mCopies.empty() && mCopies.back().mStops) ||
               SteadyNow() >= end;
      });
      aExchange.Close();
    });
  AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks("Seal: other\r\n");
      co_await aExchange.Chunk(Event(2));
      co_await aExchange.EndChunks();
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_EQ(response.mBody, Event(1) + Event(2));
    EXPECT_TRUE(response.mIsWhole);
  });
}

TEST_F(MovedGenerationTest, ContinuesAfterTheLastCompleteEvent)
{
  AddSource([](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Chunk(Event(3) + "id: 4\nda");
    aExchange.Close();
  });
  ScriptedUpstream& target = AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks("Seal: other\r\n");
      co_await aExchange.Chunk(Event(4));
      co_await aExchange.EndChunks();
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mSeal, "s");
    EXPECT_EQ(response.mBody, Event(1) + Event(2) + Event(3) + Event(4));
  });
  ASSERT_EQ(target.Requests().size(), 1U);
  EXPECT_EQ(target.Requests()[0]["Last-Event-Id"], "3");
  EXPECT_EQ(target.Requests()[0]["Moved-From"],
            mUpstreams[0]->Address() + "/handle");
}

TEST_F(MovedGenerationTest, AStreamThatEndedBeforeItsStopIsNotContinued)
{
  AddSource([](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Chunk(Event(3));
    co_await aExchange.EndChunks();
  });
  ScriptedUpstream& target = AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks("Seal: other\r\n");
      co_await aExchange.Chunk(Event(3));
      co_await aExchange.EndChunks();
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mBody, Event(1) + Event(2) + Event(3));
    co_await Until([this] { return !mFreed.empty(); });
  });
  EXPECT_TRUE(target.Requests().empty());
  EXPECT_THAT(mFreed, ElementsAre("handle"));
}

TEST_F(MovedGenerationTest, ARefusedContinuationIsNotRunAnewElsewhere)
{
  AddSource(&CloseConnection);
  AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(421, "", "");
    });
  ScriptedUpstream& third = AddUpstream(
    "c-third", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(421, "", "");
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_FALSE(response.mIsWhole);
  });
  const std::size_t toTargets =
    mUpstreams[1]->Requests().size() + third.Requests().size();
  EXPECT_EQ(toTargets, 1U);
}

TEST_F(MovedGenerationTest, StreamIsTruncatedWithoutAMigration)
{
  mControl.mCopy = [this](CopyOrder aOrder) -> Task<CopyReply> {
    mCopies.push_back(std::move(aOrder));
    mCopies.back().mStops = true;
    co_return CopyReply{ CopyOutcome::NotRunning, "" };
  };
  AddSource(&CloseConnection);
  ScriptedUpstream& target = AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(421, "", "");
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_FALSE(response.mIsWhole);
    EXPECT_EQ(response.mBody, Event(1) + Event(2));
  });
  EXPECT_TRUE(target.Requests().empty());
}

TEST_F(MovedGenerationTest, FallsBackToTheEarlierCopyIfTheSourceFails)
{
  mControl.mCopy = [this](CopyOrder aOrder) -> Task<CopyReply> {
    const bool stops = aOrder.mStops;
    mCopies.push_back(std::move(aOrder));
    co_return CopyReply{ stops ? CopyOutcome::Unknown : CopyOutcome::Copied,
                         stops ? "" : "older" };
  };
  AddSource([](ScriptedExchange& aExchange) -> Task<void> {
    aExchange.Close(true);
    co_return;
  });
  ScriptedUpstream& target = AddUpstream(
    "b-target", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks(kSealed);
      co_await aExchange.Chunk(Event(3));
      co_await aExchange.EndChunks();
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/stream/x"));
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mBody, Event(1) + Event(2) + Event(3));
  });
  ASSERT_EQ(target.Requests().size(), 1U);
  EXPECT_EQ(target.Requests()[0]["Moved-From"],
            mUpstreams[0]->Address() + "/older");
}

} // namespace cactusgw::test
