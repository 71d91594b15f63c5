/// Guards against responses that are cut for the sake of a retry that can't
/// happen any more.

#include "cactusgw/core/attempt_deadline.hpp"

#include <gtest/gtest.h>

namespace cactusgw::test {

namespace {

constexpr Milliseconds kStep{ 1 };

Instant
At(std::int64_t aMs)
{
  return Instant{ Milliseconds{ aMs } };
}

} // namespace

TEST(AttemptDeadlineTest, AResponseThatBeginsJustBeforeTheRetryHasAllTheTime)
{
  for (const std::int64_t ms : { 2, 100, 2000, 39'000 }) {
    const AttemptDeadline deadline =
      AttemptDeadline::Create(At(0), At(ms), Milliseconds{ 0 });
    const Instant retry = deadline.RetryAt();
    EXPECT_FALSE(deadline.MakesWayForRetry({ false, true }, retry - kStep));
    for (Instant now = retry; now <= deadline.End(); now += kStep) {
      ASSERT_FALSE(deadline.MakesWayForRetry({ true, true }, now));
    }
    EXPECT_EQ(deadline.End(), At(ms) + AttemptDeadline::kGrace);
  }
}

TEST(AttemptDeadlineTest, AnAttemptThatCanNotBeRepeatedHasAllTheTime)
{
  const AttemptDeadline deadline =
    AttemptDeadline::Create(At(0), At(2000), Milliseconds{ 250 });
  for (Instant now = At(0); now <= deadline.End(); now += kStep) {
    ASSERT_FALSE(deadline.MakesWayForRetry({ false, false }, now));
  }
}

TEST(AttemptDeadlineTest, ASilentAttemptLeavesHalfOfTheTimeForARetry)
{
  const AttemptDeadline deadline =
    AttemptDeadline::Create(At(500), At(2500), Milliseconds{ 250 });
  EXPECT_EQ(deadline.RetryAt(), At(1500));
  EXPECT_TRUE(deadline.MakesWayForRetry({ false, true }, At(1500)));
  EXPECT_FALSE(deadline.MakesWayForRetry({ false, true }, At(2500)));
}

// An attempt was given up for a retry that had no time to be answered.
TEST(AttemptDeadlineTest, AnAttemptMakesWayOnlyWhileARetryHasTime)
{
  const AttemptDeadline deadline =
    AttemptDeadline::Create(At(500), At(2500), Milliseconds{ 250 });
  EXPECT_TRUE(deadline.MakesWayForRetry({ false, true }, At(2000)));
  EXPECT_FALSE(deadline.MakesWayForRetry({ false, true }, At(2001)));
}

// A retry after the request's deadline answers nobody.
TEST(AttemptDeadlineTest, AnAttemptGetsTheLatencyObjectiveOrAllTheTime)
{
  EXPECT_EQ(
    AttemptDeadline::Create(At(0), At(2000), Milliseconds{ 1500 }).RetryAt(),
    At(1500));
  const AttemptDeadline deadline =
    AttemptDeadline::Create(At(0), At(1000), Milliseconds{ 1500 });
  for (Instant now = At(0); now <= deadline.End(); now += kStep) {
    ASSERT_FALSE(deadline.MakesWayForRetry({ false, true }, now));
  }
}

} // namespace cactusgw::test
