#ifndef CACTUSGW_NET_ADDRESS_HPP
#define CACTUSGW_NET_ADDRESS_HPP

/// Parsing of `IP:port` addresses, and TCP options that detect dead peers.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace cactusgw {

/// Errors: InvalidInput when the text is not an IP address and port.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aAddress);

/// Detects a dead peer early: limits how long sent data may stay
/// unacknowledged (TCP_USER_TIMEOUT) and enables keep-alive probes on idle
/// connections. Also disables Nagle's algorithm.
void SetDeadPeerTimeout(boost::asio::ip::tcp::socket& aSocket,
                        Milliseconds aTimeout);

} // namespace cactusgw

#endif // CACTUSGW_NET_ADDRESS_HPP
