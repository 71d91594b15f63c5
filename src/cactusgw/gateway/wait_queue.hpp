#ifndef CACTUSGW_GATEWAY_WAIT_QUEUE_HPP
#define CACTUSGW_GATEWAY_WAIT_QUEUE_HPP

/// Requests that wait until an upstream of their service has room: the most
/// urgent first, then the one that came first.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class WaitQueue
{
public:
  /// A place in a service's line; leaves it when destroyed.
  class Entry
  {
  public:
    Entry(WaitQueue& aQueue,
          const std::string& aService,
          std::uint32_t aRank,
          const net::any_io_executor& aExecutor);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// Whether nobody more urgent waits for the same service.
    bool IsFirst() const;
    /// Waits until woken or until the time.
    Task<void> Wait(Instant aUntil);
    void Wake() { mTimer.cancel(); }

  private:
    using Key = std::pair<std::uint32_t, std::uint64_t>;

    WaitQueue& mQueue;
    std::string mService;
    Key mKey;
    net::steady_timer mTimer;
  };

  static WaitQueue Create() { return WaitQueue{}; }
  WaitQueue(WaitQueue&&) = default;

  /// Whether somebody at least as urgent waits already.
  bool HasWaiterAheadOf(const std::string& aService, std::uint32_t aRank) const;
  /// Something may have become free: wakes the first of each line.
  void WakeFirstWaiters();
  std::size_t Length(const std::string& aService) const;

private:
  using Entries = std::map<std::pair<std::uint32_t, std::uint64_t>, Entry*>;

  WaitQueue() = default;

  std::map<std::string, Entries> mEntriesByService;
  std::uint64_t mNextSequence = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_WAIT_QUEUE_HPP
