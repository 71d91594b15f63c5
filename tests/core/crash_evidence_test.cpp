#include "cactusgw/core/crash_evidence.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

/// A crash of an upstream of its own, with one suspect.
void
Crash(CrashEvidence& aEvidence, std::int64_t aMs, const PartSet& aParts)
{
  const std::string upstream = "u" + std::to_string(aMs);
  aEvidence.OnCrash({ upstream, 1 }, aParts, At(aMs));
}

std::vector<PartSet>
QuarantinedAt(CrashEvidence& aEvidence, std::int64_t aMs)
{
  aEvidence.Update(At(aMs));
  std::vector<PartSet> parts;
  for (const Quarantine& quarantine : aEvidence.Quarantines()) {
    parts.push_back(quarantine.mParts);
  }
  return parts;
}

bool
IsRefused(const CrashEvidence& aEvidence, const PartSet& aParts)
{
  return aEvidence.Find(aParts) != nullptr;
}

/// Reports everything that one gateway knows to another.
void
Report(const CrashEvidence& aFrom, CrashEvidence& aTo)
{
  for (const auto& [upstream, report] : aFrom.Crashes()) {
    aTo.Merge(report);
  }
  for (const auto& [part, servedAt] : aFrom.Served()) {
    aTo.MergeServed(part, servedAt);
  }
}

} // namespace

// Two upstreams can end by chance while requests with one rare part wait.
TEST(CrashEvidenceTest, BlamesAPartOnlyAfterThreeCrashes)
{
  CrashEvidence evidence = CrashEvidence::Create();
  Crash(evidence, 0, { "a", "dead" });
  Crash(evidence, 1000, { "b", "dead" });
  EXPECT_THAT(QuarantinedAt(evidence, 1500), IsEmpty());
  Crash(evidence, 2000, { "c", "dead" });
  EXPECT_THAT(QuarantinedAt(evidence, 2299), IsEmpty());
  EXPECT_THAT(QuarantinedAt(evidence, 2300), ElementsAre(PartSet{ "dead" }));
  EXPECT_TRUE(IsRefused(evidence, { "dead", "z" }));
  EXPECT_FALSE(IsRefused(evidence, { "a", "b", "c" }));
}

// A power loss that takes several upstreams at once says nothing about what
// their requests share.
TEST(CrashEvidenceTest, CrashesAtTheSameTimeCountAsOne)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 10; ++i) {
    Crash(evidence, i * 10, { "shared" });
  }
  EXPECT_THAT(QuarantinedAt(evidence, 1000), IsEmpty());
}

// The first part of a prompt is shared by many sound requests.
TEST(CrashEvidenceTest, PartsThatWereServedAreNotBlamed)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 4; ++i) {
    Crash(evidence, i * 1000, { "dead", "first" });
    evidence.OnServed(PartSet{ "first" }, At(i * 1000 + 500));
  }
  EXPECT_THAT(QuarantinedAt(evidence, 4000), ElementsAre(PartSet{ "dead" }));
}

// Parts that came only together can't be told apart: sound requests with some
// of them are served, and tell which part is to blame.
TEST(CrashEvidenceTest, PartsThatAlwaysComeTogetherAreBlamedTogether)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 3; ++i) {
    Crash(evidence, i * 1000, { "dead", "first", "own" + std::to_string(i) });
  }
  EXPECT_THAT(QuarantinedAt(evidence, 3000),
              ElementsAre(PartSet{ "dead", "first" }));
  EXPECT_FALSE(IsRefused(evidence, { "first", "x" }));
  evidence.OnServed(PartSet{ "first", "x" }, At(3500));
  EXPECT_THAT(QuarantinedAt(evidence, 4000), ElementsAre(PartSet{ "dead" }));
}

// The same, when the next request with the deadly part comes in other company.
TEST(CrashEvidenceTest, OneMoreCrashTellsPartsApart)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 3; ++i) {
    Crash(evidence, i * 1000, { "dead", "first" });
  }
  EXPECT_THAT(QuarantinedAt(evidence, 3000),
              ElementsAre(PartSet{ "dead", "first" }));
  Crash(evidence, 4000, { "dead", "second" });
  EXPECT_THAT(QuarantinedAt(evidence, 4500), ElementsAre(PartSet{ "dead" }));
}

// A sound request that waits at upstreams which another request crashes must
// not be taken for the cause.
TEST(CrashEvidenceTest, SuspectsBesideAKnownCauseAreNotBlamed)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 6; ++i) {
    Crash(evidence, i * 1000, { "dead" });
    if (i < 4) {
      Crash(evidence, i * 1000, { "unlucky" });
    }
  }
  EXPECT_THAT(QuarantinedAt(evidence, 7000), ElementsAre(PartSet{ "dead" }));
}

// A new version of an engine can crash on a part that it used to serve.
TEST(CrashEvidenceTest, APartThatWasServedBeforeNeedsMoreCrashes)
{
  CrashEvidence evidence = CrashEvidence::Create();
  evidence.OnServed(PartSet{ "turned" }, At(0));
  for (std::int64_t i = 1; i <= 4; ++i) {
    Crash(evidence, i * 1000, { "turned" });
  }
  EXPECT_THAT(QuarantinedAt(evidence, 4900), IsEmpty());
  Crash(evidence, 5000, { "turned" });
  EXPECT_THAT(QuarantinedAt(evidence, 5400), ElementsAre(PartSet{ "turned" }));
  // A mistake would stop all requests with the part, so it ends soon.
  EXPECT_THAT(QuarantinedAt(evidence, 62'000), IsEmpty());
}

// Each gateway sees few of the crashes, and only one has served the first part.
TEST(CrashEvidenceTest, GatewaysThatReportToEachOtherAgree)
{
  std::vector<CrashEvidence> gateways(5, CrashEvidence::Create());
  gateways[4].OnServed(PartSet{ "first" }, At(100));
  for (std::int64_t i = 0; i < 3; ++i) {
    Crash(gateways[static_cast<std::size_t>(i)],
          1000 + i * 1000,
          { "dead", "first" });
  }
  for (int round = 0; round < 2; ++round) {
    for (CrashEvidence& from : gateways) {
      for (CrashEvidence& to : gateways) {
        Report(from, to);
        to.Update(At(3100));
      }
    }
  }
  for (CrashEvidence& gateway : gateways) {
    EXPECT_THAT(QuarantinedAt(gateway, 3400), ElementsAre(PartSet{ "dead" }));
    EXPECT_EQ(gateway.Digest(), gateways[0].Digest());
  }
}

TEST(CrashEvidenceTest, ReportsThatBringNothingNewChangeNothing)
{
  CrashEvidence evidence = CrashEvidence::Create();
  Crash(evidence, 0, { "dead" });
  CrashEvidence other = CrashEvidence::Create();
  Report(evidence, other);
  const std::uint64_t version = evidence.Version();
  Report(other, evidence);
  EXPECT_EQ(evidence.Version(), version);
}

// After a restart of all gateways, only the store knows of the quarantine.
TEST(CrashEvidenceTest, StoredQuarantinesApplyUntilTheyAreRefuted)
{
  CrashEvidence evidence = CrashEvidence::Create();
  evidence.SetStored({ { "dead", "first" } });
  EXPECT_THAT(QuarantinedAt(evidence, 0),
              ElementsAre(PartSet{ "dead", "first" }));
  evidence.OnServed(PartSet{ "first" }, At(100));
  EXPECT_THAT(QuarantinedAt(evidence, 2000),
              ElementsAre(PartSet{ "dead", "first" }));
  evidence.OnServed(PartSet{ "dead" }, At(3000));
  EXPECT_THAT(QuarantinedAt(evidence, 5000), IsEmpty());
}

TEST(CrashEvidenceTest, QuarantinesEndAndTheirEvidenceIsDropped)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 3; ++i) {
    Crash(evidence, i * 1000, { "dead" });
  }
  EXPECT_THAT(QuarantinedAt(evidence, 599'999), ElementsAre(PartSet{ "dead" }));
  EXPECT_THAT(QuarantinedAt(evidence, 602'000), IsEmpty());
  EXPECT_TRUE(evidence.Crashes().empty());
  EXPECT_EQ(evidence.Digest(), 0U);
}

// Crashes for other reasons must neither grow the state nor end a quarantine.
TEST(CrashEvidenceTest, StateIsBoundedAndKeepsTheEvidenceOfQuarantines)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < 3; ++i) {
    Crash(evidence, i * 1000, { "dead" });
  }
  EXPECT_THAT(QuarantinedAt(evidence, 3000), ElementsAre(PartSet{ "dead" }));
  for (std::int64_t i = 0; i < 1000; ++i) {
    const std::string upstream = "v" + std::to_string(i);
    for (int n = 0; n < 100; ++n) {
      evidence.OnCrash({ upstream, 1 },
                       PartSet{ upstream + "/" + std::to_string(n) },
                       At(4000 + i));
    }
  }
  EXPECT_EQ(evidence.Crashes().size(), CrashEvidence::kMaxCrashes);
  for (const auto& [start, report] : evidence.Crashes()) {
    EXPECT_LE(report.mSuspects.size(), CrashEvidence::kMaxSuspects);
  }
  EXPECT_THAT(QuarantinedAt(evidence, 6000), ElementsAre(PartSet{ "dead" }));
}

// Many requests with few shared parts, some deadly, at many upstreams, of which
// some end for other reasons: only the deadly part is blamed, within five
// crashes and the time to settle.
TEST(CrashEvidenceTest, BlamesOnlyTheDeadlyPartOfManyRequests)
{
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random{ seed };
    const auto draw = [&](int aBelow) {
      return static_cast<int>(random() % static_cast<std::uint32_t>(aBelow));
    };
    CrashEvidence evidence = CrashEvidence::Create();
    std::vector<std::int64_t> deadlyCrashes;
    std::size_t lateArrivals = 0;
    for (std::int64_t ms = 0; ms < 40'000; ms += 100) {
      evidence.Update(At(ms));
      const bool isDeadly = ms > 4000 && draw(6) == 0;
      const bool isOtherCrash = draw(40) == 0;
      PartSet parts{ "first" + std::to_string(draw(12)),
                     "second" + std::to_string(draw(40)) };
      if (isDeadly) {
        parts.push_back("deadly");
      }
      if (IsRefused(evidence, parts)) {
        EXPECT_TRUE(isDeadly) << "seed " << seed << " at " << ms;
        continue;
      }
      if (!isDeadly && !isOtherCrash) {
        evidence.OnServed(parts, At(ms));
        continue;
      }
      const UpstreamStart upstream{ "u" + std::to_string(ms), ms };
      evidence.OnCrash(upstream, parts, At(ms));
      const PartSet beside{ "first" + std::to_string(draw(12)),
                            "second" + std::to_string(draw(40)) };
      evidence.OnCrash(upstream, beside, At(ms));
      if (isDeadly) {
        lateArrivals +=
          deadlyCrashes.size() >= 5 && ms > deadlyCrashes[4] + 4000 ? 1 : 0;
        deadlyCrashes.push_back(ms);
      }
    }
    EXPECT_EQ(lateArrivals, 0U) << "seed " << seed;
    EXPECT_LE(deadlyCrashes.size(), 8U) << "seed " << seed;
  }
}

} // namespace cactusgw::test
