#ifndef CACTUSGW_CORE_STREAM_ASSEMBLER_HPP
#define CACTUSGW_CORE_STREAM_ASSEMBLER_HPP

/// Delivers the tokens of one generation once and in order.

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// One frame as an upstream sent it. Views are valid during the call only.
struct TokenFrame
{
  std::string_view mGeneration;
  /// Position of the token in its generation, from zero.
  std::uint64_t mOffset = 0;
  std::string_view mText;
  /// The frame ends the generation; its offset is the number of tokens.
  bool mIsEnd = false;
};

enum class FrameDecision
{
  /// Hand the token to the caller.
  Deliver,
  /// Already delivered: drop it.
  DropDuplicate,
  /// Tokens are missing before this one: resume from NextOffset().
  Gap,
  /// The frame belongs to another generation: drop it, and never mix.
  Foreign,
  /// The generation is complete.
  End,
  /// A frame after the end: drop it.
  AfterEnd,
};

/// Counts of frames that were not simply delivered.
struct AssemblerCounts
{
  std::uint64_t mDuplicates = 0;
  std::uint64_t mGaps = 0;
  std::uint64_t mForeign = 0;
  std::uint64_t mAfterEnd = 0;
};

/// Not thread-safe; one instance per request.
class StreamAssembler
{
public:
  /// An assembler bound to no generation yet; the first frame binds it.
  static StreamAssembler Create();

  /// Decides on one frame. Only Deliver and End change the position.
  FrameDecision Accept(const TokenFrame& aFrame);

  /// The offset of the next token to deliver.
  std::uint64_t NextOffset() const { return mNextOffset; }
  /// Empty until the first frame was accepted.
  const std::string& Generation() const { return mGeneration; }
  bool IsComplete() const { return mComplete; }
  const AssemblerCounts& Counts() const { return mCounts; }

private:
  StreamAssembler() = default;
  FrameDecision AcceptEnd(const TokenFrame& aFrame);

  std::string mGeneration;
  std::uint64_t mNextOffset = 0;
  bool mComplete = false;
  AssemblerCounts mCounts;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_STREAM_ASSEMBLER_HPP
