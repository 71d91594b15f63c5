#ifndef CACTUSGW_INTERFACES_GENERATION_CONTROL_HPP
#define CACTUSGW_INTERFACES_GENERATION_CONTROL_HPP

/// Requests to model engines that control running generations.

#include "cactusgw/core/checked_address.hpp"
#include "cactusgw/core/send_clearance.hpp"
#include "cactusgw/core/verdict.hpp"
#include "cactusgw/net/http_types.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// A request to copy the memory of a running generation to another upstream.
struct CopyOrder
{
  /// The upstream that runs it. Its check fails with Conflict when the target
  /// must not get the copy any more.
  CheckedAddress mSource;
  std::string mRequestId;
  /// The upstream that gets the copy.
  SendClearance mTarget;
  /// Whether the generation is stopped first, which ends its stream
  /// unfinished. Otherwise it continues, and a later request copies the memory
  /// that was added since.
  bool mStops = false;
};

enum class CopyOutcome
{
  Copied,
  /// The source runs no such generation.
  NotRunning,
  /// Another copy request for this generation is in progress.
  InProgress,
  /// The target lacks memory or can't be reached. If a stop was requested, the
  /// generation has stopped and the source keeps its memory under the handle.
  NoRoom,
  /// The check of the source's address failed, and nothing was sent.
  Withheld,
  /// No response: the request may have taken effect.
  Unknown,
};

/// Returns a stable lower-case identifier for logs.
std::string_view ToString(CopyOutcome aOutcome);

struct CopyReply
{
  CopyOutcome mOutcome = CopyOutcome::Unknown;
  /// Identifies the copy when the generation is continued; valid for one use.
  std::string mHandle;
};

/// How an upstream is asked for its start, on the connection that is to carry a
/// request. Both are empty where upstreams can't be asked.
struct StartQuestion
{
  std::function<HttpRequest()> mRequest;
  /// The start in Unix ms that the body of the response states; empty if none.
  std::function<std::optional<std::int64_t>(std::string_view)> mReadStart;
};

/// Operations that a gateway needs to migrate generations. All functions but
/// those of mStart must be set.
struct GenerationControl
{
  std::function<boost::asio::awaitable<CopyReply>(CopyOrder)> mCopy;
  /// Whether the upstream at an address reports that it is draining.
  std::function<boost::asio::awaitable<Result<bool>>(std::string)> mIsDraining;
  /// Frees the memory of a copy, given its source and handle.
  std::function<boost::asio::awaitable<void>(std::string, std::string)> mFree;
  StartQuestion mStart = {};
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_GENERATION_CONTROL_HPP
