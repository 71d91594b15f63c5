#ifndef CACTUSGW_GATEWAY_UPSTREAM_HEALTH_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_HEALTH_HPP

/// How badly each upstream did lately, as seen from its answers. An upstream
/// may fail requests while its own health page is good.

#include "cactusgw/core/verdict.hpp"

#include <map>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class UpstreamHealth
{
public:
  /// A failure's weight halves in this time.
  static constexpr Milliseconds kHalfLife{ 3000 };
  /// Failures beyond this add nothing, so that a recovered upstream is tried
  /// again within a few half-lives.
  static constexpr double kMaxFailurePenalty = 8.0;

  static UpstreamHealth Create() { return UpstreamHealth{}; }

  /// @param aWeight one for a failed request, less for a slow one
  void OnFailure(std::string_view aUpstream, double aWeight, Instant aNow);
  void OnSuccess(std::string_view aUpstream, Instant aNow);
  void Forget(std::string_view aUpstream);

  /// Zero for a good upstream, one after a single failure just now.
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
