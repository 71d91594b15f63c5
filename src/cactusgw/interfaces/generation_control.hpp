#ifndef CACTUSGW_INTERFACES_GENERATION_CONTROL_HPP
#define CACTUSGW_INTERFACES_GENERATION_CONTROL_HPP

/// Orders to model engines about generations that are running.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Copies the memory of a running generation to another upstream.
struct CopyOrder
{
  /// `IP:port` of the upstream that runs it.
  std::string mSource;
  std::string mRequestId;
  /// `IP:port` of the upstream that gets the copy.
  std::string mTarget;
  /// Whether the generation stops first; its stream then ends unfinished. If
  /// not, it runs on, and another order copies what is new.
  bool mStops = false;
};

enum class CopyOutcome
{
  Copied,
  /// The source runs no such generation.
  NotRunning,
  /// Another order for this generation is in progress.
  InProgress,
  /// The target has no room or can't be reached. A generation that should
  /// stop has stopped; the source keeps its memory under the handle.
  NoRoom,
  /// No answer: the order may have taken effect.
  Unknown,
};

/// A stable lower-case identifier, for logs.
std::string_view ToString(CopyOutcome aOutcome);

struct CopyReply
{
  CopyOutcome mOutcome = CopyOutcome::Unknown;
  /// Names the copy when the generation is continued; used once.
  std::string mHandle;
};

/// What a gateway needs to move generations. All functions must be set.
struct GenerationControl
{
  std::function<boost::asio::awaitable<CopyReply>(CopyOrder)> mCopy;
  /// Whether the upstream at an address says that it leaves.
  std::function<boost::asio::awaitable<Result<bool>>(std::string)> mIsLeaving;
  /// Frees the memory of a copy, given its source and handle.
  std::function<boost::asio::awaitable<void>(std::string, std::string)> mFree;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_GENERATION_CONTROL_HPP
