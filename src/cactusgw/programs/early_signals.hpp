#ifndef CACTUSGW_PROGRAMS_EARLY_SIGNALS_HPP
#define CACTUSGW_PROGRAMS_EARLY_SIGNALS_HPP

/// Signals that arrive before their handlers are set. A program that refers to
/// ReleaseSignals() holds SIGHUP, SIGINT and SIGTERM back before the first
/// constructor of a static object runs, and ignores SIGPIPE.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

/// Takes a SIGINT or SIGTERM that is held back, or waits for one.
/// @return whether there was one within the time
bool TakeStopSignal(Milliseconds aTime);

/// Delivers the signals that were held back, and all later ones. Not
/// thread-safe; call on the main thread once the handlers are set.
void ReleaseSignals();

} // namespace cactusgw

#endif // CACTUSGW_PROGRAMS_EARLY_SIGNALS_HPP
