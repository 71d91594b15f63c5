#ifndef CACTUSGW_NET_HTTP_TYPES_HPP
#define CACTUSGW_NET_HTTP_TYPES_HPP

/// Aliases for the types of Boost.Beast and Boost.Asio.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace cactusgw {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

template<typename T>
using Task = net::awaitable<T>;

/// A TCP stream with timeouts.
using TcpStream = beast::tcp_stream;

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_TYPES_HPP
