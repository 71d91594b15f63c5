#include "cactusgw/core/limit_pacer.hpp"

#include <gtest/gtest.h>

#include <deque>
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

/// Gateways that send to one limited upstream whenever they may, and learn of
/// each other's requests late.
class Fleet
{
public:
  static constexpr std::int64_t kStepMs = 25;

  Fleet(std::uint32_t aGateways, double aLimit, std::int64_t aDelayMs)
    : mLimit(aLimit)
    , mDelayMs(aDelayMs)
  {
    for (std::uint32_t i = 0; i < aGateways; ++i) {
      mGateways.push_back({ LimitPacer::Create(), {} });
    }
  }

  /// Runs one step in which each gateway has some requests to send.
  /// @param aReach whether gateways hear of each other
  void Step(std::int64_t aMs, const std::vector<int>& aDemand, bool aReach)
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      LimitPacer& pacer = mGateways[i].mPacer;
      const std::uint32_t gateways =
        static_cast<std::uint32_t>(mGateways.size());
      const LimitUse use{
        mLimit, gateways, static_cast<std::uint32_t>(i), Recent(i, aMs, aReach)
      };
      pacer.Refill("u", use, At(aMs));
      for (int n = 0; n < aDemand[i]; ++n) {
        if (pacer.Allows("u", Recent(i, aMs, aReach), ClockOf(i, aMs))) {
          pacer.OnSent("u", At(aMs));
          mGateways[i].mSent.push_back(aMs);
          mArrivals.push_back(aMs);
        }
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
  };

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
      const std::int64_t until = i == aSelf ? aMs : aMs - mDelayMs;
      const std::vector<std::int64_t>& sent = mGateways[i].mSent;
      for (auto it = sent.rbegin(); it != sent.rend() && *it > until - window;
           ++it) {
        recent += (i == aSelf || aReach) && *it <= until ? 1 : 0;
      }
    }
    return recent;
  }

  double mLimit;
  std::int64_t mDelayMs;
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
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    std::mt19937 random{ seed };
    Fleet fleet{ param.mGateways, param.mLimit, 100 };
    for (std::int64_t ms = 0; ms < 40'000; ms += Fleet::kStepMs) {
      // Pauses, in which all buckets fill, and bursts at all gateways.
      const bool isPause = ms % 10'000 < 5000 && ms % 20'000 >= 10'000;
      std::vector<int> demand;
      for (std::uint32_t i = 0; i < param.mGateways; ++i) {
        demand.push_back(isPause ? 0 : static_cast<int>(random() % 3));
      }
      fleet.Step(ms, demand, true);
    }
    EXPECT_LE(fleet.MostInFourSeconds(), fleet.Bound()) << "seed " << seed;
  }
}

// Gateways that do not hear of each other still have their shares.
TEST_P(LimitPacerFleetTest, SharesHoldWhileGatewaysCanNotReachEachOther)
{
  const FleetCase& param = GetParam();
  Fleet fleet{ param.mGateways, param.mLimit, 100 };
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
  Fleet fleet{ param.mGateways, param.mLimit, 100 };
  const std::vector<int> demand(param.mGateways, 1);
  for (std::int64_t ms = 0; ms < 40'000; ms += Fleet::kStepMs) {
    fleet.Step(ms, demand, true);
  }
  EXPECT_GE(static_cast<double>(fleet.Arrivals()), 0.6 * 40 * param.mLimit);
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
  Fleet fleet{ 8, 0, 100 };
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
  EXPECT_TRUE(pacer.Allows("u", 1000, At(0)));
  pacer.Refill("u", { 1, 8, 0, 0 }, At(0));
  EXPECT_FALSE(pacer.Allows("u", 1000, At(0)));
  pacer.Forget("u");
  EXPECT_TRUE(pacer.Allows("u", 1000, At(0)));
}

} // namespace cactusgw::test
