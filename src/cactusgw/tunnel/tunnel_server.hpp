#ifndef CACTUSGW_TUNNEL_TUNNEL_SERVER_HPP
#define CACTUSGW_TUNNEL_TUNNEL_SERVER_HPP

/// The carrier's side of tunnels: connects other gateways to upstreams that
/// they can't reach themselves.

#include "cactusgw/core/byte_budget.hpp"
#include "cactusgw/core/send_clearance.hpp"
#include "cactusgw/core/verdict.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// What a carrier knows. All must be set; called on the event loop.
struct TunnelAccess
{
  /// Whether a gateway of this name is registered at this address.
  std::function<bool(std::string_view aVm, const boost::asio::ip::address&)>
    mIsPeer;
  /// The address of this start of an upstream; empty if it isn't known.
  std::function<std::optional<std::string>(std::string_view aId,
                                           std::int64_t aStartedMs)>
    mFindUpstream;
  /// Whether this gateway reaches upstreams itself.
  std::function<bool()> mHasLinks;
};

/// Not thread-safe; lives on one io_context.
class TunnelServer
{
public:
  /// Starts listening. Errors: InvalidInput when the address is malformed or
  /// can't be bound.
  static Result<std::unique_ptr<TunnelServer>> Listen(
    boost::asio::io_context& aContext,
    std::string_view aAddress,
    TunnelAccess aAccess,
    std::shared_ptr<ByteBudget> aMemory);
  ~TunnelServer();

  /// Opens no more tunnels. Those that are open go on.
  void Drain();
  std::size_t OpenTunnels() const;

private:
  class Impl;
  explicit TunnelServer(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> mImpl;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_TUNNEL_SERVER_HPP
