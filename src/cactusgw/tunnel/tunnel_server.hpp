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

/// How much a carrier takes upon itself.
struct TunnelLimits
{
  /// Open tunnels, and those that are being opened. Two descriptors each: a
  /// quarter of what the smallest VMs have, 4,100.
  std::size_t mTunnels = 512;
  /// Connections whose header is not read yet. Gateways send it at once, so
  /// that one at a time is usual, and a burst of this size is served.
  std::size_t mUnidentified = 128;
  /// From the first byte of a connection to the end of its header.
  Milliseconds mHeaderTime{ 1000 };
  /// From the end of an upstream's response to the close by the asking gateway,
  /// whose client may read slowly meanwhile. What is sent then still arrives.
  Milliseconds mLastBytesTime{ 30'000 };
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
    std::shared_ptr<ByteBudget> aMemory,
    TunnelLimits aLimits = {});
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
