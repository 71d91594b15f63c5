#include "cactusgw/gateway/attempt_watch.hpp"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace cactusgw {

struct AttemptWatch::State
{
  net::steady_timer mTimer;
  OnDue mOnDue;
};

AttemptWatch::AttemptWatch(const net::any_io_executor& aExecutor,
                           Instant aAt,
                           OnDue aOnDue)
  : mState(std::make_shared<State>(
      State{ net::steady_timer{ aExecutor }, std::move(aOnDue) }))
{
  Arm(mState, aAt);
}

void
AttemptWatch::Arm(const std::shared_ptr<State>& aState, Instant aAt)
{
  aState->mTimer.expires_at(aAt);
  aState->mTimer.async_wait([aState](const beast::error_code& aError) {
    if (aError || !aState->mOnDue) {
      return;
    }
    const std::optional<Instant> next = aState->mOnDue();
    if (next && aState->mOnDue) {
      Arm(aState, *next);
    }
  });
}

AttemptWatch::~AttemptWatch()
{
  // Cancelling does not stop a call that is already queued.
  mState->mOnDue = nullptr;
  mState->mTimer.cancel();
}

} // namespace cactusgw
