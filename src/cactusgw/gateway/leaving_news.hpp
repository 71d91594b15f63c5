#ifndef CACTUSGW_GATEWAY_LEAVING_NEWS_HPP
#define CACTUSGW_GATEWAY_LEAVING_NEWS_HPP

/// Upstreams that lately turned out to leave. Gateways tell each other, as the
/// store may answer only some of them.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw {

/// One start of an upstream.
struct LeavingUpstream
{
  std::string mId;
  /// Unix time of the start.
  std::int64_t mStartedMs = 0;
};

/// Not thread-safe. Time is passed in.
class LeavingNews
{
public:
  /// How long news is told. After it the upstream is gone in any case.
  static constexpr Milliseconds kValidity{ 5000 };

  static LeavingNews Create() { return LeavingNews{}; }

  void Add(LeavingUpstream aUpstream, Instant aNow);
  std::vector<LeavingUpstream> Recent(Instant aNow) const;
  /// Rises with each addition.
  std::uint64_t Version() const { return mVersion; }

private:
  LeavingNews() = default;

  std::vector<std::pair<LeavingUpstream, Instant>> mNews;
  std::uint64_t mVersion = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LEAVING_NEWS_HPP
