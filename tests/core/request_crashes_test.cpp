#include "cactusgw/core/request_crashes.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr RequestFingerprint kDeadly{ 1 };
constexpr RequestFingerprint kSound{ 2 };

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

/// The request has been in progress for 50 ms when an upstream crashes that
/// crashes only once.
void
Crash(RequestCrashes& aCrashes, RequestFingerprint aRequest, std::int64_t aMs)
{
  aCrashes.OnCrash(
    aRequest, { "u" + std::to_string(aMs), 1 }, At(aMs - 50), At(aMs));
}

void
Report(const RequestCrashes& aFrom, RequestCrashes& aTo, std::int64_t aMs)
{
  for (const RequestSuspicion& suspicion :
       aFrom.ChangedSince(0, RequestCrashes::kMaxRequests).first) {
    aTo.Merge(suspicion, At(aMs));
  }
}

} // namespace

// A request comes again under another id each time, so that nothing but its
// content connects the crashes.
TEST(RequestCrashesTest, AThirdCrashQuarantinesTheRequest)
{
  RequestCrashes crashes = RequestCrashes::Create();
  Crash(crashes, kDeadly, 0);
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(1)), std::nullopt);
  Crash(crashes, kDeadly, 5000);
  EXPECT_FALSE(crashes.IsQuarantined(kDeadly));
  Crash(crashes, kDeadly, 10'000);
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
  EXPECT_TRUE(crashes.HeldFor(kDeadly, At(100'000)).has_value());
  EXPECT_EQ(crashes.HeldFor(kSound, At(10'000)), std::nullopt);
}

// Immediate retries took all upstreams of a small service away at once.
TEST(RequestCrashesTest, ASecondCrashHoldsTheRequestBackForAWhile)
{
  RequestCrashes crashes = RequestCrashes::Create();
  // A sound request was in progress at both upstreams, too.
  for (const std::int64_t at : { 0, 60 }) {
    Crash(crashes, kDeadly, at);
    Crash(crashes, kSound, at);
  }
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(60)), RequestCrashes::kHoldTime);
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(61)),
            RequestCrashes::kHoldTime - Milliseconds{ 1 });
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(60) + RequestCrashes::kHoldTime),
            std::nullopt);
}

// A sound stream was broken off twice, and its client's request ended instead
// of being resumed a second time.
TEST(RequestCrashesTest, ARequestIsRetriedAfterItsOwnTwoCrashes)
{
  RequestCrashes crashes = RequestCrashes::Create();
  Crash(crashes, kSound, 0);
  Crash(crashes, kSound, 1000);
  EXPECT_EQ(crashes.HeldFor(kSound, At(1000), 2), std::nullopt);
  EXPECT_TRUE(crashes.HeldFor(kSound, At(1000), 1));
  Crash(crashes, kSound, 2000);
  EXPECT_TRUE(crashes.HeldFor(kSound, At(2000), 3));
}

// Each request that crashes its upstreams ended three of them within seconds,
// all that a small service has.
TEST(RequestCrashesTest, TheOnlySuspectOfTwoCrashesIsHeldBackLonger)
{
  RequestCrashes crashes = RequestCrashes::Create();
  Crash(crashes, kDeadly, 0);
  Crash(crashes, kSound, 0);
  Crash(crashes, kDeadly, 1000);
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(1000)),
            RequestCrashes::kSoleSuspectHoldTime);
  EXPECT_EQ(crashes.HeldFor(kSound, At(1000)), std::nullopt);
  EXPECT_EQ(
    crashes.HeldFor(kDeadly, At(1000) + RequestCrashes::kSoleSuspectHoldTime),
    std::nullopt);
  // The news that it is not the only one comes late.
  Crash(crashes, kSound, 1000);
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(1000)), RequestCrashes::kHoldTime);
}

// A data centre lost its power while one popular request was in progress at
// many upstreams.
TEST(RequestCrashesTest, SimultaneousCrashesCountAsOne)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (std::int64_t i = 0; i < 8; ++i) {
    crashes.OnCrash(kSound, { "u" + std::to_string(i), 1 }, At(0), At(100 + i));
  }
  EXPECT_EQ(crashes.HeldFor(kSound, At(200)), std::nullopt);
}

// Crashes within a few milliseconds are told apart by when the request was
// sent.
TEST(RequestCrashesTest, ACrashAfterARetryIsAnother)
{
  RequestCrashes crashes = RequestCrashes::Create();
  crashes.OnCrash(kDeadly, { "a", 1 }, At(0), At(10));
  crashes.OnCrash(kDeadly, { "b", 1 }, At(12), At(20));
  EXPECT_TRUE(crashes.HeldFor(kDeadly, At(20)).has_value());
  crashes.OnCrash(kDeadly, { "c", 1 }, At(22), At(30));
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
}

// Copies of a request ended all upstreams of a small service at once, which
// counted as one crash, each time that they were back.
TEST(RequestCrashesTest, CopiesAtOnceAndAnotherCrashQuarantineTheRequest)
{
  RequestCrashes crashes = RequestCrashes::Create();
  crashes.OnCrash(kDeadly, { "a", 1 }, At(0), At(100));
  crashes.OnCrash(kDeadly, { "b", 1 }, At(10), At(110));
  EXPECT_FALSE(crashes.IsQuarantined(kDeadly));
  crashes.OnCrash(kDeadly, { "c", 1 }, At(3000), At(3100));
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
}

// Several connections of one upstream end with each of its crashes.
TEST(RequestCrashesTest, OneStartOfAnUpstreamCrashesOnce)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (std::int64_t i = 0; i < 5; ++i) {
    crashes.OnCrash(kDeadly, { "u", 1 }, At(i * 1000), At(i * 1000 + 10));
  }
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(4010)), std::nullopt);
  crashes.OnCrash(kDeadly, { "u", 2 }, At(5000), At(5010));
  crashes.OnCrash(kDeadly, { "u", 3 }, At(9000), At(9010));
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
}

// Sound requests were in progress beside the deadly one at each crash.
TEST(RequestCrashesTest, AServedRequestIsCleared)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (std::int64_t i = 0; i < 4; ++i) {
    Crash(crashes, kSound, i * 1000);
    Crash(crashes, kDeadly, i * 1000);
    crashes.OnServed(kSound);
  }
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
  EXPECT_FALSE(crashes.IsQuarantined(kSound));
  EXPECT_EQ(crashes.HeldFor(kSound, At(3001)), std::nullopt);
}

// Upstreams that only close connections, and go on, have not crashed: sound
// requests were refused for minutes.
TEST(RequestCrashesTest, AnUpstreamThatRespondsLaterHasNotCrashed)
{
  RequestCrashes crashes = RequestCrashes::Create();
  RequestCrashes other = RequestCrashes::Create();
  for (const std::int64_t at : { 0, 1000, 2000 }) {
    Crash(crashes, kSound, at);
  }
  Report(crashes, other, 2000);
  crashes.OnResponse({ "u0", 1 }, At(-10));
  EXPECT_TRUE(crashes.IsQuarantined(kSound));
  crashes.OnResponse({ "u0", 2 }, At(5000));
  EXPECT_TRUE(crashes.IsQuarantined(kSound));
  crashes.OnResponse({ "u0", 1 }, At(10));
  EXPECT_FALSE(crashes.IsQuarantined(kSound));
  Report(crashes, other, 3000);
  EXPECT_FALSE(other.IsQuarantined(kSound));
}

// A sick upstream closed the connection of a request and went on; later the
// same start ended under that request, which did not count.
TEST(RequestCrashesTest, ACrashAfterARefutedOneCounts)
{
  RequestCrashes crashes = RequestCrashes::Create();
  RequestCrashes other = RequestCrashes::Create();
  for (const char* const upstream : { "a", "b", "c" }) {
    crashes.OnCrash(kDeadly, { upstream, 1 }, At(0), At(10));
    Report(crashes, other, 10);
    crashes.OnResponse({ upstream, 1 }, At(20));
  }
  EXPECT_EQ(crashes.CountOf(kDeadly).mCrashes, 0U);
  const std::vector<RequestSuspicion> cleared =
    crashes.ChangedSince(0, 10).first;
  std::int64_t at = 1000;
  for (const char* const upstream : { "a", "b", "c" }) {
    crashes.OnCrash(kDeadly, { upstream, 1 }, At(at), At(at + 100));
    at += 1000;
  }
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
  // The news of the refuted crashes comes late, and again.
  Report(crashes, other, 4000);
  for (const RequestSuspicion& late : cleared) {
    other.Merge(late, At(4000));
  }
  EXPECT_TRUE(other.IsQuarantined(kDeadly));
  EXPECT_EQ(crashes.Digest(), other.Digest());
}

// The connections of two copies end with one crash, the second one after the
// first copy was served elsewhere.
TEST(RequestCrashesTest, ACopyOfTheClearedCrashDoesNotCount)
{
  RequestCrashes crashes = RequestCrashes::Create();
  crashes.OnCrash(kSound, { "a", 1 }, At(0), At(10));
  crashes.OnServed(kSound);
  crashes.OnCrash(kSound, { "a", 1 }, At(5), At(15));
  EXPECT_EQ(crashes.CountOf(kSound).mCrashes, 0U);
}

// The report of a crash may arrive after the news that the request was served,
// and again from a gateway that has not heard it.
TEST(RequestCrashesTest, AClearedCrashStaysCleared)
{
  RequestCrashes crashes = RequestCrashes::Create();
  RequestCrashes late = RequestCrashes::Create();
  for (const std::int64_t at : { 0, 1000, 2000 }) {
    Crash(crashes, kSound, at);
  }
  Report(crashes, late, 2000);
  crashes.OnServed(kSound);
  Report(late, crashes, 3000);
  EXPECT_FALSE(crashes.IsQuarantined(kSound));
  Report(crashes, late, 3000);
  EXPECT_FALSE(late.IsQuarantined(kSound));
  EXPECT_EQ(crashes.Digest(), late.Digest());
}

TEST(RequestCrashesTest, AQuarantineEndsWithItsEvidence)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (const std::int64_t at : { 0, 1000, 2000 }) {
    Crash(crashes, kDeadly, at);
  }
  EXPECT_EQ(crashes.Update(At(2000)).mBegun.size(), 1U);
  EXPECT_EQ(crashes.Update(At(3000)).mBegun.size(), 0U);
  const RequestQuarantineChanges changes =
    crashes.Update(At(2000) + RequestCrashes::kMaxAge);
  EXPECT_EQ(changes.mEnded.size(), 1U);
  EXPECT_EQ(crashes.Size(), 0U);
  EXPECT_EQ(crashes.Digest(), 0U);
}

// Reports from before the expiry come late.
TEST(RequestCrashesTest, OldReportsAreIgnored)
{
  RequestCrashes old = RequestCrashes::Create();
  Crash(old, kDeadly, 0);
  RequestCrashes crashes = RequestCrashes::Create();
  Report(old, crashes, RequestCrashes::kMaxAge.count());
  EXPECT_EQ(crashes.Size(), 0U);
}

// All gateways have restarted; the store still holds the quarantine.
TEST(RequestCrashesTest, AStoredQuarantineAppliesWithoutEvidence)
{
  RequestCrashes crashes = RequestCrashes::Create();
  crashes.SetStored({ kDeadly });
  EXPECT_TRUE(crashes.HeldFor(kDeadly, At(0)).has_value());
  EXPECT_EQ(crashes.Update(At(0)).mBegun.size(), 1U);
  crashes.SetStored({});
  EXPECT_EQ(crashes.HeldFor(kDeadly, At(0)), std::nullopt);
}

TEST(RequestCrashesTest, AStoredQuarantineOfAServedRequestIsVoid)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (const std::int64_t at : { 0, 1000, 2000 }) {
    Crash(crashes, kSound, at);
  }
  crashes.OnServed(kSound);
  crashes.SetStored({ kSound });
  EXPECT_FALSE(crashes.IsQuarantined(kSound));
  crashes.Update(At(2000));
  EXPECT_TRUE(crashes.Quarantined().empty());
}

// Somebody sends thousands of requests that crash upstreams, beside many
// innocent suspects.
TEST(RequestCrashesTest, TheStateIsBoundedAndKeepsQuarantines)
{
  RequestCrashes crashes = RequestCrashes::Create();
  constexpr std::uint64_t kDeadlyRequests = 1000;
  for (std::uint64_t i = 0; i < kDeadlyRequests; ++i) {
    for (const std::int64_t at : { 0, 1000, 2000 }) {
      Crash(crashes, RequestFingerprint{ 1 + i }, at);
    }
  }
  for (std::uint64_t i = 0; i < 2 * RequestCrashes::kMaxRequests; ++i) {
    Crash(crashes, RequestFingerprint{ 1'000'000 + i }, 3000);
  }
  EXPECT_LE(crashes.Size(), RequestCrashes::kMaxRequests);
  EXPECT_TRUE(crashes.IsQuarantined(RequestFingerprint{ 1 }));
  EXPECT_TRUE(crashes.IsQuarantined(RequestFingerprint{ kDeadlyRequests }));
}

TEST(RequestCrashesTest, TheCrashesOfOneRequestAreBounded)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (std::int64_t i = 0; i < 100; ++i) {
    Crash(crashes, kDeadly, i * 1000);
  }
  const std::vector<RequestSuspicion> all = crashes.ChangedSince(0, 10).first;
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().mCrashes.size(), RequestCrashes::kMaxCrashesOfRequest);
  EXPECT_TRUE(crashes.IsQuarantined(kDeadly));
}

// The prompt parts of a request that crashes upstreams were blamed with it.
TEST(RequestCrashesTest, TellsWhetherOneRequestExplainsCrashes)
{
  RequestCrashes crashes = RequestCrashes::Create();
  Crash(crashes, kDeadly, 0);
  Crash(crashes, kDeadly, 1000);
  Crash(crashes, kSound, 2000);
  const std::vector<UpstreamStart> both{ { "u0", 1 }, { "u1000", 1 } };
  EXPECT_TRUE(crashes.HasSuspectOfAll(both));
  const std::vector<UpstreamStart> all{ { "u0", 1 },
                                        { "u1000", 1 },
                                        { "u2000", 1 } };
  EXPECT_FALSE(crashes.HasSuspectOfAll(all));
}

// What a gateway saw on its broken links stayed evidence at all others.
TEST(RequestCrashesTest, WithdrawnCrashesAreClearedAtOtherGateways)
{
  RequestCrashes own = RequestCrashes::Create();
  RequestCrashes other = RequestCrashes::Create();
  Crash(other, kDeadly, 9000);
  Report(other, own, 9000);
  for (const int ms : { 1000, 9500, 9700, 9900 }) {
    Crash(own, kDeadly, ms);
  }
  Report(own, other, 10'000);
  EXPECT_TRUE(other.IsQuarantined(kDeadly));
  EXPECT_EQ(own.WithdrawOwn(At(9000)), 3U);
  Report(own, other, 10'000);
  EXPECT_FALSE(other.IsQuarantined(kDeadly));
  // The other gateway's own crash, and the earlier one, stay.
  EXPECT_EQ(other.CountOf(kDeadly).mCrashes, 2U);
  EXPECT_EQ(own.WithdrawOwn(At(9000)), 0U);
}

TEST(RequestCrashesTest, ChangesComeInPages)
{
  RequestCrashes crashes = RequestCrashes::Create();
  for (std::uint64_t i = 1; i <= 10; ++i) {
    Crash(crashes, RequestFingerprint{ i }, 0);
  }
  const auto [first, version] = crashes.ChangedSince(0, 6);
  EXPECT_EQ(first.size(), 6U);
  const auto [second, end] = crashes.ChangedSince(version, 6);
  EXPECT_EQ(second.size(), 4U);
  EXPECT_EQ(end, crashes.Version());
  EXPECT_TRUE(crashes.ChangedSince(end, 6).first.empty());
}

} // namespace cactusgw::test
