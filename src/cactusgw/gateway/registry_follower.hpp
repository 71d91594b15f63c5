#ifndef CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP
#define CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP

/// Follows a collection of the store: lists it, waits for changes, and lists
/// it again whenever changes may have been missed.

#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/interfaces/registry_source.hpp"
#include "cactusgw/net/http_types.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace cactusgw {

/// What the follower reports. All functions must be set.
template<typename Value>
struct FollowerEvents
{
  std::function<void(std::vector<Value>)> mOnListing;
  std::function<void(std::vector<Change<Value>>)> mOnChanges;
  /// Everything up to this time is known.
  std::function<void(BootTime)> mOnConfirmed;
  std::function<void(const Failure&)> mOnLost;
  std::function<void()> mOnBack;
};

/// Not thread-safe; lives on one io_context as long as the process.
template<RegistrySource Source>
class RegistryFollower
{
public:
  using Value = typename Source::Value;

  /// @param aWait longest time of one waiting call
  RegistryFollower(Source aSource,
                   Milliseconds aWait,
                   FollowerEvents<Value> aEvents)
    : mSource(std::move(aSource))
    , mWait(aWait)
    , mEvents(std::move(aEvents))
  {
  }

  /// Never ends.
  Task<void> Run()
  {
    while (true) {
      const Result<void> done = co_await Step();
      if (done) {
        OnAnswer();
        continue;
      }
      if (done.error().mCode == FailureCode::HistoryGone) {
        mIsListed = false;
        continue;
      }
      co_await OnFailure(done.error());
    }
  }

private:
  /// Pauses between failed calls double from the first to the last.
  static constexpr Milliseconds kFirstPause{ 100 };
  static constexpr Milliseconds kLastPause{ 400 };

  Task<Result<void>> Step()
  {
    const BootTime asked = BootNow();
    if (!mIsListed) {
      Result<Listing<Value>> listing = co_await mSource.List();
      if (!listing) {
        co_return listing.error();
      }
      OnAnswer();
      mRevision = listing.value().mRevision;
      mIsListed = true;
      mEvents.mOnListing(std::move(listing.value().mValues));
    } else {
      Result<Changes<Value>> changes = co_await mSource.Watch(mRevision, mWait);
      if (!changes) {
        co_return changes.error();
      }
      OnAnswer();
      mRevision = std::max(mRevision, changes.value().mRevision);
      mEvents.mOnChanges(std::move(changes.value().mChanges));
    }
    mEvents.mOnConfirmed(asked);
    co_return boost::outcome_v2::success();
  }

  void OnAnswer()
  {
    mPause = kFirstPause;
    if (mIsLost) {
      mIsLost = false;
      mEvents.mOnBack();
    }
  }

  Task<void> OnFailure(const Failure& aFailure)
  {
    if (!mIsLost) {
      mIsLost = true;
      mEvents.mOnLost(aFailure);
    }
    net::steady_timer timer{ co_await net::this_coro::executor };
    timer.expires_after(mPause);
    mPause = std::min(kLastPause, mPause * 2);
    beast::error_code ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
  }

  Source mSource;
  Milliseconds mWait;
  FollowerEvents<Value> mEvents;
  std::uint64_t mRevision = 0;
  bool mIsListed = false;
  bool mIsLost = false;
  Milliseconds mPause = kFirstPause;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP
