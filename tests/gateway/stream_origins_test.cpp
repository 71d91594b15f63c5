#include "cactusgw/gateway/change_sender.hpp"
#include "cactusgw/gateway/stream_origins.hpp"
#include "cactusgw/messaging/stream_messages.hpp"

#include <gtest/gtest.h>

namespace cactusgw::test {

namespace {

constexpr Milliseconds kMaxAge{ 12'000 };
constexpr Milliseconds kLongAgo{ 3'600'000 };

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

RunningVersions
Running(std::set<std::string, std::less<>> aVersions,
        Milliseconds aSinceLastStart = kLongAgo)
{
  return { std::move(aVersions), aSinceLastStart };
}

std::optional<std::string>
VersionOf(const StreamOrigins& aOrigins,
          const std::string& aRequest,
          std::int64_t aAtMs)
{
  return aOrigins.VersionOf("s", aRequest, kMaxAge, At(aAtMs));
}

/// Passes on what one gateway has for another, as messages do.
void
Tell(const StreamOrigins& aFrom, StreamOrigins& aTo, std::int64_t aAtMs)
{
  ChangeSender<StreamOrigins> sender;
  for (const StreamOrigin& origin : sender.Next(aFrom, At(aAtMs))) {
    wire::StreamOrigin message;
    EncodeStreamOrigin(origin, At(aAtMs), message);
    aTo.Merge(DecodeStreamOrigin(message, At(aAtMs)), At(aAtMs));
  }
  for (const VersionHistory& history : aFrom.Histories()) {
    wire::VersionHistory message;
    EncodeVersionHistory(history, At(aAtMs), message);
    aTo.Merge(DecodeVersionHistory(message, At(aAtMs)), At(aAtMs));
  }
}

} // namespace

TEST(StreamOriginsTest, KnowsTheStreamsOfThisGateway)
{
  StreamOrigins origins = StreamOrigins::Create(false);
  origins.OnRunning("s", Running({ "v1", "v2" }), At(0));
  origins.OnBegun("s", "a", "v1", At(100));
  origins.OnBegun("s", "b", "v2", At(200));
  EXPECT_EQ(VersionOf(origins, "a", 300), "v1");
  EXPECT_EQ(VersionOf(origins, "b", 300), "v2");
  EXPECT_EQ(VersionOf(origins, "c", 300), std::nullopt);
}

TEST(StreamOriginsTest, TheOnlyVersionThatRanBeganAnUnknownStream)
{
  StreamOrigins origins = StreamOrigins::Create(false);
  origins.OnRunning("s", Running({ "v1" }), At(0));
  EXPECT_EQ(VersionOf(origins, "a", 100), "v1");
  EXPECT_EQ(origins.VersionOf("other", "a", kMaxAge, At(100)), std::nullopt);
}

// Guards against joined streams right after an old version has left.
TEST(StreamOriginsTest, AVersionThatHasJustLeftMayHaveBegunAStream)
{
  StreamOrigins origins = StreamOrigins::Create(false);
  origins.OnRunning("s", Running({ "v1" }), At(0));
  origins.OnRunning("s", Running({ "v2" }), At(1000));
  EXPECT_EQ(VersionOf(origins, "a", 2000), std::nullopt);
  origins.OnRunning("s", Running({ "v2" }), At(12'001));
  EXPECT_EQ(VersionOf(origins, "a", 12'001), "v2");
}

// Guards against joined streams after all gateways were killed beside a
// release: the upstreams that are left started shortly before.
TEST(StreamOriginsTest, AGatewayThatStartsAfterAReleaseKnowsNoVersionBefore)
{
  StreamOrigins origins = StreamOrigins::Create(false);
  origins.OnRunning("s", Running({ "v2" }, Milliseconds{ 3000 }), At(0));
  EXPECT_EQ(VersionOf(origins, "a", 8900), std::nullopt);
  origins.OnRunning("s", Running({ "v2" }, Milliseconds{ 12'000 }), At(9000));
  EXPECT_EQ(VersionOf(origins, "a", 9000), "v2");
}

TEST(StreamOriginsTest, BeforeTheFirstStartThereWasNoStream)
{
  StreamOrigins origins = StreamOrigins::Create(true);
  origins.OnRunning("s", Running({ "v1" }, Milliseconds{ 0 }), At(0));
  EXPECT_EQ(VersionOf(origins, "a", 100), "v1");
}

TEST(StreamOriginsTest, GatewaysTellEachOtherWhileVersionsAreMixed)
{
  StreamOrigins one = StreamOrigins::Create(false);
  StreamOrigins other = StreamOrigins::Create(false);
  one.OnRunning("s", Running({ "v1" }), At(0));
  one.OnBegun("s", "a", "v1", At(100));
  EXPECT_TRUE(one.ChangedSince(0, 10).first.empty());
  one.OnRunning("s", Running({ "v1", "v2" }), At(200));
  one.OnBegun("s", "b", "v2", At(300));
  Tell(one, other, 400);
  EXPECT_EQ(VersionOf(other, "a", 400), "v1");
  EXPECT_EQ(VersionOf(other, "b", 400), "v2");
  StreamOrigins third = StreamOrigins::Create(false);
  Tell(other, third, 500);
  EXPECT_EQ(VersionOf(third, "a", 500), "v1");
}

// Guards against refused resumptions after all gateways have started anew: the
// others can't tell which version began a stream, so they have to be told.
TEST(StreamOriginsTest, GatewaysTellEachOtherWhileTheHistoryIsIncomplete)
{
  StreamOrigins one = StreamOrigins::Create(false);
  StreamOrigins other = StreamOrigins::Create(false);
  one.OnRunning("s", Running({ "v1" }, Milliseconds{ 500 }), At(0));
  other.OnRunning("s", Running({ "v1" }, Milliseconds{ 500 }), At(0));
  one.OnBegun("s", "a", "v1", At(100));
  EXPECT_EQ(VersionOf(other, "a", 200), std::nullopt);
  Tell(one, other, 200);
  EXPECT_EQ(VersionOf(other, "a", 200), "v1");
}

// A gateway that lost its memory, but not its peers, need not refuse.
TEST(StreamOriginsTest, AGatewayThatStartsLearnsTheHistoryOfTheOthers)
{
  StreamOrigins old = StreamOrigins::Create(true);
  old.OnRunning("s", Running({ "v1" }, Milliseconds{ 0 }), At(0));
  StreamOrigins started = StreamOrigins::Create(false);
  started.OnRunning("s", Running({ "v1" }, Milliseconds{ 5000 }), At(5000));
  EXPECT_EQ(VersionOf(started, "a", 5000), std::nullopt);
  Tell(old, started, 5100);
  EXPECT_EQ(VersionOf(started, "a", 5100), "v1");
}

TEST(StreamOriginsTest, LearnsFromOthersThatAVersionHasLeft)
{
  StreamOrigins old = StreamOrigins::Create(true);
  old.OnRunning("s", Running({ "v1" }), At(0));
  old.OnRunning("s", Running({ "v2" }), At(1000));
  StreamOrigins started = StreamOrigins::Create(false);
  started.OnRunning("s", Running({ "v2" }), At(2000));
  Tell(old, started, 2100);
  EXPECT_EQ(VersionOf(started, "a", 2100), std::nullopt);
}

TEST(StreamOriginsTest, TakesABoundedAmountFromOthers)
{
  StreamOrigins origins = StreamOrigins::Create(false);
  const std::string longName(StreamOrigins::kMaxNameBytes + 1, 'n');
  origins.Merge(StreamOrigin{ 1, longName, At(0) }, At(0));
  EXPECT_EQ(origins.Size(), 0U);
  for (std::size_t i = 0; i < StreamOrigins::kMaxServices + 10; ++i) {
    VersionHistory history{ "s" + std::to_string(i), {}, At(0) };
    for (std::size_t n = 0; n < StreamOrigins::kMaxVersions + 10; ++n) {
      history.mSeenAt["v" + std::to_string(n)] = At(0);
    }
    origins.Merge(history, At(0));
  }
  EXPECT_EQ(origins.Histories().size(), StreamOrigins::kMaxServices);
  EXPECT_EQ(origins.Histories().front().mSeenAt.size(),
            StreamOrigins::kMaxVersions);
}

TEST(StreamOriginsTest, ForgetsOldStreamsAndBoundsTheirNumber)
{
  StreamOrigins origins = StreamOrigins::Create(false);
  origins.OnRunning("s", Running({ "v1", "v2" }), At(0));
  for (std::size_t i = 0; i < StreamOrigins::kMaxStreams + 10; ++i) {
    origins.OnBegun("s", std::to_string(i), "v1", At(0));
  }
  EXPECT_EQ(origins.Size(), StreamOrigins::kMaxStreams);
  origins.Expire(At(StreamOrigins::kLifetime.count()));
  EXPECT_EQ(origins.Size(), 0U);
  EXPECT_TRUE(origins.ChangedSince(0, 10).first.empty());
}

} // namespace cactusgw::test
