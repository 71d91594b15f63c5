#ifndef CACTUSGW_GATEWAY_WAIT_QUEUE_HPP
#define CACTUSGW_GATEWAY_WAIT_QUEUE_HPP

/// Queues of requests that wait until an upstream has free capacity, ordered by
/// rank and then by arrival. Requests that may use different upstreams, for
/// their service or their regions, wait in different queues: one that waits for
/// a full region must not hold up the others.

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
  /// A request's entry in a queue; removed on destruction.
  class Entry
  {
  public:
    Entry(WaitQueue& aQueue,
          const std::string& aQueueName,
          std::uint32_t aRank,
          const net::any_io_executor& aExecutor);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// Whether this entry is at the head of its queue.
    bool IsFirst() const;
    /// Waits for Wake(), at most until the given time.
    Task<void> Wait(Instant aUntil);
    void Wake() { mTimer.cancel(); }

  private:
    using Key = std::pair<std::uint32_t, std::uint64_t>;

    WaitQueue& mQueue;
    std::string mQueueName;
    Key mKey;
    net::steady_timer mTimer;
  };

  static WaitQueue Create() { return WaitQueue{}; }
  WaitQueue(WaitQueue&&) = default;

  /// Whether a request of this or a more urgent rank is already queued.
  bool HasWaiterAheadOf(const std::string& aQueueName,
                        std::uint32_t aRank) const;
  /// Wakes the head of each queue to check for free capacity.
  void WakeFirstWaiters();
  std::size_t Length(const std::string& aQueueName) const;

private:
  using Entries = std::map<std::pair<std::uint32_t, std::uint64_t>, Entry*>;

  WaitQueue() = default;

  std::map<std::string, Entries> mEntriesByName;
  std::uint64_t mNextSequence = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_WAIT_QUEUE_HPP
