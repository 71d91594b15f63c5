#ifndef CACTUSGW_GATEWAY_UPSTREAM_POOL_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_POOL_HPP

/// Idle connections to upstreams. A connection comes back only when nothing
/// about it is in doubt.

#include "cactusgw/net/http_connection.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class UpstreamPool
{
public:
  /// Used when an upstream does not say how long it keeps a connection.
  static constexpr Milliseconds kDefaultIdleTime{ 2000 };
  /// A connection is not used in this last part of its idle time, in which the
  /// upstream may be closing it.
  static constexpr Milliseconds kCloseMargin{ 500 };
  /// Idle connections kept for one upstream.
  static constexpr std::size_t kMaxIdle = 8;

  static UpstreamPool Create() { return UpstreamPool{}; }

  /// An idle connection to the upstream, or null.
  std::unique_ptr<HttpConnection> Take(const std::string& aUpstream,
                                       Instant aNow);
  /// Keeps the connection if it is fit for another request.
  void GiveBack(const std::string& aUpstream,
                std::unique_ptr<HttpConnection> aConnection,
                Instant aNow);
  /// Closes all connections to an upstream that is gone.
  void Forget(const std::string& aUpstream);
  /// Closes connections whose idle time is over.
  void CloseExpired(Instant aNow);

private:
  struct Idle
  {
    std::unique_ptr<HttpConnection> mConnection;
    Instant mUntil;
  };

  UpstreamPool() = default;

  std::map<std::string, std::vector<Idle>> mIdle;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_POOL_HPP
