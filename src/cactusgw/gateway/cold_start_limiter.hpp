#ifndef CACTUSGW_GATEWAY_COLD_START_LIMITER_HPP
#define CACTUSGW_GATEWAY_COLD_START_LIMITER_HPP

/// Rate limiter for requests to cold upstreams. The limit of an upstream is
/// divided into fixed shares, one for each gateway, so that it also holds while
/// gateways can't communicate with each other.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class ColdStartLimiter
{
public:
  /// The limit applies to any second at the upstream. The window is longer,
  /// since requests that are sent up to 250 ms apart may arrive together.
  static constexpr Milliseconds kWindow{ 1250 };

  static ColdStartLimiter Create() { return ColdStartLimiter{}; }

  /// Whether another request may be sent now.
  /// @param aShare requests per window that this gateway may send
  bool Allows(std::string_view aUpstream,
              std::uint32_t aShare,
              Instant aNow) const;
  void OnSent(std::string_view aUpstream, Instant aNow);
  void Forget(std::string_view aUpstream);

private:
  ColdStartLimiter() = default;

  std::map<std::string, std::deque<Instant>, std::less<>> mSent;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_COLD_START_LIMITER_HPP
