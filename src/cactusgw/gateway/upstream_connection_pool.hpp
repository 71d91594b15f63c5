#ifndef CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_POOL_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_POOL_HPP

/// Idle connections to upstreams. A connection comes back only when nothing
/// about it is in doubt.

#include "cactusgw/net/http_connection.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class UpstreamConnectionPool
{
public:
  /// Used when an upstream does not say how long it keeps a connection.
  static constexpr Milliseconds kDefaultIdleTimeout{ 2000 };
  /// A connection is not used in this last part of its idle time, in which the
  /// upstream may be closing it.
  static constexpr Milliseconds kCloseMargin{ 500 };
  /// Idle connections kept for one upstream.
  static constexpr std::size_t kMaxIdle = 8;

  static UpstreamConnectionPool Create() { return UpstreamConnectionPool{}; }

  /// An idle connection to the upstream, or null.
  std::unique_ptr<HttpConnection> Acquire(const std::string& aUpstream,
                                          Instant aNow);
  /// Keeps the connection if it is fit for another request.
  void Release(const std::string& aUpstream,
               std::unique_ptr<HttpConnection> aConnection,
               Instant aNow);
  /// Closes all connections to an upstream that is gone.
  void Forget(const std::string& aUpstream);
  /// Closes connections whose idle time is over.
  void CloseExpired(Instant aNow);

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpConnection> mConnection;
    Instant mExpiresAt;
  };

  UpstreamConnectionPool() = default;

  std::map<std::string, std::vector<IdleConnection>> mIdle;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_POOL_HPP
