#include "cactusgw/gateway/update_transfer.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace cactusgw::test {

namespace {

/// Text that hardly compresses.
std::string
RandomText(std::size_t aBytes, std::uint64_t aSeed)
{
  std::mt19937_64 random{ aSeed };
  std::string text(aBytes, '\0');
  for (char& c : text) {
    c = static_cast<char>(random());
  }
  return text;
}

} // namespace

class UpdateTransferTest : public ::testing::Test
{
protected:
  /// Receives what the sender has for the receiver's position until the update
  /// is whole; empty if the sender doesn't know the position.
  std::string Finish(UpdateSender& aSender)
  {
    while (true) {
      const std::optional<UpdatePosition> position = mReceiver.Position();
      const std::optional<UpdatePart> part =
        position ? aSender.Continue(*position) : std::nullopt;
      if (!part) {
        return {};
      }
      EXPECT_LE(part->mContent.size(), UpdateSender::kPartBytes);
      const Result<std::optional<std::string>> update = mReceiver.OnPart(*part);
      if (!update) {
        return {};
      }
      if (update.value()) {
        return *update.value();
      }
    }
  }

  void Begin(UpdateSender& aSender, std::string_view aText)
  {
    const Result<std::optional<std::string>> update =
      mReceiver.OnPart(aSender.Begin(aText));
    ASSERT_TRUE(update.has_value());
    ASSERT_FALSE(update.value().has_value());
  }

  const std::string mText = RandomText(200'000, 1);
  UpdateSender mSender = UpdateSender::Create();
  UpdateReceiver mReceiver = UpdateReceiver::Create();
};

TEST_F(UpdateTransferTest, JoinsAllParts)
{
  Begin(mSender, mText);
  EXPECT_EQ(Finish(mSender), mText);
  EXPECT_FALSE(mReceiver.Position());
}

TEST_F(UpdateTransferTest, GoesOnAtAnotherSenderOfTheSameUpdate)
{
  Begin(mSender, mText);
  UpdateSender other = UpdateSender::Create();
  other.Begin(mText);
  EXPECT_EQ(Finish(other), mText);
}

// Guards against transfers that never end, as the content changes faster than
// it can be sent.
TEST_F(UpdateTransferTest, EndsWhileNewerUpdatesAreSentToOthers)
{
  Begin(mSender, mText);
  for (std::size_t i = 1; i < UpdateSender::kMaxKept; ++i) {
    mSender.Begin(RandomText(50'000, 1 + i));
  }
  EXPECT_EQ(Finish(mSender), mText);
}

TEST_F(UpdateTransferTest, ForgetsTheOldestUpdate)
{
  Begin(mSender, mText);
  for (std::size_t i = 0; i < UpdateSender::kMaxKept; ++i) {
    mSender.Begin(RandomText(50'000, 2 + i));
  }
  EXPECT_FALSE(mSender.Continue(*mReceiver.Position()));
}

TEST_F(UpdateTransferTest, APartThatDoesNotFitEndsTheReception)
{
  Begin(mSender, mText);
  std::optional<UpdatePart> part = mSender.Continue(*mReceiver.Position());
  ASSERT_TRUE(part);
  part->mPosition.mOffset += 1;
  EXPECT_FALSE(mReceiver.OnPart(*part));
  EXPECT_FALSE(mReceiver.Position());
}

TEST_F(UpdateTransferTest, RefusesWhatIsNotTheNamedUpdate)
{
  Begin(mSender, mText);
  std::string changed;
  while (true) {
    std::optional<UpdatePart> part = mSender.Continue(*mReceiver.Position());
    ASSERT_TRUE(part);
    const bool isLast =
      part->mPosition.mOffset + part->mContent.size() == part->mPackedBytes;
    changed = part->mContent;
    changed.back() ^= 1;
    part->mContent = changed;
    if (isLast) {
      EXPECT_FALSE(mReceiver.OnPart(*part));
      break;
    }
    ASSERT_TRUE(mReceiver.OnPart(*part));
  }
  EXPECT_FALSE(mReceiver.Position());
}

TEST_F(UpdateTransferTest, RefusesAnUpdateOfExcessiveSize)
{
  UpdatePart part = mSender.Begin(mText);
  part.mPlainBytes = UpdateReceiver::kMaxPlainBytes + 1;
  EXPECT_FALSE(mReceiver.OnPart(part));
  part = mSender.Begin(mText);
  part.mPackedBytes = UpdateReceiver::kMaxPlainBytes + 1;
  EXPECT_FALSE(mReceiver.OnPart(part));
}

} // namespace cactusgw::test
