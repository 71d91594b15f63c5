#include "cactusgw/gateway/joined_read.hpp"

#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace cactusgw {

JoinedRead::JoinedRead(net::io_context& aContext,
                       Milliseconds aPause,
                       std::function<Task<bool>()> aRead)
  : mContext(aContext)
  , mPause(aPause)
  , mRead(std::move(aRead))
  , mDone(aContext, Instant::max())
{
}

Task<bool>
JoinedRead::Run()
{
  return Run([] { return true; });
}

Task<bool>
JoinedRead::Run(std::function<bool()> aIsNeeded)
{
  if (mFailedAt != Instant{} && SteadyNow() - mFailedAt < kFailureTime) {
    co_return false;
  }
  // The read in progress may have begun before what the caller asks about.
  const std::uint64_t number = mBegun + 1;
  mWanted = std::max(mWanted, number);
  if (!std::exchange(mIsReading, true)) {
    SpawnTask(mContext.get_executor(), "joined-read", ReadWhileWanted());
  }
  while (mEnded < number && aIsNeeded()) {
    beast::error_code ec;
    co_await mDone.async_wait(net::redirect_error(net::use_awaitable, ec));
  }
  co_return mSucceeded >= number;
}

Task<void>
JoinedRead::ReadWhileWanted()
{
  net::steady_timer pause{ mContext };
  while (mEnded < mWanted) {
    ++mBegun;
    bool isDone = false;
    try {
      isDone = co_await mRead();
    } catch (...) {
      ReportTaskFailure("joined-read", std::current_exception());
    }
    mSucceeded = isDone ? mBegun : mSucceeded;
    mFailedAt = isDone ? Instant{} : SteadyNow();
    mEnded = mBegun;
    mDone.cancel();
    pause.expires_after(mPause);
    beast::error_code ec;
    co_await pause.async_wait(net::redirect_error(net::use_awaitable, ec));
  }
  mIsReading = false;
}

} // namespace cactusgw
