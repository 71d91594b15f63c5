#ifndef CACTUSGW_GATEWAY_OBJECT_POLLER_HPP
#define CACTUSGW_GATEWAY_OBJECT_POLLER_HPP

/// Polls one object of the store. Unlike a long poll, each successful read
/// proves that all changes up to its start are known, so that the
/// configuration stays fresh while nothing changes.

#include "cactusgw/gateway/collection_watcher.hpp"
#include "cactusgw/gateway/store_freshness.hpp"

#include <utility>

namespace cactusgw {

template<typename Source>
concept ObjectSource = requires(Source& aSource)
{
  /// The object as a collection of one. Errors: StoreUnavailable; NotFound if
  /// the store has no such object.
  {
    aSource.Read()
    } -> std::same_as<boost::asio::awaitable<Result<CollectionUpdate>>>;
};

/// Additional callbacks of a poller. All must be set; mShouldRetry is not used.
struct PollerEvents : WatcherEvents
{
  /// Called with the time up to which all changes are known.
  std::function<void(BootTime)> mOnConfirmed;
  /// Called with the time at which the store had no such object.
  std::function<void(BootTime)> mOnMissing;
};

/// Not thread-safe; lives on one io_context as long as the process.
template<ObjectSource Source>
class ObjectPoller
{
public:
  ObjectPoller(Source aSource, Milliseconds aInterval, PollerEvents aEvents)
    : mSource(std::move(aSource))
    , mInterval(aInterval)
    , mEvents(std::move(aEvents))
  {
  }

  /// Polls forever.
  Task<void> Run()
  {
    StoreBackoff backoff;
    while (true) {
      while (!mEvents.mShouldRead()) {
        co_await Sleep(kIdlePollInterval);
      }
      const BootTime readStart = BootNow();
      const Instant sentAt = SteadyNow();
      Result<CollectionUpdate> update = co_await mSource.Read();
      ReportAnswer(mEvents, update, sentAt);
      if (!update && update.error().mCode == FailureCode::NotFound) {
        backoff.OnSuccess(mEvents.mOnRecovered);
        mEvents.mOnMissing(readStart);
        co_await Sleep(mInterval);
        continue;
      }
      if (!update) {
        co_await backoff.OnFailure(
          update.error(), mEvents.mMaxBackoff(), mEvents.mOnUnavailable);
        continue;
      }
      backoff.OnSuccess(mEvents.mOnRecovered);
      const StoreVersion read = update.value().Version();
      mEvents.mOnUpdate(std::move(update.value()));
      // A late answer of an earlier era confirms nothing.
      if (read >= mEvents.mVersion()) {
        mEvents.mOnConfirmed(readStart);
      }
      co_await Sleep(mInterval);
    }
  }

private:
  Source mSource;
  Milliseconds mInterval;
  PollerEvents mEvents;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_OBJECT_POLLER_HPP
