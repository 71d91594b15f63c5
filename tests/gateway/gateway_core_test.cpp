#include "cactusgw/gateway/cold_start_limiter.hpp"
#include "cactusgw/gateway/drain_notices.hpp"
#include "cactusgw/gateway/event_splitter.hpp"
#include "cactusgw/gateway/load_table.hpp"
#include "cactusgw/gateway/message_headers.hpp"
#include "cactusgw/gateway/routing_table.hpp"
#include "cactusgw/gateway/shared_retry_budget.hpp"
#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/gateway/upstream_choice.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"
#include "cactusgw/gateway/upstream_health.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

namespace cactusgw::test {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

Instant
At(int aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

UpstreamRecord
Record(const std::string& aId, bool aIsDraining = false)
{
  UpstreamRecord record;
  record.mId = aId;
  record.mService = "s";
  record.mDataCentre = "dc";
  record.mStartedMs = 7;
  record.mSlots = 4;
  record.mIsDraining = aIsDraining;
  return record;
}

} // namespace

TEST(RoutingTableTest, TheLongestPrefixOfTheHostWins)
{
  GatewayConfig config;
  for (const char* const prefix : { "/", "/a/", "/a/b/" }) {
    GatewayRoute route;
    route.mName = prefix;
    route.mHost = "Host.Test";
    route.mPathPrefix = prefix;
    config.mRoutes.push_back(route);
  }
  const RoutingTable table = RoutingTable::Create(std::move(config));
  EXPECT_EQ(table.FindRoute("host.test:80", "/a/b/c")->mName, "/a/b/");
  EXPECT_EQ(table.FindRoute("host.test", "/a/bc")->mName, "/a/");
  EXPECT_EQ(table.FindRoute("host.test", "/x")->mName, "/");
  EXPECT_EQ(table.FindRoute("other.test", "/a/b/"), nullptr);
}

TEST(UpstreamDirectoryTest, RemovesAnUpstreamAtOnceOutsideTheGracePeriod)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  EXPECT_EQ(directory.Remove("u", At(1)), DirectoryChange::DrainingOrRemoved);
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

TEST(UpstreamDirectoryTest, KeepsAMissingRegistrationForTwoSeconds)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.OnStoreReturned(At(1000));
  EXPECT_EQ(directory.Remove("u", At(1100)), DirectoryChange::Updated);
  EXPECT_EQ(directory.Serving("s").size(), 1U);
  EXPECT_THAT(directory.RemoveExpired(At(2900)), IsEmpty());
  EXPECT_THAT(directory.RemoveExpired(At(3000)), ElementsAre("u"));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

TEST(UpstreamDirectoryTest, KeepsARegistrationThatReturnsInTime)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.OnStoreReturned(At(1000));
  EXPECT_EQ(directory.Remove("u", At(1100)), DirectoryChange::Updated);
  directory.Put(Record("u"), At(1500));
  EXPECT_THAT(directory.RemoveExpired(At(9000)), IsEmpty());
  EXPECT_EQ(directory.Serving("s").size(), 1U);
}

TEST(UpstreamDirectoryTest, DrainNoticeAppliesToOneStartOnly)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  EXPECT_FALSE(directory.MarkDraining("u", 6));
  EXPECT_TRUE(directory.MarkDraining("u", 7));
  EXPECT_FALSE(directory.MarkDraining("u", 7));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

// A registration that was written before the upstream began to drain undid
// what the upstream had said since.
TEST(UpstreamDirectoryTest, AStartStaysDrainingWhateverItsRegistrationSays)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("response"), At(0));
  directory.Put(Record("record"), At(0));
  directory.MarkDraining("response", 7);
  EXPECT_EQ(directory.Put(Record("record", true), At(1)),
            DirectoryChange::DrainingOrRemoved);
  EXPECT_EQ(directory.Put(Record("response"), At(2)), DirectoryChange::Updated);
  EXPECT_EQ(directory.Put(Record("record"), At(2)), DirectoryChange::Updated);
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
  EXPECT_TRUE(directory.HasStatedDraining({ "response", 7 }));
}

// A draining upstream counted as new when its registration expired and
// returned.
TEST(UpstreamDirectoryTest, AStartStaysDrainingWhenItsRegistrationReturns)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.MarkDraining("u", 7);
  directory.Remove("u", At(1));
  EXPECT_EQ(directory.Put(Record("u"), At(2)),
            DirectoryChange::DrainingOrRemoved);
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

// A notice that came before the registration was lost.
TEST(UpstreamDirectoryTest, ANoticeCountsForARegistrationThatFollows)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  EXPECT_FALSE(directory.MarkDraining("u", 7));
  directory.Put(Record("u"), At(0));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

TEST(UpstreamDirectoryTest, ARestartedUpstreamIsNotDraining)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u", true), At(0));
  UpstreamRecord restarted = Record("u");
  ++restarted.mStartedMs;
  EXPECT_EQ(directory.Put(restarted, At(1)), DirectoryChange::Added);
  EXPECT_EQ(directory.Serving("s").size(), 1U);
  // A stale registration of the start before is still draining.
  directory.Put(Record("u"), At(2));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

// A notice can be undone, so the statement must still take effect.
TEST(UpstreamDirectoryTest, AStatementAfterANoticeIsNews)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("response"), At(0));
  directory.Put(Record("record"), At(0));
  directory.MarkDraining("response", 7, DrainEvidence::Notice);
  directory.MarkDraining("record", 7, DrainEvidence::Notice);
  EXPECT_TRUE(directory.MarkDraining("response", 7));
  EXPECT_EQ(directory.Put(Record("record", true), At(1)),
            DirectoryChange::DrainingOrRemoved);
}

// A registration that only expired would never be used again.
TEST(UpstreamDirectoryTest,
     ANoticeOfAnotherGatewayHoldsUntilTheNextRegistration)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  EXPECT_TRUE(directory.MarkDraining("u", 7, DrainEvidence::Notice));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
  directory.Put(Record("u"), At(1));
  EXPECT_EQ(directory.Serving("s").size(), 1U);
}

TEST(UpstreamDirectoryTest, WithoutAStartTimeTheAddressTellsStartsApart)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  UpstreamRecord record = Record("u");
  record.mStartedMs = 0;
  record.mAddress = "10.0.0.1:80";
  directory.Put(record, At(0));
  EXPECT_TRUE(directory.MarkDraining("u", 0));
  directory.Remove("u", At(1));
  directory.Put(record, At(2));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
  record.mAddress = "10.0.0.2:80";
  directory.Put(record, At(3));
  EXPECT_EQ(directory.Serving("s").size(), 1U);
}

// Starts that are gone for good would take ever more memory; a registered one
// must not be forgotten for them.
TEST(UpstreamDirectoryTest, RemembersABoundedNumberOfDrainingStarts)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.MarkDraining("u", 7);
  const int count = static_cast<int>(UpstreamDirectory::kMaxDrainingStarts) + 1;
  for (int start = 0; start < count; ++start) {
    directory.MarkDraining("gone", 100 + start);
  }
  EXPECT_FALSE(directory.HasStatedDraining({ "gone", 100 }));
  EXPECT_TRUE(directory.HasStatedDraining({ "gone", 100 + count - 1 }));
  directory.Put(Record("u"), At(1));
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
}

TEST(UpstreamDirectoryTest, ExcludesADrainedDataCentre)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.SetDrained("dc", true);
  EXPECT_THAT(directory.Serving("s"), IsEmpty());
  directory.SetDrained("dc", false);
  EXPECT_EQ(directory.Serving("s").size(), 1U);
}

// A fraction that is cut off would end a pause too early.
TEST(MessageHeadersTest, ReadsRetryAfterInSecondsRoundedUp)
{
  EXPECT_EQ(ParseRetryAfter("2"), Milliseconds{ 2000 });
  EXPECT_EQ(ParseRetryAfter("0.2501"), Milliseconds{ 251 });
  EXPECT_GT(ParseRetryAfter("99999999999999999999"), Milliseconds{ 1 });
  for (const char* const bad :
       { "", "-1", "1s", "nan", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
    EXPECT_EQ(ParseRetryAfter(bad), std::nullopt) << bad;
  }
}

TEST(LoadTableTest, CountsLoadOfOtherGatewaysUntilItIsStale)
{
  LoadTable loads = LoadTable::Create();
  loads.Add("u", { 1, 100, 40, 1 });
  loads.SetOthers({ { "u", { { 2, 200, 0, 1 }, { 150, 1 } } } }, At(0));
  EXPECT_EQ(loads.Total("u", At(10)), (UpstreamLoad{ 3, 300, 40, 2 }));
  EXPECT_EQ(loads.MigrationsAhead("u", At(10)), (PendingMigrations{ 150, 1 }));
  const int late = static_cast<int>(LoadTable::kValidity.count());
  EXPECT_EQ(loads.Total("u", At(late)), (UpstreamLoad{ 1, 100, 40, 1 }));
  EXPECT_EQ(loads.MigrationsAhead("u", At(late)), PendingMigrations{});
  loads.Subtract("u", { 1, 100, 40, 1 });
  EXPECT_TRUE(loads.Own().empty());
}

/// When each gateway keeps to its share, the rate limit of a cold upstream
/// holds in every second, for any pattern of arrivals.
TEST(ColdStartLimiterTest, SharesNeverExceedTheLimitInAnySecond)
{
  constexpr std::uint32_t kShare = 3;
  constexpr std::size_t kGateways = 8;
  constexpr std::uint32_t kSeed = 4711;
  std::mt19937 random{ kSeed };
  std::vector<ColdStartLimiter> limiters(kGateways, ColdStartLimiter::Create());
  std::vector<int> sent;
  for (int ms = 0; ms < 10'000; ++ms) {
    ColdStartLimiter& limiter = limiters[random() % kGateways];
    if (limiter.Allows("u", kShare, At(ms))) {
      limiter.OnSent("u", At(ms));
      sent.push_back(ms);
    }
  }
  for (std::size_t first = 0; first < sent.size(); ++first) {
    const std::ptrdiff_t inSecond =
      std::count_if(sent.begin(), sent.end(), [&](int aMs) {
        return aMs >= sent[first] && aMs < sent[first] + 1000;
      });
    ASSERT_LE(inSecond, static_cast<std::ptrdiff_t>(kShare * kGateways));
  }
}

TEST(SharedRetryBudgetTest, NeverExceedsItsShareInAnyWindow)
{
  constexpr std::uint32_t kSeed = 99;
  constexpr std::uint32_t kGateways = 8;
  std::mt19937 random{ kSeed };
  const RetryBound bound{ 0.2, 40, Milliseconds{ 1000 } };
  SharedRetryBudget budget = SharedRetryBudget::Create(bound);
  std::vector<int> requests;
  std::vector<int> retries;
  for (int ms = 0; ms < 8000; ++ms) {
    if (random() % 10 == 0) {
      budget.OnRequest(At(ms));
      requests.push_back(ms);
    }
    if (random() % 3 == 0 && budget.TryWithdraw(kGateways, At(ms))) {
      retries.push_back(ms);
    }
  }
  const auto in = [](const std::vector<int>& aTimes, int aFrom) {
    return static_cast<double>(
      std::count_if(aTimes.begin(), aTimes.end(), [&](int aMs) {
        return aMs > aFrom && aMs <= aFrom + 1000;
      }));
  };
  for (int from = 0; from < 7000; from += 10) {
    const double most = std::max(in(requests, from), in(requests, from - 500));
    ASSERT_LE(in(retries, from), 0.2 * most + 40.0 / kGateways + 4);
  }
  EXPECT_FALSE(retries.empty());
}

TEST(EventSplitterTest, ReturnsCompleteEventsForAnyFragmentation)
{
  const std::string stream =
    "id: 1\ndata: a\n\nid:2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\nda";
  for (std::size_t step = 1; step < stream.size(); ++step) {
    EventSplitter splitter;
    std::string whole;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      whole += splitter.Feed(stream.substr(at, step));
    }
    EXPECT_EQ(whole + splitter.Remainder(), stream);
    EXPECT_EQ(splitter.Remainder(), "id: 4\nda");
    EXPECT_EQ(splitter.LastId(), "3");
    EXPECT_EQ(splitter.IdCount(), 3U);
  }
}

TEST(StoreFreshnessTest, AgeCountsFromTheLatestConfirmation)
{
  using std::chrono::seconds;
  StoreFreshness freshness = StoreFreshness::Create(Milliseconds{ 4500 });
  EXPECT_FALSE(freshness.IsFresh(seconds{ 1 }));
  freshness.OnConfirmed(seconds{ 10 });
  freshness.OnConfirmed(seconds{ 9 });
  EXPECT_TRUE(freshness.IsFresh(seconds{ 14 }));
  EXPECT_FALSE(freshness.IsFresh(seconds{ 15 }));
}

TEST(UpstreamChoiceTest, SelectsTheLeastLoadedUpstreamThatFits)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  for (const char* const id : { "a", "b", "c" }) {
    directory.Put(Record(id), At(0));
  }
  GatewayService service;
  service.mEngine = EngineProfile{ 4, 1000, 0, 0, true };
  const std::vector<Candidate> candidates{
    { directory.Find("a"), { 1, 800, 0, 0 }, Distance::SameDataCentre, 0 },
    { directory.Find("b"), { 1, 300, 0, 0 }, Distance::SameDataCentre, 0 },
    { directory.Find("c"), { 4, 100, 0, 0 }, Distance::SameDataCentre, 0 },
  };
  const Candidate* const chosen =
    ChooseUpstream(candidates, service, { 100, 200 });
  ASSERT_NE(chosen, nullptr);
  EXPECT_EQ(chosen->mUpstream->mRecord.mId, "b");
  EXPECT_EQ(ChooseUpstream(candidates, service, { 700, 700 }), nullptr);
}

TEST(UpstreamChoiceTest, BreaksTiesByRank)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("a"), At(0));
  directory.Put(Record("b"), At(0));
  GatewayService service;
  service.mEngine = EngineProfile{ 4, 1000, 0, 0, true };
  const auto choose = [&](double aRankOfA, std::uint64_t aTokensAtA) {
    const std::vector<Candidate> candidates{
      { directory.Find("a"),
        { 1, aTokensAtA, 0, 0 },
        Distance::SameDataCentre,
        0,
        aRankOfA },
      { directory.Find("b"),
        { 1, 300, 0, 0 },
        Distance::SameDataCentre,
        0,
        0.5 },
    };
    return ChooseUpstream(candidates, service, { 100, 200 })
      ->mUpstream->mRecord.mId;
  };
  EXPECT_EQ(choose(0.1, 300), "a");
  EXPECT_EQ(choose(0.9, 300), "b");
  EXPECT_EQ(choose(0.1, 650), "b");
}

TEST(UpstreamChoiceTest, FailurePenaltyDecays)
{
  UpstreamHealth health = UpstreamHealth::Create();
  health.OnFailure("u", 1, At(0));
  EXPECT_DOUBLE_EQ(health.FailurePenalty("u", At(0)), 1);
  EXPECT_NEAR(health.FailurePenalty(
                "u", At(static_cast<int>(UpstreamHealth::kHalfLife.count()))),
              0.5,
              1e-9);
  health.OnSuccess("u", At(0));
  EXPECT_LT(health.FailurePenalty("u", At(0)), 1);
}

TEST(DrainNoticesTest, KeepsOneNoticePerUpstreamUntilItExpires)
{
  DrainNotices notices = DrainNotices::Create();
  notices.Add({ "u", 1 }, At(0));
  notices.Add({ "u", 1 }, At(1000));
  EXPECT_EQ(notices.Recent(At(1001)).size(), 1U);
  EXPECT_THAT(notices.Recent(At(6000)), IsEmpty());
}

// A part that is overlooked could not be held responsible for a crash.
TEST(MessageHeadersTest, SharedPartsAreAllButTheLast)
{
  EXPECT_THAT(ParseSharedParts("5c1e:800,91bd:410, e440:250"),
              ElementsAre("5c1e", "91bd"));
  EXPECT_THAT(ParseSharedParts("5c1e:800"), IsEmpty());
  EXPECT_THAT(ParseSharedParts(""), IsEmpty());
  EXPECT_THAT(ParseSharedParts(",:5, 7 ,x"), ElementsAre("7"));
}

// Sums of counts that clients state must not overflow.
TEST(MessageHeadersTest, PromptPartsKeepTheirTokenCounts)
{
  const auto tokens = [](std::string_view aText) {
    std::vector<std::uint64_t> counts;
    for (const PromptPart& part : ParsePromptParts(aText)) {
      counts.push_back(part.mTokens);
    }
    return counts;
  };
  EXPECT_THAT(tokens("5c1e:800,91bd: 410 , e440:250"), ElementsAre(800, 410));
  EXPECT_THAT(tokens("a:18446744073709551615,b:99999999999999999999,c"),
              ElementsAre(std::uint64_t{ 1 } << 40U, 0));
  EXPECT_THAT(tokens("a,b:,c:-5,d:5x,e:1:2,f"), ElementsAre(0, 0, 0, 0, 0));
  EXPECT_THAT(ParsePromptParts("5c1e:800"), IsEmpty());
}

TEST(MessageHeadersTest, DecimalsAreReadStrictly)
{
  EXPECT_EQ(ParseDecimal("5.4"), 5.4);
  EXPECT_EQ(ParseDecimal("0"), 0);
  for (const char* const text :
       { "", "-1", "5,4", "1e3", "nan", "inf", "5 " }) {
    EXPECT_EQ(ParseDecimal(text), std::nullopt) << text;
  }
}

TEST(MessageHeadersTest, NumbersAreReadStrictly)
{
  EXPECT_EQ(ParseNumber("12"), 12U);
  for (const char* const bad : { "", "-1", "1.5", "12x", " 1" }) {
    EXPECT_FALSE(ParseNumber(bad).has_value()) << bad;
  }
  EXPECT_EQ(ParseTokenCounts("1460,80")->mMaxOutput, 80U);
  EXPECT_FALSE(ParseTokenCounts("1460").has_value());
  EXPECT_EQ(BearerKey("bearer k"), "k");
  EXPECT_EQ(BearerKey("Basic k"), "");
}

} // namespace cactusgw::test
