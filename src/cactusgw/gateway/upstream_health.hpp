#ifndef CACTUSGW_GATEWAY_UPSTREAM_HEALTH_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_HEALTH_HPP

/// Failure penalties of upstreams, derived from their responses. Upstreams can
/// fail requests while their health endpoint reports success.

#include "cactusgw/core/verdict.hpp"

#include <map>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class UpstreamHealth
{
public:
  /// Half-life of the penalty.
  static constexpr Milliseconds kHalfLife{ 3000 };
  /// Upper limit of the penalty, so that a recovered upstream is selected again
  /// within a few half-lives.
  static constexpr double kMaxFailurePenalty = 8.0;

  static UpstreamHealth Create() { return UpstreamHealth{}; }

  /// @param aWeight amount added to the penalty; 1 for a failed request
  void OnFailure(std::string_view aUpstream, double aWeight, Instant aNow);
  void OnSuccess(std::string_view aUpstream, Instant aNow);
  void Forget(std::string_view aUpstream);

  /// 0 without recent failures; 1 immediately after a single failure.
  double FailurePenalty(std::string_view aUpstream, Instant aNow) const;

private:
  struct Record
  {
    double mFailurePenalty = 0;
    Instant mUpdatedAt;
  };

  UpstreamHealth() = default;

  std::map<std::string, Record, std::less<>> mRecords;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_HEALTH_HPP
