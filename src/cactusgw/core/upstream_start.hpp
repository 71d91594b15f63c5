#ifndef CACTUSGW_CORE_UPSTREAM_START_HPP
#define CACTUSGW_CORE_UPSTREAM_START_HPP

/// Identifies one start of an upstream.

#include <compare>
#include <cstdint>
#include <string>

namespace cactusgw {

/// What is known of an upstream, such as a crash or a limit, holds for one
/// start: an upstream may start again under the id that it had.
struct UpstreamStart
{
  std::string mId;
  /// Unix time of the start.
  std::int64_t mStartedMs = 0;

  auto operator<=>(const UpstreamStart&) const = default;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_UPSTREAM_START_HPP
