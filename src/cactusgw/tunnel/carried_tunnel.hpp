#ifndef CACTUSGW_TUNNEL_CARRIED_TUNNEL_HPP
#define CACTUSGW_TUNNEL_CARRIED_TUNNEL_HPP

/// A connection of another gateway to this one, and the connection to the
/// upstream that it is joined with.

#include "cactusgw/net/http_types.hpp"
#include "cactusgw/tunnel/tunnel_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace cactusgw {

/// Not thread-safe. Must outlive its tasks.
class CarriedTunnel
{
public:
  /// Bytes of one direction that this process holds.
  static constexpr std::size_t kCopyBytes = std::size_t{ 16 } * 1024;
  /// Bytes of one direction of one connection that the system holds. What is
  /// sent faster than the other side reads stays at its sender.
  static constexpr int kSocketBytes = 64 * 1024;

  /// Called when it is known how the tunnel ends, before the asker sees it.
  using OnEnd = std::function<void(TunnelEnd)>;

  explicit CarriedTunnel(net::ip::tcp::socket aAsker);
  ~CarriedTunnel();
  CarriedTunnel(const CarriedTunnel&) = delete;
  CarriedTunnel& operator=(const CarriedTunnel&) = delete;

  TcpStream& Asker() { return mAsker; }
  /// Connects to the upstream.
  Task<std::optional<TunnelFailure>> Connect(std::string aAddress);
  /// Copies both ways until the tunnel has ended.
  /// @param aLastBytesTime from the end of the upstream's response to the
  ///   asker's close
  Task<void> Carry(Milliseconds aLastBytesTime, OnEnd aOnEnd);
  /// Closes both connections. Pending operations fail.
  void Close();

private:
  Task<void> CopyRequests(const OnEnd& aOnEnd);
  Task<void> CopyResponses(Milliseconds aLastBytesTime, const OnEnd& aOnEnd);
  void SetResetOnClose(bool aResets);

  TcpStream mAsker;
  TcpStream mUpstream;
  net::steady_timer mLastBytes;
  /// Of a write to the upstream.
  beast::error_code mWriteError;
  bool mIsClosed = false;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_CARRIED_TUNNEL_HPP
