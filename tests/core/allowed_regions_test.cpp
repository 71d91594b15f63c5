#include "cactusgw/core/allowed_regions.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw::test {

namespace {

const std::array<std::string, 5> kRegions{ "east",
                                           "mid",
                                           "north",
                                           "south",
                                           "west" };

constexpr std::uint32_t kSeeds = 200;

/// Makes restrictions of all forms from a seed.
class RandomRestrictions
{
public:
  explicit RandomRestrictions(std::uint32_t aSeed)
    : mEngine(aSeed)
  {
  }

  AllowedRegions Next()
  {
    switch (mEngine() % 6) {
      case 0:
        return AllowedRegions::Everywhere();
      case 1:
        return AllowedRegions::Unreadable();
      default:
        return AllowedRegions::Only(NextList());
    }
  }

  /// A list in any order, possibly empty or with duplicates.
  std::vector<std::string> NextList()
  {
    std::vector<std::string> regions;
    for (std::size_t n = mEngine() % (kRegions.size() + 1); n > 0; --n) {
      regions.push_back(kRegions[mEngine() % kRegions.size()]);
    }
    return regions;
  }

private:
  std::mt19937 mEngine;
};

struct TextCase
{
  AllowedRegions mRegions;
  const char* mText;
};

std::ostream&
operator<<(std::ostream& aOut, const TextCase& aCase)
{
  return aOut << aCase.mText;
}

} // namespace

// The order in which the restrictions of route and workspace are combined
// changed the result.
TEST(AllowedRegionsTest, IntersectIsCommutativeAndAssociative)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    RandomRestrictions random{ seed };
    const AllowedRegions a = random.Next();
    const AllowedRegions b = random.Next();
    const AllowedRegions c = random.Next();
    EXPECT_EQ(a.Intersect(b), b.Intersect(a));
    EXPECT_EQ(a.Intersect(b).Intersect(c), a.Intersect(b.Intersect(c)));
  }
}

// A restriction was changed by combining it with itself, with no restriction or
// with one that can't be read.
TEST(AllowedRegionsTest, IntersectKeepsItsNeutralAndAbsorbingElements)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    const AllowedRegions a = RandomRestrictions{ seed }.Next();
    EXPECT_EQ(a.Intersect(a), a);
    EXPECT_EQ(a.Intersect(AllowedRegions::Everywhere()), a);
    EXPECT_EQ(AllowedRegions::Everywhere().Intersect(a), a);
    EXPECT_EQ(a.Intersect(AllowedRegions::Unreadable()),
              AllowedRegions::Unreadable());
    EXPECT_EQ(AllowedRegions::Unreadable().Intersect(a),
              AllowedRegions::Unreadable());
  }
}

// A combined restriction allowed a region that one of its parts excludes.
TEST(AllowedRegionsTest, IntersectAllowsWhatBothAllow)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    RandomRestrictions random{ seed };
    const AllowedRegions a = random.Next();
    const AllowedRegions b = random.Next();
    for (const std::string& region : kRegions) {
      EXPECT_EQ(a.Intersect(b).Allows(region),
                a.Allows(region) && b.Allows(region))
        << a.Text() << " and " << b.Text() << " in " << region;
    }
    EXPECT_EQ(a.Intersect(b).IsRestricted(),
              a.IsRestricted() || b.IsRestricted());
    EXPECT_EQ(a.Intersect(b).IsReadable(), a.IsReadable() && b.IsReadable());
  }
}

// Duplicates or the order of a list changed what it allows.
TEST(AllowedRegionsTest, AListAllowsItsMembersOnly)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    const std::vector<std::string> list = RandomRestrictions{ seed }.NextList();
    const std::set<std::string> members{ list.begin(), list.end() };
    const AllowedRegions allowed = AllowedRegions::Only(list);
    for (const std::string& region : kRegions) {
      EXPECT_EQ(allowed.Allows(region), members.count(region) != 0);
    }
    EXPECT_TRUE(allowed.IsRestricted());
    EXPECT_TRUE(allowed.IsReadable());
    EXPECT_EQ(allowed.IsNowhere(), members.empty());
    EXPECT_EQ(allowed,
              AllowedRegions::Only({ members.begin(), members.end() }));
  }
}

// An empty list or an unreadable restriction counted as no restriction.
TEST(AllowedRegionsTest, EmptyAndUnreadableAllowNoRegion)
{
  for (const AllowedRegions& nowhere :
       { AllowedRegions::Only({}), AllowedRegions::Unreadable() }) {
    EXPECT_TRUE(nowhere.IsRestricted());
    EXPECT_TRUE(nowhere.IsNowhere());
    EXPECT_FALSE(nowhere.Allows("north"));
    EXPECT_FALSE(nowhere.Allows(""));
  }
  EXPECT_NE(AllowedRegions::Only({}), AllowedRegions::Unreadable());
  EXPECT_TRUE(AllowedRegions::Everywhere().Allows(""));
  EXPECT_FALSE(AllowedRegions::Everywhere().IsNowhere());
}

// A region was allowed because its name begins or ends like an allowed one.
TEST(AllowedRegionsTest, NamesAreComparedAsAWhole)
{
  const AllowedRegions allowed = AllowedRegions::Only({ "be-north" });
  EXPECT_TRUE(allowed.Allows("be-north"));
  for (const char* other :
       { "", "be", "be-north-2", "north", "BE-NORTH", "be-north ", "be-" }) {
    EXPECT_FALSE(allowed.Allows(other)) << other;
  }
}

class AllowedRegionsTextTest : public ::testing::TestWithParam<TextCase>
{};

INSTANTIATE_TEST_SUITE_P(
  Forms,
  AllowedRegionsTextTest,
  ::testing::Values(
    TextCase{ AllowedRegions::Everywhere(), "any" },
    TextCase{ AllowedRegions::Only({}), "none" },
    TextCase{ AllowedRegions::Unreadable(), "unreadable" },
    TextCase{ AllowedRegions::Only({ "b" }), "b" },
    TextCase{ AllowedRegions::Only({ "b", "a", "b" }), "a,b" },
    TextCase{ AllowedRegions::Only({ "1", "2", "3", "4", "5", "6", "7", "8" }),
              "1,2,3,4,5,6,7,8" },
    TextCase{
      AllowedRegions::Only({ "1", "2", "3", "4", "5", "6", "7", "8", "9" }),
      "1,2,3,4,5,6,7,8,..." }));

// A log line didn't distinguish the forms of a restriction.
TEST_P(AllowedRegionsTextTest, NamesTheForm)
{
  EXPECT_EQ(GetParam().mRegions.Text(), GetParam().mText);
}

} // namespace cactusgw::test
