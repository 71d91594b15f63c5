#include "cactusgw/net/address.hpp"

#include "cactusgw/config/object_reader.hpp"

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <string>

namespace cactusgw {

using boost::asio::ip::tcp;

Result<tcp::endpoint>
ParseEndpoint(std::string_view aAddress)
{
  if (!IsAddress(aAddress)) {
    return NotRun(FailureCode::InvalidInput,
                  "not an address: " + std::string{ aAddress });
  }
  const std::size_t colon = aAddress.rfind(':');
  const std::string ip{ aAddress.substr(0, colon) };
  const std::string port{ aAddress.substr(colon + 1) };
  return tcp::endpoint{ boost::asio::ip::make_address(ip),
                        static_cast<std::uint16_t>(std::stoul(port)) };
}

void
SetDeadPeerTimeout(tcp::socket& aSocket, Milliseconds aTimeout)
{
  using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  using IdleTime =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeInterval =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  constexpr int kIdleSeconds = 5;
  constexpr int kProbeSeconds = 2;
  boost::system::error_code ec;
  aSocket.set_option(UserTimeout{ static_cast<int>(aTimeout.count()) }, ec);
  aSocket.set_option(IdleTime{ kIdleSeconds }, ec);
  aSocket.set_option(ProbeInterval{ kProbeSeconds }, ec);
  aSocket.set_option(tcp::socket::keep_alive{ true }, ec);
  aSocket.set_option(tcp::no_delay{ true }, ec);
}

} // namespace cactusgw
