#ifndef CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_POOL_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_POOL_HPP

/// Pool of idle connections to upstreams. Only connections that are certain to
/// be reusable are returned to it.

#include "cactusgw/gateway/upstream_connection.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Whether a request may use an idle connection.
using ReuseFilter = std::function<bool(const UpstreamConnection&)>;

/// Not thread-safe. Time is passed in.
class UpstreamConnectionPool
{
public:
  /// Used when an upstream announces no idle timeout.
  static constexpr Milliseconds kDefaultIdleTimeout{ 2000 };
  /// Connections are not reused this close to their idle timeout, since the
  /// upstream may be closing them.
  static constexpr Milliseconds kCloseMargin{ 500 };
  /// Maximum number of idle connections per upstream.
  static constexpr std::size_t kMaxIdle = 8;

  static UpstreamConnectionPool Create() { return UpstreamConnectionPool{}; }

  /// Returns an idle connection to this start of the upstream, or null. The
  /// connection has not carried a refusal of the request.
  std::unique_ptr<UpstreamConnection> Acquire(const UpstreamTarget& aTarget,
                                              std::string_view aRequestId,
                                              Instant aNow,
                                              const ReuseFilter& aMayReuse);
  /// Returns a connection to the pool; closes it if it can't be reused or if
  /// the pool holds kMaxIdle connections to the upstream.
  void Release(std::unique_ptr<UpstreamConnection> aConnection, Instant aNow);
  /// Closes all connections to an upstream that was removed or is draining.
  void Forget(const std::string& aUpstream);
  /// Closes the connections that are direct, or those through other gateways.
  void CloseDirect();
  void CloseTunnels();
  /// Closes connections whose idle timeout has expired.
  void CloseExpired(Instant aNow);

private:
  struct IdleConnection
  {
    std::unique_ptr<UpstreamConnection> mConnection;
    Instant mExpiresAt;
  };

  template<typename Predicate>
  void CloseIf(Predicate aPredicate);

  UpstreamConnectionPool() = default;

  std::map<std::string, std::vector<IdleConnection>> mIdle;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_CONNECTION_POOL_HPP
