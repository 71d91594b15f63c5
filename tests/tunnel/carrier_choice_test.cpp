#include "cactusgw/tunnel/carrier_choice.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr std::size_t kAsked = 5;

Instant
At(int aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

Carrier
MakeCarrier(const std::string& aName, const std::string& aDataCentre)
{
  return { aName, aName + ":1", aDataCentre };
}

const RegionMap kRegions{ { "a", "north" },
                          { "b", "north" },
                          { "c", "south" } };

/// A gateway in data centre a, and two others in each data centre.
CarrierChoice
SmallChoice()
{
  CarrierChoice choice = CarrierChoice::Create({ "a0", "a" });
  choice.SetRegions(kRegions);
  for (const char* name : { "a1", "a2", "b1", "b2", "c1", "c2" }) {
    choice.SetPeer(MakeCarrier(name, std::string(1, name[0])), 1);
  }
  return choice;
}

std::vector<std::string>
DataCentres(const std::vector<Carrier>& aCarriers)
{
  std::vector<std::string> names;
  for (const Carrier& carrier : aCarriers) {
    names.push_back(carrier.mDataCentre);
  }
  return names;
}

std::vector<std::string>
Order(const CarrierChoice& aChoice, Instant aNow)
{
  return DataCentres(aChoice.Order(AllowedRegions::Everywhere(), aNow));
}

/// Gateways that all look for a carrier at once, as most of the first data
/// centre is cut off.
struct Fleet
{
  /// @param aStep each which of those that are cut off looks for a carrier
  Fleet(std::size_t aSize,
        std::size_t aDataCentres,
        std::size_t aCutOff,
        std::size_t aStep)
  {
    std::size_t cutOff = 0;
    for (std::size_t i = 0; i < aSize; ++i) {
      const std::string dataCentre(1,
                                   static_cast<char>('a' + i % aDataCentres));
      mNames.push_back(MakeCarrier("vm" + std::to_string(i), dataCentre));
      if (dataCentre == "a" && mCutOff.size() < aCutOff) {
        mCutOff.insert(mNames.back().mName);
      }
    }
    for (const Carrier& self : mNames) {
      if (mCutOff.contains(self.mName) && cutOff++ % aStep == 0) {
        mChoices.emplace(
          self.mName, CarrierChoice::Create({ self.mName, self.mDataCentre }));
        CarrierChoice& choice = mChoices.at(self.mName);
        choice.SetRegions(kRegions);
        for (const Carrier& peer : mNames) {
          choice.SetPeer(peer, 1);
        }
      }
    }
  }

  /// Each gateway that is cut off opens a tunnel.
  void Round(Instant aNow)
  {
    for (auto& [name, choice] : mChoices) {
      std::vector<Carrier> tried;
      while (tried.size() < kAsked) {
        const std::vector<Carrier> order =
          choice.Order(AllowedRegions::Everywhere(), aNow, tried);
        if (order.empty()) {
          break;
        }
        tried.push_back(order.front());
        if (!mCutOff.contains(order.front().mName)) {
          choice.OnOpened(order.front().mName, aNow);
          ++mCarried[order.front().mName];
          mMostAsked = std::max(mMostAsked, tried.size());
          tried.clear();
          break;
        }
        choice.OnFailed(order.front().mName, aNow);
      }
      mFailures += tried.empty() ? 0 : 1;
      mLateFailures += !tried.empty() && mFound.contains(name) ? 1 : 0;
      if (tried.empty()) {
        mFound.insert(name);
      }
    }
  }

  void Record() const
  {
    ::testing::Test::RecordProperty("failures", std::to_string(mFailures));
    ::testing::Test::RecordProperty("mostAsked", std::to_string(mMostAsked));
    ::testing::Test::RecordProperty("carriers",
                                    std::to_string(mCarried.size()));
    ::testing::Test::RecordProperty("mostCarried",
                                    std::to_string(MostCarried()));
  }
  std::size_t MostCarried() const
  {
    std::size_t most = 0;
    for (const auto& [name, tunnels] : mCarried) {
      most = std::max(most, tunnels);
    }
    return most;
  }

  std::vector<Carrier> mNames;
  std::set<std::string> mCutOff;
  std::map<std::string, CarrierChoice> mChoices;
  std::map<std::string, std::size_t> mCarried;
  /// Gateways that have opened a tunnel.
  std::set<std::string> mFound;
  std::size_t mFailures = 0;
  std::size_t mLateFailures = 0;
  std::size_t mMostAsked = 0;
};

} // namespace

TEST(CarrierChoiceTest, NearCarriersComeFirst)
{
  EXPECT_THAT(Order(SmallChoice(), At(0)),
              ::testing::ElementsAre("a", "a", "b", "b", "c", "c"));
}

TEST(CarrierChoiceTest, RestrictedRequestsUseCarriersOfTheirRegions)
{
  CarrierChoice choice = SmallChoice();
  choice.SetPeer(MakeCarrier("x1", "unknown"), 1);
  const AllowedRegions south = AllowedRegions::Only({ "south" });
  EXPECT_THAT(DataCentres(choice.Order(south, At(0))),
              ::testing::ElementsAre("c", "c"));
  choice.OnFailed("c1", At(0));
  choice.OnFailed("c2", At(0));
  EXPECT_TRUE(choice.Order(south, At(0)).empty());
}

TEST(CarrierChoiceTest, GatewaysWithoutAnAddressCarryNothing)
{
  CarrierChoice choice = SmallChoice();
  choice.SetPeer({ "a1", "", "a" }, 1);
  choice.SetPeer(MakeCarrier("a0", "a"), 1);
  choice.RemovePeer("a2");
  EXPECT_THAT(Order(choice, At(0)), ::testing::ElementsAre("b", "b", "c", "c"));
}

TEST(CarrierChoiceTest, CarriersThatRefusedAreAvoided)
{
  CarrierChoice choice = SmallChoice();
  choice.OnFailed("a1", At(0));
  EXPECT_THAT(Order(choice, At(999)),
              ::testing::ElementsAre("a", "b", "b", "c", "c"));
  EXPECT_EQ(Order(choice, At(1000)).size(), 6U);
  // Others come before it for some time.
  EXPECT_EQ(choice.Order(AllowedRegions::Everywhere(), At(1000))[0].mName,
            "a2");
}

// Each request began with carriers of its own data centre, which was cut off,
// and failed when it had asked three.
TEST(CarrierChoiceTest, ADataCentreOfWhichTwoFailedComesLast)
{
  CarrierChoice choice = SmallChoice();
  choice.SetPeer(MakeCarrier("a3", "a"), 1);
  const std::vector<Carrier> tried{ MakeCarrier("a1", "a"),
                                    MakeCarrier("a2", "a") };
  EXPECT_THAT(
    DataCentres(choice.Order(AllowedRegions::Everywhere(), At(0), tried)),
    ::testing::ElementsAre("b", "b", "c", "c", "a"));
}

TEST(CarrierChoiceTest, TunnelsOfOneGatewaySpread)
{
  CarrierChoice choice = CarrierChoice::Create({ "a0", "a" });
  std::map<std::string, int> tunnels;
  for (int i = 1; i < 8; ++i) {
    choice.SetPeer(MakeCarrier("a" + std::to_string(i), "a"), 1);
  }
  for (int i = 0; i < 30; ++i) {
    const Carrier first =
      choice.Order(AllowedRegions::Everywhere(), At(i)).front();
    choice.OnOpened(first.mName, At(i));
    ++tunnels[first.mName];
  }
  ASSERT_EQ(tunnels.size(), CarrierChoice::kSpread);
  for (const auto& [name, count] : tunnels) {
    EXPECT_EQ(count, 10);
  }
}

TEST(CarrierChoiceTest, MostOfADataCentreIsCarriedByOthers)
{
  // 130 VMs in each data centre, of which 120 are cut off in the first.
  Fleet fleet{ 390, 3, 120, 1 };
  for (int second = 0; second < 10; second += 2) {
    fleet.Round(At(second * 1000));
  }
  fleet.Record();
  EXPECT_EQ(fleet.mFailures, 0U);
  EXPECT_GE(fleet.mCarried.size(), 100U);
  EXPECT_LE(fleet.MostCarried(), 30U);
}

TEST(CarrierChoiceTest, TwoOfEightVmsCarryForSix)
{
  Fleet fleet{ 8, 1, 6, 1 };
  for (int second = 0; second < 20; second += 2) {
    fleet.Round(At(second * 1000));
  }
  fleet.Record();
  EXPECT_LE(fleet.mFailures, 2U);
  EXPECT_EQ(fleet.mCarried.size(), 2U);
}

// At few requests, the failures were forgotten between them, so that no gateway
// found one of the few carriers.
TEST(CarrierChoiceTest, FewCarriersInTheSameDataCentreAreFound)
{
  Fleet fleet{ 390, 1, 350, 10 };
  for (int second = 0; second < 40; second += 2) {
    fleet.Round(At(second * 1000));
  }
  fleet.Record();
  EXPECT_EQ(fleet.mLateFailures, 0U);
  EXPECT_EQ(fleet.mFound.size(), fleet.mChoices.size());
}

} // namespace cactusgw::test
