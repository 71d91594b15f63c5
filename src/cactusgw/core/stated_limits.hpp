#ifndef CACTUSGW_CORE_STATED_LIMITS_HPP
#define CACTUSGW_CORE_STATED_LIMITS_HPP

/// Request rates that upstreams state in their responses: how many requests a
/// second an upstream takes from all gateways together.

#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// The newest statement of an upstream.
struct StatedLimit
{
  UpstreamStart mUpstream;
  /// Requests per second; without a value the upstream has withdrawn its limit.
  std::optional<double> mPerSecond;
  Instant mStatedAt;
};

/// Not thread-safe. Time is passed in.
class StatedLimits
{
public:
  /// Age from which a statement no longer counts. Requests go on under the
  /// limit, so that an upstream in need restates it long before.
  static constexpr Milliseconds kMaxAge{ 60'000 };

  static StatedLimits Create() { return StatedLimits{}; }

  /// Handles a response of an upstream.
  /// @param aPerSecond the limit that the response states, if any
  /// @param aSentAt when its request was sent. A response that states no limit
  ///   may have been made before one that does.
  /// @return whether the limit has changed
  bool OnResponse(const UpstreamStart& aUpstream,
                  std::optional<double> aPerSecond,
                  Instant aSentAt,
                  Instant aNow);
  /// Adds what another gateway reports; the newer statement wins.
  /// @return whether the limit has changed
  bool Merge(const StatedLimit& aLimit);

  /// Requests per second that the upstream takes, if limited.
  std::optional<double> PerSecond(std::string_view aUpstream) const;

  /// Drops old statements, and those of upstreams that are not known any more.
  void Expire(const std::function<bool(const UpstreamStart&)>& aIsKnown,
              Instant aNow);

  const std::map<std::string, StatedLimit, std::less<>>& All() const
  {
    return mLimits;
  }
  /// Incremented by each change of a limit.
  std::uint64_t Version() const { return mVersion; }

private:
  StatedLimits() = default;

  std::map<std::string, StatedLimit, std::less<>> mLimits;
  std::uint64_t mVersion = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_STATED_LIMITS_HPP
