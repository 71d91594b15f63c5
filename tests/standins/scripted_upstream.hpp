#ifndef CACTUSGW_TESTS_STANDINS_SCRIPTED_UPSTREAM_HPP
#define CACTUSGW_TESTS_STANDINS_SCRIPTED_UPSTREAM_HPP

/// An HTTP server whose answers a test writes byte by byte, so that it can
/// answer wrongly, break off, or say nothing.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cactusgw::test {

/// One request and the connection it came on.
class ScriptedExchange
{
public:
  ScriptedExchange(net::ip::tcp::socket& aSocket,
                   HttpRequest aRequest,
                   std::size_t aIndex);

  const HttpRequest& Request() const { return mRequest; }
  /// Number of earlier requests on the same connection.
  std::size_t Index() const { return mIndex; }
  std::string Header(std::string_view aName) const;

  /// Returns false once the other side has closed the connection.
  Task<bool> Write(std::string aBytes);
  /// A whole answer with a length; header lines end with CRLF each.
  Task<void> Answer(unsigned aStatus, std::string aHeaders, std::string aBody);
  /// The header of an answer in chunks.
  Task<void> BeginChunks(std::string aHeaders);
  Task<void> Chunk(std::string aData);
  Task<void> EndChunks();
  /// Closes the connection; with a reset when asked.
  void Close(bool aReset = false);
  /// Waits until the other side closes.
  Task<void> WaitForClose();

private:
  net::ip::tcp::socket& mSocket;
  HttpRequest mRequest;
  std::size_t mIndex;
};

using Script = std::function<Task<void>(ScriptedExchange&)>;

/// Not thread-safe; lives on one io_context and outlives its connections.
class ScriptedUpstream
{
public:
  /// Listens on a free port of 127.0.0.1.
  ScriptedUpstream(net::io_context& aContext, Script aScript);

  std::string Address() const;
  /// Requests received so far.
  const std::vector<HttpRequest>& Requests() const { return mRequests; }

private:
  Task<void> AcceptLoop();
  Task<void> Serve(net::ip::tcp::socket aSocket);

  net::io_context& mContext;
  net::ip::tcp::acceptor mAcceptor;
  Script mScript;
  std::vector<HttpRequest> mRequests;
};

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_STANDINS_SCRIPTED_UPSTREAM_HPP
