#ifndef CACTUSGW_GATEWAY_JOINED_READ_HPP
#define CACTUSGW_GATEWAY_JOINED_READ_HPP

/// Lets callers that want to know the present state of something share reads of
/// it.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>

namespace cactusgw {

/// Not thread-safe; lives on one io_context, and as long as its callers.
class JoinedRead
{
public:
  /// Time after a failed read in which callers get its result.
  static constexpr Milliseconds kFailureTime{ 500 };

  /// @param aPause between two reads
  /// @param aRead returns whether it succeeded
  JoinedRead(net::io_context& aContext,
             Milliseconds aPause,
             std::function<Task<bool>()> aRead);

  /// Returns whether a read that began after this call has succeeded. The wait
  /// ends without one once the caller doesn't need the read any more.
  /// @param aIsNeeded must stay valid until the end of the wait
  Task<bool> Run(std::function<bool()> aIsNeeded);
  /// The same for a caller that needs the read in any case.
  Task<bool> Run();

  /// Lets callers that wait look whether they still need the read. To be called
  /// when they may have learned otherwise what they read for.
  void Wake() { mDone.cancel(); }

private:
  /// Reads until no caller waits.
  Task<void> ReadWhileWanted();

  net::io_context& mContext;
  Milliseconds mPause;
  std::function<Task<bool>()> mRead;
  /// Cancelled at the end of each read.
  net::steady_timer mDone;
  /// Numbers of the last read that began, was wanted, ended and succeeded.
  std::uint64_t mBegun = 0;
  std::uint64_t mWanted = 0;
  std::uint64_t mEnded = 0;
  std::uint64_t mSucceeded = 0;
  Instant mFailedAt;
  bool mIsReading = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_JOINED_READ_HPP
