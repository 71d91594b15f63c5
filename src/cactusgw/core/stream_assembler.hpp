#ifndef CACTUSGW_CORE_STREAM_ASSEMBLER_HPP
#define CACTUSGW_CORE_STREAM_ASSEMBLER_HPP

/// Ensures that the tokens of one generation are delivered exactly once and in
/// order.

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// One frame as received from an upstream. The views are valid only during the
/// call.
struct TokenFrame
{
  std::string_view mGeneration;
  /// Zero-based position of the token in its generation.
  std::uint64_t mOffset = 0;
  std::string_view mText;
  /// Whether the frame ends the generation; mOffset is then the number of
  /// tokens.
  bool mIsEnd = false;
};

enum class FrameDecision
{
  /// Forward the token to the client.
  Deliver,
  /// Already delivered: drop it.
  DropDuplicate,
  /// Tokens before this one are missing: resume from NextOffset().
  Gap,
  /// The frame belongs to another generation: drop it, so that two generations
  /// are never mixed.
  Foreign,
  /// The generation is complete.
  End,
  /// The frame arrived after the end: drop it.
  AfterEnd,
};

/// Counts the frames that were not delivered.
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
  /// Creates an assembler without a generation. The first frame sets it.
  static StreamAssembler Create();

  /// Decides what to do with one frame. Only Deliver advances the offset, and
  /// only End completes the generation.
  FrameDecision Accept(const TokenFrame& aFrame);

  /// The offset of the next token to deliver.
  std::uint64_t NextOffset() const { return mNextOffset; }
  /// Empty until the first frame has been accepted.
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
