#include "cactusgw/gateway/movable_run.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw {

void
MovableRun::SetState(RunState aState)
{
  mState = aState;
  mChanged.cancel();
}

void
MovableRun::SetStopped(Continuation aContinuation)
{
  mNext = std::move(aContinuation);
  SetState(RunState::Stopped);
}

Task<void>
MovableRun::WaitWhileStopping(Instant aUntil)
{
  while (mState == RunState::Stopping &&
         std::chrono::steady_clock::now() < aUntil) {
    beast::error_code ec;
    mChanged.expires_at(aUntil);
    co_await mChanged.async_wait(net::redirect_error(net::use_awaitable, ec));
  }
}

} // namespace cactusgw
