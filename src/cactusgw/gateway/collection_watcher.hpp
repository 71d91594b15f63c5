#ifndef CACTUSGW_GATEWAY_COLLECTION_WATCHER_HPP
#define CACTUSGW_GATEWAY_COLLECTION_WATCHER_HPP

/// Lists and watches one collection of the store. Lists it again whenever
/// changes may have been missed.

#include "cactusgw/gateway/store_backoff.hpp"
#include "cactusgw/interfaces/registry_source.hpp"
#include "cactusgw/net/http_types.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <functional>
#include <utility>

namespace cactusgw {

/// Callbacks of a watcher. All functions must be set.
struct WatcherEvents
{
  /// Whether to read the store at present or to stay idle.
  std::function<bool()> mShouldRead;
  /// The known version of the collection; zero if none.
  std::function<StoreVersion()> mVersion;
  /// The newest era of the store that was seen in any collection.
  std::function<std::uint64_t()> mEra;
  std::function<void(CollectionUpdate)> mOnUpdate;
  /// Maximum backoff between failed calls.
  std::function<Milliseconds()> mMaxBackoff;
  /// Whether to repeat a failed call. While the store is known to be
  /// unavailable, one loop of calls is enough to notice its return.
  std::function<bool()> mShouldRetry;
  /// Called for each call that the store answered, before the answer is used,
  /// and for each other call, with the time at which it was sent.
  std::function<void()> mOnAnswered;
  std::function<void(Instant)> mOnUnanswered;
  /// Called when calls of this collection begin to fail, and when they succeed
  /// again, which may be long after the store has returned.
  std::function<void(const Failure&)> mOnUnavailable;
  std::function<void()> mOnRecovered;
};

/// Reports whether the store answered a call. It may have answered that it
/// lacks what was asked for.
inline void
ReportAnswer(const WatcherEvents& aEvents,
             const Result<CollectionUpdate>& aUpdate,
             Instant aSentAt)
{
  if (!aUpdate && aUpdate.error().mCode == FailureCode::StoreUnavailable) {
    aEvents.mOnUnanswered(aSentAt);
  } else {
    aEvents.mOnAnswered();
  }
}

/// Not thread-safe; lives on one io_context as long as the process.
template<RegistrySource Source>
class CollectionWatcher
{
public:
  /// @param aWait maximum duration of one watch call
  /// @param aPause pause after a call that returned changes, so that changes in
  ///        quick succession take one call together
  CollectionWatcher(Source aSource,
                    Milliseconds aWait,
                    Milliseconds aPause,
                    WatcherEvents aEvents)
    : mSource(std::move(aSource))
    , mMaxWait(aWait)
    , mPause(aPause)
    , mEvents(std::move(aEvents))
  {
  }

  /// Lists and watches forever.
  Task<void> Run()
  {
    while (true) {
      while (!mEvents.mShouldRead()) {
        co_await Sleep(kIdlePollInterval);
      }
      const Result<void> done = co_await Step();
      if (done) {
        continue;
      }
      if (done.error().mCode == FailureCode::HistoryCompacted) {
        mCompactedVersion = mEvents.mVersion();
        continue;
      }
      co_await mBackoff.OnFailure(
        done.error(), mEvents.mMaxBackoff(), mEvents.mOnUnavailable);
      while (!mEvents.mShouldRetry()) {
        co_await Sleep(kIdlePollInterval);
      }
    }
  }

private:
  /// Errors: StoreUnavailable; HistoryCompacted if a list is due.
  Task<Result<void>> Step()
  {
    // Changes are missing until an update with a later version arrives, which
    // may also come from another gateway.
    const StoreVersion known = mEvents.mVersion();
    const bool isListDue =
      known <= mCompactedVersion || known.mEra < mEvents.mEra();
    const Instant sentAt = SteadyNow();
    Result<CollectionUpdate> update{ CollectionUpdate{} };
    if (isListDue) {
      update = co_await mSource.List();
    } else {
      update = co_await mSource.Watch(known.mRevision, mMaxWait);
    }
    ReportAnswer(mEvents, update, sentAt);
    if (!update) {
      co_return update.error();
    }
    if (isListDue && update.value().mEra < mEvents.mEra()) {
      co_return NotRun(FailureCode::StoreUnavailable,
                       "the list is from before the store was restored");
    }
    if (!isListDue && update.value().mEra != known.mEra) {
      // The store took the revision for one that it has given out again.
      co_return NotRun(FailureCode::HistoryCompacted,
                       "the store was restored from a copy");
    }
    mBackoff.OnSuccess(mEvents.mOnRecovered);
    const bool hasChanges = !update.value().mObjects.empty();
    mEvents.mOnUpdate(std::move(update.value()));
    if (isListDue) {
      mCompactedVersion = {};
    }
    if (hasChanges && mPause > Milliseconds::zero()) {
      co_await Sleep(mPause);
    }
    co_return boost::outcome_v2::success();
  }

  Source mSource;
  Milliseconds mMaxWait;
  Milliseconds mPause;
  WatcherEvents mEvents;
  StoreBackoff mBackoff;
  /// Version from which the store can't return changes any more, as it has
  /// compacted its history or was restored from a copy.
  StoreVersion mCompactedVersion;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_COLLECTION_WATCHER_HPP
