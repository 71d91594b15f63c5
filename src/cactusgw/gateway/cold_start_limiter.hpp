#ifndef CACTUSGW_GATEWAY_COLD_START_LIMITER_HPP
#define CACTUSGW_GATEWAY_COLD_START_LIMITER_HPP

/// Bounds the requests a second that this gateway sends to a cold upstream.
/// The upstream's bound is divided into fixed shares, so that it holds also
/// while gateways can't hear each other.

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
  /// The bound holds in any second; sends a little apart may arrive together.
  static constexpr Milliseconds kWindow{ 1250 };

  static ColdStartLimiter Create() { return ColdStartLimiter{}; }

  /// Whether one more request may go now.
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
