#include "cactusgw/core/outlier_detector.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw::test {

namespace {

using State = OutlierDetector::State;

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

} // namespace

/// Ten upstreams of one service; all but the first give 20 good answers unless
/// a test says otherwise.
class OutlierDetectorTest : public ::testing::Test
{
protected:
  OutlierDetectorTest()
  {
    for (int n = 0; n < 10; ++n) {
      mNames.push_back("u" + std::to_string(n));
      mAnswers.push_back(20);
      mFailures.push_back(0);
    }
  }

  State Update(std::uint32_t aAnswers, std::uint32_t aFailures, int64_t aMs)
  {
    mAnswers[0] = aAnswers;
    mFailures[0] = aFailures;
    std::vector<ResponseCounts> counts;
    for (std::size_t n = 0; n < mNames.size(); ++n) {
      counts.push_back({ mNames[n], mAnswers[n], mFailures[n] });
    }
    mDetector.Update(counts, At(aMs));
    return mDetector.StateOf("u0");
  }

  std::vector<std::string> mNames;
  std::vector<std::uint32_t> mAnswers;
  std::vector<std::uint32_t> mFailures;
  OutlierDetector mDetector = OutlierDetector::Create();
};

// Failures of before the ejection are in the window for longer than the
// ejection lasts. They ended the probes of an upstream that had recovered.
TEST_F(OutlierDetectorTest, OldFailuresDoNotEndAProbe)
{
  ASSERT_EQ(Update(10, 10, 0), State::Ejected);
  Update(8, 8, 2000);
  EXPECT_EQ(Update(9, 8, 2100), State::Ejected);
  EXPECT_EQ(Update(0, 0, 3000), State::Probing);
  EXPECT_EQ(Update(1, 0, 3200), State::Probing);
  EXPECT_EQ(Update(3, 0, 3400), State::Admitted);
}

TEST_F(OutlierDetectorTest, FailuresOfProbesEjectForLonger)
{
  ASSERT_EQ(Update(10, 10, 0), State::Ejected);
  ASSERT_EQ(Update(0, 0, 3000), State::Probing);
  EXPECT_EQ(Update(2, 1, 3100), State::Ejected);
  EXPECT_EQ(Update(0, 0, 6900), State::Ejected);
  EXPECT_EQ(Update(0, 0, 7200), State::Probing);
}

// A single failure ended the probes also where the others fail as often, and
// the upstream was ejected for twice as long each time.
TEST_F(OutlierDetectorTest, FailuresThatAllUpstreamsHaveDoNotEndAProbe)
{
  mFailures.assign(10, 4);
  ASSERT_EQ(Update(20, 20, 0), State::Ejected);
  ASSERT_EQ(Update(0, 0, 3000), State::Probing);
  EXPECT_EQ(Update(1, 1, 3100), State::Probing);
  EXPECT_EQ(Update(5, 1, 3300), State::Probing);
  EXPECT_EQ(Update(7, 1, 3500), State::Admitted);
}

// An upstream that no gateway probes took a place of the ejected for ever.
TEST_F(OutlierDetectorTest, AnUpstreamWithoutProbesIsAdmitted)
{
  ASSERT_EQ(Update(10, 10, 0), State::Ejected);
  ASSERT_EQ(Update(0, 0, 3000), State::Probing);
  EXPECT_EQ(Update(0, 0, 14'000), State::Admitted);
}

// Once ejected, an upstream was ejected for 8 s also minutes later.
TEST_F(OutlierDetectorTest, EjectionsGrowOnlyWhileTheyFollowEachOther)
{
  ASSERT_EQ(Update(10, 10, 0), State::Ejected);
  ASSERT_EQ(Update(0, 0, 3000), State::Probing);
  ASSERT_EQ(Update(1, 1, 3100), State::Ejected);
  ASSERT_EQ(Update(0, 0, 7200), State::Probing);
  ASSERT_EQ(Update(3, 0, 7300), State::Admitted);
  ASSERT_EQ(Update(10, 10, 60'000), State::Ejected);
  EXPECT_EQ(Update(0, 0, 62'100), State::Probing);
}

// An upstream with false reports of bad health goes and comes back within a
// second or two; its ejection was forgotten each time.
TEST_F(OutlierDetectorTest, AnEjectionOutlastsAShortAbsence)
{
  ASSERT_EQ(Update(10, 10, 0), State::Ejected);
  const std::vector<ResponseCounts> others{ { "u1", 20, 0 }, { "u2", 20, 0 } };
  mDetector.Update(others, At(500));
  EXPECT_EQ(mDetector.EjectedCount(), 0U);
  EXPECT_EQ(Update(0, 0, 1000), State::Ejected);
}

TEST_F(OutlierDetectorTest, EjectsAtMostThreeInTenAndTheWorstFirst)
{
  mFailures = { 0, 19, 18, 17, 0, 0, 0, 0, 0, 0 };
  EXPECT_EQ(Update(20, 16, 0), State::Admitted);
  for (const char* const name : { "u1", "u2", "u3" }) {
    EXPECT_EQ(mDetector.StateOf(name), State::Ejected);
  }
}

TEST_F(OutlierDetectorTest, TooFewFailuresOrFailuresOfAllEjectNobody)
{
  EXPECT_EQ(Update(2, 2, 0), State::Admitted);
  // More failures than answers: the figures of a message that is wrong.
  EXPECT_EQ(Update(1, 5, 0), State::Admitted);
  for (const std::uint32_t failures : { 3U, 12U, 20U }) {
    mFailures.assign(10, failures);
    EXPECT_EQ(Update(20, failures, 0), State::Admitted);
  }
}

// Good upstreams must not be ejected by chance, also where 0.14 of all requests
// fail. Each evaluation may eject one with kFalseEjectionRate; the windows of
// consecutive evaluations overlap, so that about one in 3 s counts.
TEST(OutlierFleetTest, EjectsFewSoundUpstreamsInMinutes)
{
  constexpr int kSeconds = 600;
  for (const std::size_t upstreams : { 44U, 56U }) {
    for (const double rate : { 0.0, 0.01, 0.14 }) {
      std::mt19937 random{ 1 };
      std::bernoulli_distribution fails{ rate };
      OutlierDetector detector = OutlierDetector::Create();
      std::vector<std::string> names;
      for (std::size_t n = 0; n < upstreams; ++n) {
        names.push_back(std::to_string(n));
      }
      std::deque<std::pair<std::size_t, bool>> window;
      int ejections = 0;
      for (int tick = 0; tick < kSeconds * 10; ++tick) {
        for (int n = 0; n < 10; ++n) {
          window.emplace_back(random() % upstreams, fails(random));
        }
        while (window.size() > 300) {
          window.pop_front();
        }
        std::vector<ResponseCounts> counts;
        for (const std::string& name : names) {
          counts.push_back({ name, 0, 0 });
        }
        for (const auto& [upstream, isFailure] : window) {
          ++counts[upstream].mAnswers;
          counts[upstream].mFailures += isFailure ? 1 : 0;
        }
        for (const auto& change :
             detector.Update(counts, At(std::int64_t{ 100 } * tick))) {
          ejections += change.mState == State::Ejected ? 1 : 0;
        }
      }
      EXPECT_LE(ejections, 2) << upstreams << " upstreams, rate " << rate;
      RecordProperty("ejections", ejections);
    }
  }
}

TEST(OutlierFleetTest, OneGatewayAtATurnProbes)
{
  for (const std::uint32_t gateways : { 8U, 77U, 300U }) {
    std::vector<std::int64_t> last(gateways, -1'000'000);
    int probes = 0;
    for (std::int64_t ms = 0; ms < 100'000; ms += 10) {
      for (std::uint32_t rank = 0; rank < gateways; ++rank) {
        if (IsProbeTurn({ rank, gateways, 12345 }, ms, ms - last[rank])) {
          last[rank] = ms;
          ++probes;
        }
      }
    }
    EXPECT_NEAR(probes, 400, 10) << gateways;
  }
}

} // namespace cactusgw::test
