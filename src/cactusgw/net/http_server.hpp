#ifndef CACTUSGW_NET_HTTP_SERVER_HPP
#define CACTUSGW_NET_HTTP_SERVER_HPP

/// HTTP server with size limits and timeouts, for clients and operators.

#include "cactusgw/core/byte_budget.hpp"
#include "cactusgw/net/client_watch.hpp"
#include "cactusgw/net/http_types.hpp"
#include "cactusgw/telemetry/counted_warning.hpp"

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
  /// Maximum time that a connection may wait for a request.
  Milliseconds mIdleTime{ 10'000 };
  Milliseconds mReadBodyTime{ 20'000 };
  /// Maximum duration of a write to a client that does not read.
  Milliseconds mWriteTime{ 30'000 };
};

/// What a server may hold of all requests together.
struct HttpServerMemory
{
  /// Null: no bound.
  std::shared_ptr<ByteBudget> mBudget;
  /// Called with the header of each request that is refused since the budget is
  /// short. May be empty.
  std::function<void(const HttpRequest&, const Failure&)> mOnRefused;
};

/// A request and its response. Valid while the handler runs. Beginning a second
/// response closes the connection and fails with Internal.
class HttpExchange
{
public:
  /// @param aReservation memory of the request's body
  /// @param aIsDraining read when a response is written; must outlive the
  ///        exchange
  HttpExchange(TcpStream& aStream,
               HttpRequest aRequest,
               ByteReservation aReservation,
               HttpServerLimits aLimits,
               const bool& aIsDraining);

  const HttpRequest& Request() const { return mRequest; }
  std::string Header(std::string_view aName) const;
  /// The request target without its query.
  std::string_view Path() const;

  /// Sends a complete response. Errors: ClientDisconnected, Timeout.
  Task<Result<void>> Send(HttpResponse aResponse);

  /// Sends a complete response and ignores errors: if the client has
  /// disconnected, there is nobody to report them to.
  Task<void> Reply(HttpResponse aResponse);

  /// Sends the header of a chunked response. Write sends its chunks, Finish
  /// ends it.
  Task<Result<void>> Begin(HttpResponse aHeader);
  Task<Result<void>> Write(std::string_view aChunk);
  Task<Result<void>> Finish();
  /// Closes the connection so that the client detects an incomplete response.
  void Abort();

  bool HasBegun() const { return mBegun; }
  bool KeepsAlive() const { return mKeepAlive; }

  /// Calls the function once if the client closes its connection while the
  /// watch exists. The watch must end before the exchange; keep it with what
  /// the function refers to.
  [[nodiscard]] ClientWatch WatchClient(std::function<void()> aOnDisconnect);

private:
  Task<Result<void>> WriteResult(const beast::error_code& aError);

  TcpStream& mStream;
  HttpRequest mRequest;
  ByteReservation mReservation;
  HttpServerLimits mLimits;
  bool mBegun = false;
  const bool& mIsDraining;
  bool mKeepAlive = true;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;
/// Called for each request, as the limits may change at run time.
using HttpLimitsSource = std::function<HttpServerLimits()>;

/// Not thread-safe; runs on a single io_context.
class HttpServer
{
public:
  /// Starts listening. Errors: InvalidInput when the address is malformed or
  /// can't be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(
    net::io_context& aContext,
    std::string_view aAddress,
    HttpLimitsSource aLimits,
    HttpHandler aHandler,
    HttpServerMemory aMemory = {});

  /// Keeps serving requests, but closes each connection after its next
  /// response.
  void Drain() { mDraining = true; }
  /// Stops accepting connections and closes idle ones. Requests in progress
  /// continue, and those that wait in sockets are served.
  void StopAccepting();
  /// Answers requests that are not whole as not run. To be called again while
  /// there are open requests: a read that is just done goes on with the next.
  void RefuseUnread();
  /// Requests of which a part has arrived and that are not answered.
  std::size_t OpenRequests() const { return mOpenRequests; }
  std::size_t OpenExchanges() const { return mOpenExchanges; }
  std::size_t OpenConnections() const { return mOpenConnections; }

private:
  HttpServer(net::io_context& aContext,
             HttpLimitsSource aLimits,
             HttpHandler aHandler,
             HttpServerMemory aMemory);
  Task<void> AcceptLoop();
  Task<void> Serve(net::ip::tcp::socket aSocket);
  Task<bool> ServeOne(TcpStream& aStream, beast::flat_buffer& aBuffer);
  /// Reads, serves and answers a request of which a part has arrived.
  Task<bool> ReadAndServe(TcpStream& aStream,
                          beast::flat_buffer& aBuffer,
                          HttpServerLimits aLimits);
  /// Serves the connections that the kernel has accepted already.
  void AcceptBacklog();
  Task<bool> WaitForRequest(TcpStream& aStream,
                            const beast::flat_buffer& aBuffer,
                            Milliseconds aTime);
  /// Ends an exchange whose handler threw, so that one request can't end the
  /// process.
  static Task<void> FailExchange(HttpExchange& aExchange, std::string aError);
  static Task<void> Refuse(TcpStream& aStream,
                           HttpResponse aResponse,
                           Milliseconds aDiscardTime);
  /// Refuses a request whose body does not fit into the budget.
  Task<void> RefuseForMemory(TcpStream& aStream,
                             const HttpRequest& aHeader,
                             HttpServerLimits aLimits);
  /// Logs a request whose body can't be read.
  void ReportFraming(const HttpRequest& aHeader);

  net::io_context& mContext;
  net::ip::tcp::acceptor mAcceptor;
  HttpLimitsSource mLimits;
  HttpHandler mHandler;
  HttpServerMemory mMemory;
  bool mDraining = false;
  bool mStopping = false;
  std::set<TcpStream*> mIdle;
  /// Connections in the middle of a request.
  std::set<TcpStream*> mReading;
  std::size_t mOpenRequests = 0;
  std::size_t mOpenExchanges = 0;
  std::size_t mOpenConnections = 0;
  CountedWarning mAcceptFailures{ "http" };
  CountedWarning mFramingRefusals{ "http" };
};

} // namespace cactusgw

#endif // CACTUSGW_NET_HTTP_SERVER_HPP
