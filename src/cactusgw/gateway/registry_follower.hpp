#ifndef CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP
#define CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP

/// Lists and watches one collection of the store. Lists it again whenever
/// changes may have been missed.

#include "cactusgw/gateway/store_contact.hpp"
#include "cactusgw/interfaces/registry_source.hpp"
#include "cactusgw/net/http_types.hpp"

#include <functional>
#include <utility>

namespace cactusgw {

/// Callbacks of a watcher. All functions must be set.
struct FollowerEvents
{
  /// Whether to read the store at present or to stay idle.
  std::function<bool()> mShouldRead;
  /// The known revision; zero if none.
  std::function<std::uint64_t()> mRevision;
  std::function<void(CollectionUpdate)> mOnUpdate;
  /// Maximum backoff between failed calls.
  std::function<Milliseconds()> mLastPause;
  std::function<void(const Failure&)> mOnLost;
  std::function<void()> mOnBack;
};

/// Not thread-safe; lives on one io_context as long as the process.
template<RegistrySource Source>
class RegistryFollower
{
public:
  /// @param aWait maximum duration of one watch call
  RegistryFollower(Source aSource, Milliseconds aWait, FollowerEvents aEvents)
    : mSource(std::move(aSource))
    , mWait(aWait)
    , mEvents(std::move(aEvents))
  {
  }

  /// Lists and watches forever.
  Task<void> Run()
  {
    while (true) {
      while (!mEvents.mShouldRead()) {
        co_await Sleep(kIdlePause);
      }
      const Result<void> done = co_await Step();
      if (done) {
        continue;
      }
      if (done.error().mCode == FailureCode::HistoryGone) {
        mLostHistory = mEvents.mRevision();
        continue;
      }
      co_await mContact.OnFailure(
        done.error(), mEvents.mLastPause(), mEvents.mOnLost);
    }
  }

private:
  Task<Result<void>> Step()
  {
    // Changes are missing until an update with a later revision arrives, which
    // may also come from another gateway.
    const bool isListDue = mEvents.mRevision() <= mLostHistory;
    Result<CollectionUpdate> update{ CollectionUpdate{} };
    if (isListDue) {
      update = co_await mSource.List();
    } else {
      update = co_await mSource.Watch(mEvents.mRevision(), mWait);
    }
    if (!update) {
      co_return update.error();
    }
    mContact.OnAnswer(mEvents.mOnBack);
    mEvents.mOnUpdate(std::move(update.value()));
    if (isListDue) {
      mLostHistory = 0;
    }
    co_return boost::outcome_v2::success();
  }

  Source mSource;
  Milliseconds mWait;
  FollowerEvents mEvents;
  StoreContact mContact;
  /// Revision from which the store can't return changes any more, as it has
  /// compacted its history.
  std::uint64_t mLostHistory = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_REGISTRY_FOLLOWER_HPP
