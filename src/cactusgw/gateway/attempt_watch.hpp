#ifndef CACTUSGW_GATEWAY_ATTEMPT_WATCH_HPP
#define CACTUSGW_GATEWAY_ATTEMPT_WATCH_HPP

/// Calls a function at a time, and again for as long as the function asks for
/// it.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cactusgw {

/// Not thread-safe. The function is never called after the destruction, also
/// when the time has already come and the call is queued.
class AttemptWatch
{
public:
  /// Returns when to be called again; nullopt if not at all.
  using OnDue = std::function<std::optional<Instant>()>;

  AttemptWatch(const net::any_io_executor& aExecutor,
               Instant aAt,
               OnDue aOnDue);
  ~AttemptWatch();
  AttemptWatch(const AttemptWatch&) = delete;
  AttemptWatch& operator=(const AttemptWatch&) = delete;

private:
  struct State;
  static void Arm(const std::shared_ptr<State>& aState, Instant aAt);

  std::shared_ptr<State> mState;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_ATTEMPT_WATCH_HPP
