#ifndef CACTUSGW_GATEWAY_DRAIN_NOTICES_HPP
#define CACTUSGW_GATEWAY_DRAIN_NOTICES_HPP

/// Recent notices that an upstream is draining. Gateways pass them on to each
/// other, as the store may be reachable from only some of them.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw {

/// A draining upstream, identified by its ID and start time.
struct DrainingUpstream
{
  std::string mId;
  /// Unix time of the start.
  std::int64_t mStartedMs = 0;
};

/// Not thread-safe. Time is passed in.
class DrainNotices
{
public:
  /// How long a notice is passed on. After this time the upstream has stopped
  /// in any case.
  static constexpr Milliseconds kValidity{ 5000 };

  static DrainNotices Create() { return DrainNotices{}; }

  void Add(DrainingUpstream aUpstream, Instant aNow);
  std::vector<DrainingUpstream> Recent(Instant aNow) const;
  /// Incremented by each call of Add().
  std::uint64_t Version() const { return mVersion; }

private:
  DrainNotices() = default;

  std::vector<std::pair<DrainingUpstream, Instant>> mNotices;
  std::uint64_t mVersion = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_DRAIN_NOTICES_HPP
