#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/suspect_index.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

using Crashes = std::vector<std::vector<PartSet>>;

SuspectIndex
IndexOf(const Crashes& aCrashes)
{
  std::vector<const std::vector<PartSet>*> crashes;
  for (const std::vector<PartSet>& suspects : aCrashes) {
    crashes.push_back(&suspects);
  }
  return SuspectIndex::Create(crashes);
}

/// The definition of PartsAlwaysWith, on strings.
PartSet
ExpectedParts(const std::string& aPart,
              const Crashes& aCrashes,
              std::span<const SuspectIndex::Crash> aAmong)
{
  PartSet common;
  bool isFirst = true;
  for (const SuspectIndex::Crash crash : aAmong) {
    PartSet carried;
    for (const PartSet& suspect : aCrashes[crash]) {
      if (std::binary_search(suspect.begin(), suspect.end(), aPart)) {
        carried.insert(carried.end(), suspect.begin(), suspect.end());
      }
    }
    std::sort(carried.begin(), carried.end());
    carried.erase(std::unique(carried.begin(), carried.end()), carried.end());
    PartSet both;
    std::set_intersection(common.begin(),
                          common.end(),
                          carried.begin(),
                          carried.end(),
                          std::back_inserter(both));
    common = std::exchange(isFirst, false) ? carried : both;
  }
  const bool holdsEverywhere =
    std::all_of(aAmong.begin(), aAmong.end(), [&](SuspectIndex::Crash aCrash) {
      return std::any_of(aCrashes[aCrash].begin(),
                         aCrashes[aCrash].end(),
                         [&](const PartSet& aSuspect) {
                           return std::includes(aSuspect.begin(),
                                                aSuspect.end(),
                                                common.begin(),
                                                common.end());
                         });
    });
  return holdsEverywhere ? common : PartSet{ aPart };
}

} // namespace

TEST(SuspectIndexTest, NumbersPartsInTheOrderOfTheirIds)
{
  const SuspectIndex index =
    IndexOf({ { { "b", "d" } }, { { "a" }, { "b", "c" } } });
  ASSERT_EQ(index.PartCount(), 4U);
  EXPECT_EQ(index.NameOf(0), "a");
  EXPECT_EQ(index.NameOf(3), "d");
  EXPECT_THAT(index.CrashesOf("b"), ElementsAre(0, 1));
  EXPECT_THAT(index.CrashesOf("a"), ElementsAre(1));
  EXPECT_THAT(index.CrashesOf("unknown"), IsEmpty());
}

// Blame must not depend on how the evidence is looked up.
TEST(SuspectIndexTest, FindsTheSamePartsAsTheDefinitionOnStrings)
{
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random{ seed };
    Crashes crashes(1 + random() % 5);
    for (std::vector<PartSet>& suspects : crashes) {
      suspects.resize(1 + random() % 3);
      for (PartSet& suspect : suspects) {
        for (const char* const name : { "a", "b", "c", "d", "e" }) {
          if (random() % 2 == 0) {
            suspect.emplace_back(name);
          }
        }
      }
    }
    SuspectIndex index = IndexOf(crashes);
    for (SuspectIndex::Part part = 0; part < index.PartCount(); ++part) {
      PartSet found;
      for (const SuspectIndex::Part other :
           index.PartsAlwaysWith(part, index.CrashesOf(part))) {
        found.push_back(index.NameOf(other));
      }
      ASSERT_EQ(
        found,
        ExpectedParts(index.NameOf(part), crashes, index.CrashesOf(part)))
        << "seed " << seed;
    }
  }
}

} // namespace cactusgw::test
