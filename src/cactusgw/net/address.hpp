#ifndef CACTUSGW_NET_ADDRESS_HPP
#define CACTUSGW_NET_ADDRESS_HPP

/// Conversion between `IP:port` texts and endpoints.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace cactusgw {

/// @return InvalidInput when the text is not an IP address and port
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aAddress);

/// Closes a dead peer's connection early: bounds the time that sent data may
/// stay unacknowledged, and turns on probes of idle connections.
void SetDeadPeerTimeout(boost::asio::ip::tcp::socket& aSocket,
                        Milliseconds aTimeout);

} // namespace cactusgw

#endif // CACTUSGW_NET_ADDRESS_HPP
