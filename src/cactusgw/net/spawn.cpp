#include "cactusgw/net/spawn.hpp"

#include "cactusgw/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cactusgw {

namespace {

std::uint64_t sTaskFailures = 0;

std::string
TextOf(const std::exception_ptr& aError)
{
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& e) {
    return e.what();
  } catch (...) {
    return "unknown";
  }
}

Task<void>
RunLoop(std::string aName, std::function<Task<void>()> aStart)
{
  net::steady_timer timer{ co_await net::this_coro::executor };
  bool hasFailed = true;
  while (hasFailed) {
    hasFailed = false;
    try {
      co_await aStart();
    } catch (...) {
      hasFailed = true;
      ReportTaskFailure(aName, std::current_exception());
    }
    if (hasFailed) {
      timer.expires_after(kLoopRestartDelay);
      boost::system::error_code ec;
      co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
  }
}

} // namespace

void
SpawnTask(const net::any_io_executor& aExecutor,
          std::string aName,
          Task<void> aTask)
{
  net::co_spawn(aExecutor,
                std::move(aTask),
                [name = std::move(aName)](const std::exception_ptr& aError) {
                  if (aError) {
                    ReportTaskFailure(name, aError);
                  }
                });
}

void
SpawnLoop(const net::any_io_executor& aExecutor,
          std::string aName,
          std::function<Task<void>()> aStart)
{
  std::string name = aName;
  SpawnTask(
    aExecutor, std::move(name), RunLoop(std::move(aName), std::move(aStart)));
}

void
RunToEnd(net::io_context& aContext)
{
  while (!RunGuarded("handler", [&aContext] { aContext.run(); })) {
  }
}

void
ReportTaskFailure(std::string_view aName,
                  const std::exception_ptr& aError) noexcept
{
  ++sTaskFailures;
  try {
    PartLog{ "task" }.Error("event=task-failed task=" + std::string{ aName } +
                            " error=\"" + TextOf(aError) + "\"");
  } catch (...) {
    // Without memory for the line, the count is all that can be kept.
    return;
  }
}

std::uint64_t
TaskFailures()
{
  return sTaskFailures;
}

} // namespace cactusgw
