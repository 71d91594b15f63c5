#include "cactusgw/core/byte_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr std::size_t kMb = std::size_t{ 1024 } * 1024;

} // namespace

// Guards against a sum of sound requests that takes a process over its limit.
TEST(ByteBudgetTest, NoInterleavingExceedsTheCapacityAndAllBytesReturn)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random{ seed };
    const std::shared_ptr<ByteBudget> budget =
      ByteBudget::Create({ 40 * kMb, 5 * kMb });
    std::vector<ByteReservation> held;
    for (int step = 0; step < 5000; ++step) {
      const unsigned choice = random() % 4;
      if (held.empty() || choice == 0) {
        held.emplace_back(budget);
      } else if (choice == 1) {
        held.erase(held.begin() +
                   static_cast<std::ptrdiff_t>(random() % held.size()));
      } else {
        ByteReservation& some = held[random() % held.size()];
        const std::size_t before = some.Bytes();
        const std::size_t wanted = random() % (8 * kMb);
        const bool fits = some.TryGrowTo(wanted);
        EXPECT_EQ(some.Bytes(), fits ? std::max(before, wanted) : before);
      }
      std::size_t sum = 0;
      for (const ByteReservation& reservation : held) {
        sum += reservation.Bytes();
      }
      ASSERT_EQ(budget->Used(), sum);
      ASSERT_LE(budget->Used(), budget->Capacity());
    }
    EXPECT_GT(budget->Refusals(), 0U);
    held.clear();
    EXPECT_EQ(budget->Used(), 0U);
  }
}

// Guards against large bodies that keep small requests from being served.
TEST(ByteBudgetTest, LargeReservationsLeaveRoomForSmallOnes)
{
  const std::shared_ptr<ByteBudget> budget =
    ByteBudget::Create({ 8 * kMb, kMb });
  ByteReservation large{ budget };
  EXPECT_TRUE(large.TryGrowTo(7 * kMb));
  ByteReservation other{ budget };
  EXPECT_FALSE(other.TryGrowTo(ByteBudget::kSmallBytes + 1));
  EXPECT_TRUE(other.TryGrowTo(ByteBudget::kSmallBytes));
  EXPECT_FALSE(other.TryGrowTo(ByteBudget::kSmallBytes + 1));
  EXPECT_EQ(budget->Refusals(), 2U);
  EXPECT_EQ(budget->Used(), 7 * kMb + ByteBudget::kSmallBytes);
  large.Release();
  EXPECT_TRUE(other.TryGrowTo(kMb));
  EXPECT_EQ(budget->Peak(), 7 * kMb + ByteBudget::kSmallBytes);
}

TEST(ByteBudgetTest, BytesThatCannotBeRefusedCountBeyondTheCapacity)
{
  const std::shared_ptr<ByteBudget> budget = ByteBudget::Create({ kMb, 0 });
  ByteReservation forced{ budget };
  forced.GrowTo(2 * kMb);
  ByteReservation other{ budget };
  EXPECT_FALSE(other.TryGrowTo(1));
  ByteReservation moved{ std::move(forced) };
  moved = ByteReservation{ budget };
  EXPECT_EQ(budget->Used(), 0U);
  EXPECT_TRUE(other.TryGrowTo(1));
}

// A tenth of the limit stays free, and there is room for some request.
TEST(ByteBudgetTest, ProcessesOfAllSizesHaveRoomWithinTheirLimit)
{
  for (std::size_t limit = 32 * kMb; limit <= 4096 * kMb; limit *= 2) {
    const ByteBudgetSizes sizes = ByteBudgetSizes::ForProcess(limit);
    EXPECT_LT(sizes.mCapacity, limit - limit / 10);
    EXPECT_GT(sizes.mCapacity, 2 * kMb);
    EXPECT_GT(sizes.mSmallReserve, ByteBudget::kSmallBytes);
  }
}

} // namespace cactusgw::test
