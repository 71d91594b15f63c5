#ifndef CACTUSGW_GATEWAY_OBJECT_POLLER_HPP
#define CACTUSGW_GATEWAY_OBJECT_POLLER_HPP

/// Reads one object of the store again and again. Unlike a waiting call, each
/// answered read proves that everything up to its start is known, so that
/// knowledge stays fresh while nothing changes.

#include "cactusgw/gateway/registry_follower.hpp"
#include "cactusgw/gateway/store_freshness.hpp"

#include <utility>

namespace cactusgw {

template<typename Source>
concept ObjectSource = requires(Source& aSource)
{
  /// The object as a collection of one. Errors: StoreUnavailable.
  {
    aSource.Read()
    } -> std::same_as<boost::asio::awaitable<Result<CollectionUpdate>>>;
};

/// What a poller reports beside. Must be set.
struct PollerEvents : FollowerEvents
{
  /// Everything up to this time is known.
  std::function<void(BootTime)> mOnConfirmed;
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

  /// Never ends.
  Task<void> Run()
  {
    StoreContact contact;
    while (true) {
      while (!mEvents.mShouldRead()) {
        co_await Sleep(kIdlePause);
      }
      const BootTime asked = BootNow();
      Result<CollectionUpdate> update = co_await mSource.Read();
      if (!update) {
        co_await contact.OnFailure(
          update.error(), mEvents.mLastPause(), mEvents.mOnLost);
        continue;
      }
      contact.OnAnswer(mEvents.mOnBack);
      mEvents.mOnUpdate(std::move(update.value()));
      mEvents.mOnConfirmed(asked);
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
