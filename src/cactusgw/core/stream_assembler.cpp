#include "cactusgw/core/stream_assembler.hpp"

namespace cactusgw {

StreamAssembler
StreamAssembler::Create()
{
  return StreamAssembler{};
}

FrameDecision
StreamAssembler::Accept(const TokenFrame& aFrame)
{
  if (mGeneration.empty()) {
    mGeneration = aFrame.mGeneration;
  }
  if (aFrame.mGeneration != mGeneration) {
    ++mCounts.mForeign;
    return FrameDecision::Foreign;
  }
  if (mComplete) {
    ++mCounts.mAfterEnd;
    return FrameDecision::AfterEnd;
  }
  if (aFrame.mOffset > mNextOffset) {
    ++mCounts.mGaps;
    return FrameDecision::Gap;
  }
  if (aFrame.mIsEnd) {
    return AcceptEnd(aFrame);
  }
  if (aFrame.mOffset < mNextOffset) {
    ++mCounts.mDuplicates;
    return FrameDecision::DropDuplicate;
  }
  ++mNextOffset;
  return FrameDecision::Deliver;
}

FrameDecision
StreamAssembler::AcceptEnd(const TokenFrame& aFrame)
{
  // An end before tokens that were already delivered comes from a late or
  // faulty sender. Accepting it would truncate the response.
  if (aFrame.mOffset < mNextOffset) {
    ++mCounts.mDuplicates;
    return FrameDecision::DropDuplicate;
  }
  mComplete = true;
  return FrameDecision::End;
}

} // namespace cactusgw
