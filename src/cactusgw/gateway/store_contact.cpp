#include "cactusgw/gateway/store_contact.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cactusgw {

Task<void>
Sleep(Milliseconds aTime)
{
  net::steady_timer timer{ co_await net::this_coro::executor };
  timer.expires_after(aTime);
  beast::error_code ec;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
}

void
StoreContact::OnAnswer(const std::function<void()>& aOnBack)
{
  mPause = kFirstPause;
  if (mIsLost) {
    mIsLost = false;
    aOnBack();
  }
}

Task<void>
StoreContact::OnFailure(Failure aFailure,
                        Milliseconds aLastPause,
                        std::function<void(const Failure&)> aOnLost)
{
  if (!mIsLost) {
    mIsLost = true;
    aOnLost(aFailure);
  }
  co_await Sleep(NextPause(aLastPause));
}

Milliseconds
StoreContact::NextPause(Milliseconds aLastPause)
{
  const Milliseconds pause = std::min(aLastPause, mPause);
  mPause = std::min(aLastPause, mPause * 2);
  return pause;
}

} // namespace cactusgw
