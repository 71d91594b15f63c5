#include "cactusgw/gateway/store_backoff.hpp"

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
StoreBackoff::OnSuccess(const std::function<void()>& aOnRecovered)
{
  mNextBackoff = kFirstBackoff;
  if (mIsUnavailable) {
    mIsUnavailable = false;
    aOnRecovered();
  }
}

Task<void>
StoreBackoff::OnFailure(Failure aFailure,
                        Milliseconds aMaxBackoff,
                        std::function<void(const Failure&)> aOnUnavailable)
{
  if (!mIsUnavailable) {
    mIsUnavailable = true;
    aOnUnavailable(aFailure);
  }
  co_await Sleep(NextBackoff(aMaxBackoff));
}

Milliseconds
StoreBackoff::NextBackoff(Milliseconds aMaxBackoff)
{
  const Milliseconds pause = std::min(aMaxBackoff, mNextBackoff);
  mNextBackoff = std::min(aMaxBackoff, mNextBackoff * 2);
  return pause;
}

} // namespace cactusgw
