#ifndef CACTUSGW_GATEWAY_OBJECT_POLLER_HPP
#define CACTUSGW_GATEWAY_OBJECT_POLLER_HPP

/// Reads one object of the store again and again. Unlike a waiting call, each
/// answered read proves that everything up to its start is known, so that
/// knowledge stays fresh while nothing changes.

#include "cactusgw/gateway/registry_follower.hpp"

#include <optional>
#include <utility>

namespace cactusgw {

template<typename Source>
concept ObjectSource = requires(Source& aSource)
{
  typename Source::Value;
  /// The object, or nothing when it is as it was at the last read. Errors:
  /// StoreUnavailable.
  {
    aSource.Read()
    } -> std::same_as<
      boost::asio::awaitable<Result<std::optional<typename Source::Value>>>>;
};

/// Not thread-safe; lives on one io_context as long as the process.
template<ObjectSource Source>
class ObjectPoller
{
public:
  using Value = typename Source::Value;

  ObjectPoller(Source aSource,
               Milliseconds aInterval,
               ObjectEvents<Value> aEvents)
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
      const BootTime asked = BootNow();
      Result<std::optional<Value>> value = co_await mSource.Read();
      if (!value) {
        co_await contact.OnFailure(value.error(), mEvents.mOnLost);
        continue;
      }
      contact.OnAnswer(mEvents.mOnBack);
      if (value.value()) {
        mEvents.mOnValue(std::move(*value.value()));
      }
      mEvents.mOnConfirmed(asked);
      co_await Sleep(mInterval);
    }
  }

private:
  Source mSource;
  Milliseconds mInterval;
  ObjectEvents<Value> mEvents;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_OBJECT_POLLER_HPP
