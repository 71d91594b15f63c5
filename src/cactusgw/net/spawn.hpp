#ifndef CACTUSGW_NET_SPAWN_HPP
#define CACTUSGW_NET_SPAWN_HPP

/// Tasks that nobody waits for. None of them ends unseen: an exception is
/// logged as `event=task-failed` and counted, and ends neither the process nor
/// a loop. See docs/design/tasks.md for who owns which task.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <concepts>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cactusgw {

/// Pause before a loop that threw is started again.
inline constexpr Milliseconds kLoopRestartDelay{ 200 };

/// Starts a task that ends by itself.
void SpawnTask(const net::any_io_executor& aExecutor,
               std::string aName,
               Task<void> aTask);

/// Starts a task that goes on until the process stops. If it throws, it is
/// started again after kLoopRestartDelay; if it returns, it has ended.
void SpawnLoop(const net::any_io_executor& aExecutor,
               std::string aName,
               std::function<Task<void>()> aStart);

/// Runs the event loop until it is stopped or out of work. An exception out of
/// a completion handler is reported, and the loop goes on.
void RunToEnd(net::io_context& aContext);

/// Logs and counts the end of a task by an exception.
void ReportTaskFailure(std::string_view aName,
                       const std::exception_ptr& aError) noexcept;

/// Calls the function. An exception is reported as that of a task.
/// @return whether the function returned
template<std::invocable Function>
bool
RunGuarded(std::string_view aName, Function&& aFunction) noexcept
{
  try {
    std::invoke(std::forward<Function>(aFunction));
    return true;
  } catch (...) {
    ReportTaskFailure(aName, std::current_exception());
    return false;
  }
}

/// Number of tasks of this process that have ended by an exception. Not
/// thread-safe.
std::uint64_t TaskFailures();

} // namespace cactusgw

#endif // CACTUSGW_NET_SPAWN_HPP
