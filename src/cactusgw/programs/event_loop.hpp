#ifndef CACTUSGW_PROGRAMS_EVENT_LOOP_HPP
#define CACTUSGW_PROGRAMS_EVENT_LOOP_HPP

/// Signals and periodic work on an event loop.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace cactusgw {

/// Calls the function at the first SIGTERM or SIGINT. A second one ends the
/// process at once.
void StopOnSignals(boost::asio::io_context& aContext,
                   std::function<void()> aOnStop);

/// Calls the function at each SIGHUP. Without this call a SIGHUP ends the
/// process.
void ReloadOnSignal(boost::asio::io_context& aContext,
                    std::function<void()> aOnReload);

/// Calls the function repeatedly until it returns false. The time between two
/// calls is asked for anew each time. An exception is reported as that of a
/// task of this name, and the function is called again.
void RunEvery(boost::asio::io_context& aContext,
              std::function<Milliseconds()> aInterval,
              std::function<bool()> aFunction,
              std::string aName = "periodic");

} // namespace cactusgw

#endif // CACTUSGW_PROGRAMS_EVENT_LOOP_HPP
