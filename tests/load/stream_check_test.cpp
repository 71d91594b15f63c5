#include "cactusgw/load/stream_check.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cactusgw {
namespace {

std::string
Token(const std::string& aGeneration, int aOffset)
{
  return R"({"choices":[{"text":"x"}],"cactusgw":{"generation":")" +
         aGeneration + R"(","offset":)" + std::to_string(aOffset) + "}}";
}

constexpr const char* kEnd = R"({"choices":[{"finish_reason":"stop"}]})";

TEST(StreamCheck, AcceptsAWholeStream)
{
  StreamCheck check{ 2 };
  check.Accept(Token("g", 0));
  check.Accept(Token("g", 1));
  check.Accept(kEnd);
  check.Accept("[DONE]");
  EXPECT_TRUE(check.IsWhole());
}

TEST(StreamCheck, FindsALostToken)
{
  StreamCheck check{ 0 };
  check.Accept(Token("g", 0));
  EXPECT_EQ(check.Accept(Token("g", 2)), EventKindSeen::Violation);
}

TEST(StreamCheck, FindsARepeatedToken)
{
  StreamCheck check{ 0 };
  check.Accept(Token("g", 0));
  EXPECT_EQ(check.Accept(Token("g", 0)), EventKindSeen::Violation);
}

TEST(StreamCheck, FindsATokenOfAnotherGeneration)
{
  StreamCheck check{ 0 };
  check.Accept(Token("g", 0));
  EXPECT_EQ(check.Accept(Token("h", 1)), EventKindSeen::Violation);
}

TEST(StreamCheck, DoesNotTakeAShortStreamForWhole)
{
  StreamCheck check{ 3 };
  check.Accept(Token("g", 0));
  check.Accept(kEnd);
  check.Accept("[DONE]");
  EXPECT_FALSE(check.IsWhole());
}

TEST(StreamCheck, DoesNotTakeASilentEndForWhole)
{
  StreamCheck check{ 0 };
  check.Accept(Token("g", 0));
  EXPECT_FALSE(check.IsWhole());
}

TEST(StreamCheck, TellsAnErrorFromAViolation)
{
  StreamCheck check{ 0 };
  check.Accept(Token("g", 0));
  EXPECT_EQ(check.Accept(R"({"verdict":"ran"})"), EventKindSeen::Error);
  EXPECT_TRUE(check.HasFailed());
  EXPECT_EQ(check.Violations(), 0U);
}

} // namespace
} // namespace cactusgw
