#ifndef CACTUSGW_NET_STEADY_NOW_HPP
#define CACTUSGW_NET_STEADY_NOW_HPP

/// Code outside the core reads the monotonic clock in this one place.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

inline Instant
SteadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace cactusgw

#endif // CACTUSGW_NET_STEADY_NOW_HPP
