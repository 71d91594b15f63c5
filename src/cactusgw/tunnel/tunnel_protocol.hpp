#ifndef CACTUSGW_TUNNEL_TUNNEL_PROTOCOL_HPP
#define CACTUSGW_TUNNEL_TUNNEL_PROTOCOL_HPP

/// The messages that open tunnels, and that ask how one ended. Both are
/// HTTP/1.1 requests without a body. An opened tunnel is a stream of bytes
/// after the response 101.

#include "cactusgw/net/http_types.hpp"
#include "cactusgw/tunnel/tunnel_client.hpp"

#include <boost/beast/http/empty_body.hpp>

#include <optional>
#include <string_view>

namespace cactusgw {

enum class TunnelCall
{
  Open,
  AskForEnd,
};

using TunnelHeader = http::request<http::empty_body>;

TunnelHeader MakeTunnelHeader(TunnelCall aCall, const TunnelRequest& aRequest);
/// Empty if the header is of neither call.
std::optional<TunnelCall> CallOf(const TunnelHeader& aHeader);
/// What the header names. The address of the upstream stays empty: a carrier
/// connects only to addresses that it knows itself. Empty if a field is missing
/// or malformed.
std::optional<TunnelRequest> ReadTunnelRequest(const TunnelHeader& aHeader);

http::status StatusOf(TunnelFailure aFailure);
/// The meaning of a response other than 101.
TunnelFailure FailureOf(http::status aStatus);

std::string_view TextOf(TunnelEnd aEnd);
TunnelEnd ReadTunnelEnd(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_TUNNEL_PROTOCOL_HPP
