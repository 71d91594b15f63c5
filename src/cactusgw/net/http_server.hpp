#ifndef CACTUSGW_NET_HTTP_SERVER_HPP
#define CACTUSGW_NET_HTTP_SERVER_HPP

/// An HTTP server with bounds on sizes and times, for callers and operators.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace cactusgw {

struct HttpServerLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint32_t mMaxBodyBytes = 1024 * 1024;
  /// From the first byte of a request to the end of its header.
  Milliseconds mReadHeaderTime{ 10'000 };
  /// Longest time a kept connection may wait for its next request.
  Milliseconds mIdleTime{ 10'000 };
  Milliseconds mReadBodyTime{ 20'000 };
  /// Longest time a write may wait for a caller that does not read.
  Milliseconds mWriteTime{ 30'000 };
};

/// One request and the means to answer it. Valid while the handler runs.
class HttpExchange
{
public:
  /// @param aIsDraining read when an answer is written; outlives the exchange
  HttpExchange(TcpStream& aStream,
               HttpRequest aRequest,
               HttpServerLimits aLimits,
               const bool& aIsDraining);

  const HttpRequest& Request() const { return mRequest; }
  std::string Header(std::string_view aName) const;
  /// The target without its query.
  std::string_view Path() const;

  /// Sends a whole answer. Errors: CallerLeft, Timeout.
  Task<Result<void>> Send(HttpResponse aResponse);

  /// Sends a whole answer to a caller that may have left; nothing can be done
  /// about it then.
  Task<void> Reply(HttpResponse aResponse);

  /// Starts an answer in chunks; Write and Finish follow.
  Task<Result<void>> Begin(HttpResponse aHeader);
  Task<Result<void>> Write(std::string_view aChunk);
  Task<Result<void>> Finish();
  /// Closes the connection so that the answer can't be taken for complete.
  void Abort();

  bool HasBegun() const { return mBegun; }
  bool KeepsAlive() const { return mKeepAlive; }

  /// Calls the function once when the caller closes its connection. The watch
  /// ends with the exchange.
  void WatchClient(std::function<void()> aOnDisconnect);
  void StopWatching();

private:
  Task<Result<void>> WriteResult(const beast::error_code& aError);

  TcpStream& mStream;
  HttpRequest mRequest;
  HttpServerLimits mLimits;
  bool mBegun = false;
  const bool& mIsDraining;
  bool mKeepAlive = true;
  std::shared_ptr<net::cancellation_signal> mWatch;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;
/// Limits are asked for with each request, as they may change.
using HttpLimitsSource = std::function<HttpServerLimits()>;

/// Not thread-safe; lives on one io_context.
class HttpServer
{
public:
  /// Starts to listen. Errors: InvalidInput when the address can't be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(net::io_context& aContext,
                                                    std::string_view aAddress,
                                                    HttpLimitsSource aLimits,
                                                    HttpHandler aHandler);

  /// Goes on serving, but ends each connection with its next answer.
  void Drain() { mDraining = true; }
  /// Stops accepting and closes idle connections. Open exchanges go on.
  void StopAccepting();
  std::size_t OpenExchanges() const { return mOpenExchanges; }
  std::size_t OpenConnections() const { return mOpenConnections; }

private:
  HttpServer(net::io_context& aContext,
             HttpLimitsSource aLimits,
             HttpHandler aHandler);
  Task<void> AcceptLoop();
  Task<void> Serve(net::ip::tcp::socket aSocket);
  Task<bool> ServeOne(TcpStream& aStream, beast::flat_buffer& aBuffer);
  Task<bool> WaitForRequest(TcpStream& aStream,
                            const beast::flat_buffer& aBuffer,
                            Milliseconds aTime);
  Task<void> Refuse(TcpStream& aStream, http::status aStatus);

  net::io_context& mContext;
  net::ip::tcp::acceptor mAcceptor;
  HttpLimitsSource mLimits;
  HttpHandler mHandler;
  bool mDraining = false;
  bool mStopping = false;
  std::set<TcpStream*> mIdle;
  std::size_t mOpenExchanges = 0;
  std::size_t mOpenConnections = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_SERVER_HPP
