#ifndef CACTUSGW_GATEWAY_WAITING_LINE_HPP
#define CACTUSGW_GATEWAY_WAITING_LINE_HPP

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
class WaitingLine
{
public:
  /// A place in a service's line; leaves it when destroyed.
  class Place
  {
  public:
    Place(WaitingLine& aLine,
          const std::string& aService,
          std::uint32_t aRank,
          const net::any_io_executor& aExecutor);
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    /// Whether nobody more urgent waits for the same service.
    bool IsFirst() const;
    /// Waits until woken or until the time.
    Task<void> Wait(Instant aUntil);
    void Wake() { mTimer.cancel(); }

  private:
    using Key = std::pair<std::uint32_t, std::uint64_t>;

    WaitingLine& mLine;
    std::string mService;
    Key mKey;
    net::steady_timer mTimer;
  };

  static WaitingLine Create() { return WaitingLine{}; }
  WaitingLine(WaitingLine&&) = default;

  /// Whether somebody at least as urgent waits already.
  bool IsAhead(const std::string& aService, std::uint32_t aRank) const;
  /// Something may have become free: wakes the first of each line.
  void WakeFirst();
  std::size_t Length(const std::string& aService) const;

private:
  using Places = std::map<std::pair<std::uint32_t, std::uint64_t>, Place*>;

  WaitingLine() = default;

  std::map<std::string, Places> mLines;
  std::uint64_t mNext = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_WAITING_LINE_HPP
