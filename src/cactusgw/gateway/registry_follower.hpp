#ifndef CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP
#define CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP

/// Follows a collection of the store: lists it, waits for changes, and lists
/// it again whenever changes may have been missed.

#include "cactusgw/gateway/store_contact.hpp"
#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/interfaces/registry_source.hpp"
#include "cactusgw/net/http_types.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace cactusgw {

/// What is told of the store's answers. All functions must be set.
struct ContactEvents
{
  std::function<void(const Failure&)> mOnLost;
  std::function<void()> mOnBack;
};

/// What a follower reports. All functions must be set.
template<typename Value>
struct FollowerEvents : ContactEvents
{
  std::function<void(std::vector<Value>)> mOnListing;
  std::function<void(std::vector<Change<Value>>)> mOnChanges;
};

/// What a poller reports. All functions must be set.
template<typename Value>
struct ObjectEvents : ContactEvents
{
  std::function<void(Value)> mOnValue;
  /// Everything up to this time is known.
  std::function<void(BootTime)> mOnConfirmed;
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
        continue;
      }
      if (done.error().mCode == FailureCode::HistoryGone) {
        mIsListed = false;
        continue;
      }
      co_await mContact.OnFailure(done.error(), mEvents.mOnLost);
    }
  }

private:
  Task<Result<void>> Step()
  {
    if (!mIsListed) {
      Result<Listing<Value>> listing = co_await mSource.List();
      if (!listing) {
        co_return listing.error();
      }
      mContact.OnAnswer(mEvents.mOnBack);
      mRevision = listing.value().mRevision;
      mIsListed = true;
      mEvents.mOnListing(std::move(listing.value().mValues));
      co_return boost::outcome_v2::success();
    }
    Result<Changes<Value>> changes = co_await mSource.Watch(mRevision, mWait);
    if (!changes) {
      co_return changes.error();
    }
    mContact.OnAnswer(mEvents.mOnBack);
    mRevision = std::max(mRevision, changes.value().mRevision);
    mEvents.mOnChanges(std::move(changes.value().mChanges));
    co_return boost::outcome_v2::success();
  }

  Source mSource;
  Milliseconds mWait;
  FollowerEvents<Value> mEvents;
  StoreContact mContact;
  std::uint64_t mRevision = 0;
  bool mIsListed = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP
