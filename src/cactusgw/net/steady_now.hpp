#ifndef CACTUSGW_NET_STEADY_NOW_HPP
#define CACTUSGW_NET_STEADY_NOW_HPP

/// Reads the monotonic clock. Code in core/ gets the time as an argument.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

inline Instant
SteadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace cactusgw

#endif // CACTUSGW_NET_STEADY_NOW_HPP
