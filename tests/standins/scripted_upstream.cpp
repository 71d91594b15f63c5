#include "scripted_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <sstream>
#include <utility>

namespace cactusgw::test {

using net::ip::tcp;

ScriptedExchange::ScriptedExchange(tcp::socket& aSocket,
                                   HttpRequest aRequest,
                                   std::size_t aIndex)
  : mSocket(aSocket)
  , mRequest(std::move(aRequest))
  , mIndex(aIndex)
{
}

std::string
ScriptedExchange::Header(std::string_view aName) const
{
  return std::string{ mRequest[{ aName.data(), aName.size() }] };
}

Task<bool>
ScriptedExchange::Write(std::string aBytes)
{
  beast::error_code ec;
  co_await net::async_write(
    mSocket, net::buffer(aBytes), net::redirect_error(net::use_awaitable, ec));
  co_return !ec;
}

Task<void>
ScriptedExchange::Answer(unsigned aStatus,
                         std::string aHeaders,
                         std::string aBody)
{
  std::string bytes = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  bytes += aHeaders;
  bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  bytes += aBody;
  co_await Write(std::move(bytes));
}

Task<void>
ScriptedExchange::BeginChunks(std::string aHeaders)
{
  co_await Write("HTTP/1.1 200 OK\r\n" + aHeaders +
                 "Transfer-Encoding: chunked\r\n\r\n");
}

Task<void>
ScriptedExchange::Chunk(std::string aData)
{
  std::ostringstream size;
  size << std::hex << aData.size();
  co_await Write(size.str() + "\r\n" + aData + "\r\n");
}

Task<void>
ScriptedExchange::EndChunks()
{
  co_await Write("0\r\n\r\n");
}

void
ScriptedExchange::Close(bool aReset)
{
  beast::error_code ec;
  if (aReset) {
    mSocket.set_option(net::socket_base::linger{ true, 0 }, ec);
  }
  mSocket.close(ec);
}

Task<void>
ScriptedExchange::WaitForClose()
{
  beast::error_code ec;
  co_await mSocket.async_wait(tcp::socket::wait_read,
                              net::redirect_error(net::use_awaitable, ec));
}

ScriptedUpstream::ScriptedUpstream(net::io_context& aContext, Script aScript)
  : mContext(aContext)
  , mAcceptor(aContext, tcp::endpoint{ net::ip::address_v4::loopback(), 0 })
  , mScript(std::move(aScript))
{
  net::co_spawn(aContext, AcceptLoop(), net::detached);
}

std::string
ScriptedUpstream::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

Task<void>
ScriptedUpstream::AcceptLoop()
{
  while (true) {
    beast::error_code ec;
    tcp::socket socket = co_await mAcceptor.async_accept(
      net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    net::co_spawn(mContext, Serve(std::move(socket)), net::detached);
  }
}

Task<void>
ScriptedUpstream::Serve(tcp::socket aSocket)
{
  tcp::socket socket = std::move(aSocket);
  beast::flat_buffer buffer;
  for (std::size_t n = 0; socket.is_open(); ++n) {
    HttpRequest request;
    beast::error_code ec;
    co_await http::async_read(
      socket, buffer, request, net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    mRequests.push_back(request);
    ScriptedExchange exchange{ socket, std::move(request), n };
    co_await mScript(exchange);
  }
}

} // namespace cactusgw::test
