#ifndef CACTUSGW_TUNNEL_TUNNEL_ENDS_HPP
#define CACTUSGW_TUNNEL_TUNNEL_ENDS_HPP

/// How the tunnels ended that a gateway carried, for those that ask.

#include "cactusgw/tunnel/tunnel_client.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class TunnelEnds
{
public:
  /// The question comes at once.
  static constexpr Milliseconds kMemoryTime{ 10'000 };
  /// Twice the tunnels that a gateway carries at once.
  static constexpr std::size_t kMaxEnds = 1024;

  static TunnelEnds Create() { return TunnelEnds{}; }

  void Remember(const TunnelRequest& aRequest, TunnelEnd aEnd, Instant aNow);
  TunnelEnd EndOf(const TunnelRequest& aRequest, Instant aNow) const;

private:
  struct Ended
  {
    std::string mFrom;
    std::string mToken;
    TunnelEnd mEnd = TunnelEnd::Unknown;
    Instant mAt;
  };

  TunnelEnds() = default;

  /// In the order of their ends.
  std::deque<Ended> mEnds;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_TUNNEL_ENDS_HPP
