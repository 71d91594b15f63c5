#include "cactusgw/core/limit_pacer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

/// Gateways that send to one limited upstream, and learn of each other's
/// requests late.
class Fleet
{
public:
  static constexpr std::int64_t kStepMs = 25;
  /// Time until other gateways know of a request.
  static constexpr std::int64_t kDelayMs = 100;
  static constexpr int kMaxWaiting = 5;

  /// @param aMaxWaiting requests that wait at a gateway; others go elsewhere
  Fleet(std::uint32_t aGateways, double aLimit, int aMaxWaiting)
    : mLimit(aLimit)
    , mMaxWaiting(aMaxWaiting)
  {
    for (std::uint32_t i = 0; i < aGateways; ++i) {
      mGateways.push_back({ LimitPacer::Create(), {}, 0 });
    }
  }

  /// Runs one step in which each gateway receives some requests. A request that
  /// can't be sent waits; the first one that waits is tried in each step.
  /// @param aReach whether gateways hear of each other
  void Step(std::int64_t aMs, const std::vector<int>& aNew, bool aReach)
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      Sender& sender = mGateways[i];
      const LimitUse use{ mLimit,
                          static_cast<std::uint32_t>(mGateways.size()),
                          static_cast<std::uint32_t>(i),
                          Recent(i, aMs, aReach) };
      sender.mPacer.Refill("u", use, At(aMs));
      for (int n = 0; n < aNew[i]; ++n) {
        if (sender.mWaiting > 0 || !TrySend(i, aMs, false, aReach)) {
          sender.mWaiting = std::min(mMaxWaiting, sender.mWaiting + 1);
        }
      }
      if (sender.mWaiting > 0 && TrySend(i, aMs, true, aReach)) {
        --sender.mWaiting;
      }
    }
  }

  /// Most arrivals in any 4 s that begin after the first 4 s.
  std::size_t MostInFourSeconds() const
  {
    std::size_t most = 0;
    for (std::size_t first = 0; first < mArrivals.size(); ++first) {
      std::size_t n = first;
      while (n < mArrivals.size() && mArrivals[n] < mArrivals[first] + 4000) {
        ++n;
      }
      most = mArrivals[first] >= 4000 ? std::max(most, n - first) : most;
    }
    return most;
  }

  std::size_t Arrivals() const { return mArrivals.size(); }
  std::size_t Bound() const
  {
    return static_cast<std::size_t>(1.5 * 4 * mLimit + 5);
  }

private:
  struct Sender
  {
    LimitPacer mPacer;
    std::vector<std::int64_t> mSent;
    int mWaiting = 0;
  };

  bool TrySend(std::size_t aGateway,
               std::int64_t aMs,
               bool aIsWaiting,
               bool aReach)
  {
    Sender& sender = mGateways[aGateway];
    const std::uint32_t recent = Recent(aGateway, aMs, aReach);
    if (!sender.mPacer.Allows(
          "u", recent, aIsWaiting, ClockOf(aGateway, aMs))) {
      return false;
    }
    sender.mPacer.OnSent("u", At(aMs));
    sender.mSent.push_back(aMs);
    mArrivals.push_back(aMs);
    return true;
  }

  /// Gateways have clocks of their own.
  static Instant ClockOf(std::size_t aGateway, std::int64_t aMs)
  {
    return At(aMs + static_cast<std::int64_t>(aGateway) * 7919);
  }

  std::uint32_t Recent(std::size_t aSelf, std::int64_t aMs, bool aReach) const
  {
    const std::int64_t window = LimitPacer::kWindow.count();
    std::uint32_t recent = 0;
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      const std::int64_t until = i == aSelf ? aMs : aMs - kDelayMs;
      const std::vector<std::int64_t>& sent = mGateways[i].mSent;
      for (auto it = sent.rbegin(); it != sent.rend() && *it > until - window;
           ++it) {
        recent += (i == aSelf || aReach) && *it <= until ? 1 : 0;
      }
    }
    return recent;
  }

  double mLimit;
  int mMaxWaiting;
  std::vector<Sender> mGateways;
  std::vector<std::int64_t> mArrivals;
};

struct FleetCase
{
  std::uint32_t mGateways;
  double mLimit;
};

class LimitPacerFleetTest : public ::testing::TestWithParam<FleetCase>
{};

} // namespace

// Each gateway kept no limit, or would keep it alone: the upstream got the sum.
TEST_P(LimitPacerFleetTest, TheSumOverGatewaysKeepsToTheLimit)
{
  const FleetCase& param = GetParam();
  // Requests a second as a multiple of the limit. After the pauses all buckets
  // are full.
  for (const double demand : { 1.0, 3.0, 10.0, 100.0 }) {
    std::mt19937 random{ 1 };
    std::poisson_distribution<int> arrivals{
      demand * param.mLimit * Fleet::kStepMs / 1000 / param.mGateways
    };
    Fleet fleet{ param.mGateways, param.mLimit, Fleet::kMaxWaiting };
    for (std::int64_t ms = 0; ms < 60'000; ms += Fleet::kStepMs) {
      const bool isPause = ms % 20'000 >= 12'000;
      std::vector<int> received;
      for (std::uint32_t i = 0; i < param.mGateways; ++i) {
        received.push_back(isPause ? 0 : arrivals(random));
      }
      fleet.Step(ms, received, true);
    }
    EXPECT_LE(fleet.MostInFourSeconds(), fleet.Bound()) << demand;
  }
}

// Gateways that do not hear of each other still have their shares.
TEST_P(LimitPacerFleetTest, SharesHoldWhileGatewaysCanNotReachEachOther)
{
  const FleetCase& param = GetParam();
  Fleet fleet{ param.mGateways, param.mLimit, Fleet::kMaxWaiting };
  const std::vector<int> demand(param.mGateways, 1);
  for (std::int64_t ms = 0; ms < 40'000; ms += Fleet::kStepMs) {
    fleet.Step(ms, demand, false);
  }
  EXPECT_LE(fleet.MostInFourSeconds(), fleet.Bound());
}

// A limit that is hardly used turns requests away for nothing.
TEST_P(LimitPacerFleetTest, MostOfTheLimitIsUsedWhileAllGatewaysHaveRequests)
{
  const FleetCase& param = GetParam();
  Fleet fleet{ param.mGateways, param.mLimit, Fleet::kMaxWaiting };
  const std::vector<int> demand(param.mGateways, 1);
  for (std::int64_t ms = 0; ms < 40'000; ms += Fleet::kStepMs) {
    fleet.Step(ms, demand, true);
  }
  EXPECT_GE(static_cast<double>(fleet.Arrivals()), 0.6 * 40 * param.mLimit);
}

// Requests that go elsewhere at once hardly ever met their gateway's turn.
TEST_P(LimitPacerFleetTest, HalfOfTheLimitIsUsedWhileGatewaysHaveFewRequests)
{
  const FleetCase& param = GetParam();
  std::mt19937 random{ 1 };
  std::poisson_distribution<int> arrivals{ 2 * param.mLimit * Fleet::kStepMs /
                                           1000 / param.mGateways };
  Fleet fleet{ param.mGateways, param.mLimit, 0 };
  constexpr std::int64_t kTimeMs = 200'000;
  for (std::int64_t ms = 0; ms < kTimeMs; ms += Fleet::kStepMs) {
    std::vector<int> received;
    for (std::uint32_t i = 0; i < param.mGateways; ++i) {
      received.push_back(arrivals(random));
    }
    fleet.Step(ms, received, true);
  }
  EXPECT_GE(static_cast<double>(fleet.Arrivals()),
            0.5 * kTimeMs / 1000 * param.mLimit);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         LimitPacerFleetTest,
                         ::testing::Values(FleetCase{ 1, 0.5 },
                                           FleetCase{ 1, 20 },
                                           FleetCase{ 8, 0.3 },
                                           FleetCase{ 8, 1 },
                                           FleetCase{ 8, 5.4 },
                                           FleetCase{ 8, 50 },
                                           FleetCase{ 83, 0.5 },
                                           FleetCase{ 83, 2 },
                                           FleetCase{ 83, 10 },
                                           FleetCase{ 83, 100 }));

TEST(LimitPacerTest, ALimitOfZeroStillLetsTheUpstreamWithdrawIt)
{
  Fleet fleet{ 8, 0, Fleet::kMaxWaiting };
  const std::vector<int> demand(8, 1);
  for (std::int64_t ms = 0; ms < 40'000; ms += Fleet::kStepMs) {
    fleet.Step(ms, demand, true);
  }
  EXPECT_GE(fleet.Arrivals(), 2U);
  EXPECT_LE(fleet.MostInFourSeconds(), fleet.Bound());
}

TEST(LimitPacerTest, AnUpstreamThatIsNotLimitedIsAlwaysAllowed)
{
  LimitPacer pacer = LimitPacer::Create();
  EXPECT_TRUE(pacer.Allows("u", 1000, false, At(0)));
  pacer.Refill("u", { 1, 8, 0, 0 }, At(0));
  EXPECT_FALSE(pacer.Allows("u", 1000, false, At(0)));
  pacer.Forget("u");
  EXPECT_TRUE(pacer.Allows("u", 1000, false, At(0)));
}

} // namespace cactusgw::test
