#ifndef CACTUSGW_NET_COUNTED_BODY_HPP
#define CACTUSGW_NET_COUNTED_BODY_HPP

/// Reads the body of a request within a budget.

#include "cactusgw/core/byte_budget.hpp"
#include "cactusgw/net/http_types.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>

namespace cactusgw {

using RequestParser = http::request_parser<http::string_body>;

/// Reads the body after its header. A stated length is reserved before any byte
/// is read, another body as it arrives. The body is never held twice.
/// @param aLargest the parser's limit of the body, in bytes
/// @param aError net::error::no_memory when the budget is short
Task<std::size_t> ReadCountedBody(TcpStream& aStream,
                                  beast::flat_buffer& aBuffer,
                                  RequestParser& aParser,
                                  std::size_t aLargest,
                                  ByteReservation& aReservation,
                                  beast::error_code& aError);

} // namespace cactusgw

#endif // CACTUSGW_NET_COUNTED_BODY_HPP
