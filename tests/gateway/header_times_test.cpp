/// Guards against times and counts in headers that overflow: an upstream was
/// told that a request with a huge deadline had a millisecond left.

#include "cactusgw/gateway/message_headers.hpp"
#include "gateway_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cactusgw::test {

class HeaderTimesTest
  : public GatewayTest
  , public ::testing::WithParamInterface<const char*>
{};

TEST_P(HeaderTimesTest, AHugeDeadlineLeavesTheTimeOfTheRoute)
{
  ScriptedUpstream& upstream =
    AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200,
                                std::string{ kSealed } + "Request-Id: " +
                                  aExchange.Header("Request-Id") + "\r\n",
                                "ok");
    });
  StartGateway();
  Run([&]() -> Task<void> {
    HttpRequest request = MakeRequest(http::verb::post, "/write/x");
    request.set("Time-Left", GetParam());
    const ClientResponse response = co_await Call(std::move(request));
    EXPECT_EQ(response.mStatus, 200U);
  });
  ASSERT_EQ(upstream.Requests().size(), 1U);
  const beast::string_view left = upstream.Requests()[0]["Time-Left"];
  EXPECT_GT(ParseNumber({ left.data(), left.size() }).value_or(0), 1U) << left;
  EXPECT_LE(ParseNumber({ left.data(), left.size() }).value_or(0), 5000U);
}

INSTANTIATE_TEST_SUITE_P(Extremes,
                         HeaderTimesTest,
                         ::testing::Values("1000000000000",
                                           "9223372036854",
                                           "9223372036855",
                                           "9223372036854775807",
                                           "9223372036854775808",
                                           "18446744073709551615",
                                           "18446744073709551616"));

TEST(HeaderCountsTest, HugeTokenCountsDoNotWrapWhenTheyAreAdded)
{
  const std::optional<TokenCounts> counts =
    ParseTokenCounts("18446744073709551615,18446744073709551615");
  ASSERT_TRUE(counts);
  EXPECT_GE(counts->mPrompt + counts->mMaxOutput, counts->mPrompt);
  EXPECT_EQ(ParseTokenCounts("100,20")->mPrompt, 100U);
}

} // namespace cactusgw::test
