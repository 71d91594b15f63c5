#include "platform/json_text.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace cactusgw::platform::test {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

TEST(JsonTextTest, SplitsAnArrayAtItsOwnCommasOnly)
{
  const auto items =
    SplitJsonArray(R"( [ 1, "a,]\",b", [2,[3]] , {"x":4,"y":5}] )");
  ASSERT_TRUE(items.has_value());
  EXPECT_THAT(*items,
              ElementsAre("1", R"("a,]\",b")", "[2,[3]]", R"({"x":4,"y":5})"));
  EXPECT_THAT(SplitJsonArray(" [ ] ").value(), IsEmpty());
}

TEST(JsonTextTest, FindsTheLastMemberOfAName)
{
  const auto members = SplitJsonObject(R"({"a" : 1, "b":{"a":2}, "a":3 })");
  ASSERT_TRUE(members.has_value());
  EXPECT_EQ(FindMember(*members, "a"), "3");
  EXPECT_EQ(FindMember(*members, "b"), R"({"a":2})");
  EXPECT_EQ(FindMember(*members, "c"), std::nullopt);
}

// Nesting that exceeds a parser's limit, or its stack, must not matter.
TEST(JsonTextTest, SplitsAnyNesting)
{
  constexpr std::size_t kLevels = 1'000'000;
  const std::string deep =
    std::string(kLevels, '[') + std::string(kLevels, ']');
  const std::string text = "[" + deep + ",7]";
  const auto items = SplitJsonArray(text);
  ASSERT_TRUE(items.has_value());
  EXPECT_THAT(*items, ElementsAre(deep, "7"));
}

class MalformedJsonTest : public ::testing::TestWithParam<const char*>
{};

TEST_P(MalformedJsonTest, IsNotSplit)
{
  EXPECT_FALSE(SplitJsonArray(GetParam()).has_value());
  EXPECT_FALSE(SplitJsonObject(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(AllForms,
                         MalformedJsonTest,
                         ::testing::Values("",
                                           "1",
                                           "null",
                                           "[",
                                           "]",
                                           "{",
                                           "[1",
                                           "[1,]",
                                           "[\"]",
                                           "[[]",
                                           "[1]]",
                                           "{\"a\"}",
                                           "{\"a\":1",
                                           "{a:1}",
                                           "{\"a:1}",
                                           "{\"a\":1,}"));

// A response may be cut at any byte.
TEST(JsonTextTest, NoCutTextIsSplit)
{
  const std::string text = R"({"items":[{"a":"\"}"},2],"more":false})";
  ASSERT_TRUE(SplitJsonObject(text).has_value());
  for (std::size_t n = 0; n < text.size(); ++n) {
    EXPECT_FALSE(SplitJsonObject(text.substr(0, n)).has_value()) << n;
  }
}

} // namespace cactusgw::platform::test
