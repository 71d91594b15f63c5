#ifndef CACTUSGW_LOAD_STREAM_CHECK_HPP
#define CACTUSGW_LOAD_STREAM_CHECK_HPP

/// Checks a streamed answer as its caller sees it: complete, in order, and
/// from one generation.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

enum class EventKindSeen
{
  Token,
  End,
  Done,
  Error,
  /// Breaks the order, mixes generations, or is malformed.
  Violation,
};

/// Not thread-safe; one instance per answer.
class StreamCheck
{
public:
  /// @param aExpectedTokens length asked for; zero when unknown
  explicit StreamCheck(std::uint32_t aExpectedTokens);

  /// Takes the data of one event.
  EventKindSeen Accept(std::string_view aData);

  /// The text of the last token.
  const std::string& LastText() const { return mLastText; }
  std::uint64_t Tokens() const { return mNextOffset; }
  /// Whether the answer ended as a whole answer does.
  bool IsWhole() const;
  /// Whether it ended with an error that says so.
  bool HasFailed() const { return mFailed; }
  const std::string& Verdict() const { return mVerdict; }
  std::uint32_t Violations() const { return mViolations; }
  const std::string& Reason() const { return mReason; }

private:
  EventKindSeen Violate(std::string_view aReason);

  std::uint32_t mExpectedTokens;
  std::string mGeneration;
  std::uint64_t mNextOffset = 0;
  std::string mLastText;
  std::string mVerdict;
  std::string mReason;
  bool mEnded = false;
  bool mDone = false;
  bool mFailed = false;
  std::uint32_t mViolations = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_LOAD_STREAM_CHECK_HPP
