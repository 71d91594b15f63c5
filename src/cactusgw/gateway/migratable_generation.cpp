#include "cactusgw/gateway/migratable_generation.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw {

void
MigratableGeneration::SetState(GenerationState aState)
{
  mState = aState;
  if (aState == GenerationState::Running) {
    mIsLeftToBackup = false; // The order to stop has failed.
  }
  mChanged.cancel();
}

void
MigratableGeneration::SetStopped(Continuation aContinuation)
{
  mNext = std::move(aContinuation);
  SetState(GenerationState::Stopped);
}

Task<void>
MigratableGeneration::WaitWhileStopping(Instant aUntil)
{
  while (mState == GenerationState::Stopping &&
         std::chrono::steady_clock::now() < aUntil) {
    beast::error_code ec;
    mChanged.expires_at(aUntil);
    co_await mChanged.async_wait(net::redirect_error(net::use_awaitable, ec));
  }
}

} // namespace cactusgw
