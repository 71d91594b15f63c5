#include "cactusgw/net/counted_body.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <string>

namespace cactusgw {

namespace {

/// Step in which the reservation of a body without a stated length grows.
constexpr std::size_t kStepBytes = std::size_t{ 32 } * 1024;

std::size_t
RoundedUp(std::size_t aBytes)
{
  return (aBytes + kStepBytes - 1) / kStepBytes * kStepBytes;
}

} // namespace

Task<std::size_t>
ReadCountedBody(TcpStream& aStream,
                beast::flat_buffer& aBuffer,
                RequestParser& aParser,
                std::size_t aLargest,
                ByteReservation& aReservation,
                beast::error_code& aError)
{
  if (aParser.content_length()) {
    if (!aReservation.TryGrowTo(*aParser.content_length())) {
      aError = net::error::no_memory;
      co_return 0;
    }
    co_return co_await http::async_read(
      aStream,
      aBuffer,
      aParser,
      net::redirect_error(net::use_awaitable, aError));
  }
  std::string& body = aParser.get().body();
  std::size_t n = 0;
  while (!aError && !aParser.is_done()) {
    n += co_await http::async_read_some(
      aStream,
      aBuffer,
      aParser,
      net::redirect_error(net::use_awaitable, aError));
    if (!aReservation.TryGrowTo(RoundedUp(body.size()))) {
      aError = net::error::no_memory;
    } else if (body.size() > kStepBytes && body.capacity() < aLargest) {
      // Takes address space only: pages that are not written use no memory,
      // whereas a string that grows is copied and held twice.
      body.reserve(aLargest);
    }
  }
  co_return n;
}

} // namespace cactusgw
