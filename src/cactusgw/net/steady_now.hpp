#ifndef CACTUSGW_NET_STEADY_NOW_HPP
#define CACTUSGW_NET_STEADY_NOW_HPP

/// The one place where the parts around the core read the monotonic clock.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

inline Instant
SteadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace cactusgw

#endif // CACTUSGW_NET_STEADY_NOW_HPP
