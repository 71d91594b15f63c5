#include "cactusgw/core/stream_assembler.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cactusgw {
namespace {

TokenFrame
Token(std::string_view aGeneration, std::uint64_t aOffset)
{
  return { aGeneration, aOffset, "x", false };
}

TokenFrame
End(std::string_view aGeneration, std::uint64_t aOffset)
{
  return { aGeneration, aOffset, "", true };
}

TEST(StreamAssembler, DeliversTokensInOrderAndThenTheEnd)
{
  StreamAssembler assembler = StreamAssembler::Create();
  EXPECT_EQ(assembler.Accept(Token("g1", 0)), FrameDecision::Deliver);
  EXPECT_EQ(assembler.Accept(Token("g1", 1)), FrameDecision::Deliver);
  EXPECT_EQ(assembler.Accept(End("g1", 2)), FrameDecision::End);
  EXPECT_TRUE(assembler.IsComplete());
}

TEST(StreamAssembler, DropsATokenThatWasDeliveredBefore)
{
  StreamAssembler assembler = StreamAssembler::Create();
  assembler.Accept(Token("g1", 0));
  EXPECT_EQ(assembler.Accept(Token("g1", 0)), FrameDecision::DropDuplicate);
  EXPECT_EQ(assembler.NextOffset(), 1U);
  EXPECT_EQ(assembler.Counts().mDuplicates, 1U);
}

TEST(StreamAssembler, AsksForMissingTokensInsteadOfSkippingThem)
{
  StreamAssembler assembler = StreamAssembler::Create();
  assembler.Accept(Token("g1", 0));
  EXPECT_EQ(assembler.Accept(Token("g1", 2)), FrameDecision::Gap);
  EXPECT_EQ(assembler.NextOffset(), 1U);
  EXPECT_EQ(assembler.Accept(Token("g1", 1)), FrameDecision::Deliver);
}

TEST(StreamAssembler, TreatsAnEarlyEndAsAGap)
{
  StreamAssembler assembler = StreamAssembler::Create();
  assembler.Accept(Token("g1", 0));
  EXPECT_EQ(assembler.Accept(End("g1", 3)), FrameDecision::Gap);
  EXPECT_FALSE(assembler.IsComplete());
}

TEST(StreamAssembler, IgnoresAnEndBeforeDeliveredTokens)
{
  StreamAssembler assembler = StreamAssembler::Create();
  assembler.Accept(Token("g1", 0));
  assembler.Accept(Token("g1", 1));
  EXPECT_EQ(assembler.Accept(End("g1", 1)), FrameDecision::DropDuplicate);
  EXPECT_FALSE(assembler.IsComplete());
}

TEST(StreamAssembler, NeverMixesGenerations)
{
  StreamAssembler assembler = StreamAssembler::Create();
  assembler.Accept(Token("g1", 0));
  EXPECT_EQ(assembler.Accept(Token("g2", 1)), FrameDecision::Foreign);
  EXPECT_EQ(assembler.Generation(), "g1");
  EXPECT_EQ(assembler.NextOffset(), 1U);
}

TEST(StreamAssembler, DropsWhatComesAfterTheEnd)
{
  StreamAssembler assembler = StreamAssembler::Create();
  assembler.Accept(End("g1", 0));
  EXPECT_EQ(assembler.Accept(Token("g1", 0)), FrameDecision::AfterEnd);
}

} // namespace
} // namespace cactusgw
