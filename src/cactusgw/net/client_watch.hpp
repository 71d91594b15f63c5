#ifndef CACTUSGW_NET_CLIENT_WATCH_HPP
#define CACTUSGW_NET_CLIENT_WATCH_HPP

/// Reports that the client of a request has closed its connection.

#include "cactusgw/net/http_types.hpp"

#include <functional>
#include <memory>

namespace cactusgw {

/// Owned by what its callback refers to: the callback never runs after the end
/// of this object, even if the close has been noticed before. A client that
/// sends further data first is no longer watched. Not thread-safe; must not
/// outlive the stream.
class ClientWatch
{
public:
  /// Watches nothing.
  ClientWatch() = default;
  /// Calls the function at most once, from the stream's event loop.
  static ClientWatch Start(TcpStream& aStream,
                           std::function<void()> aOnDisconnect);

  ClientWatch(ClientWatch&&) = default;
  ClientWatch& operator=(ClientWatch&& aOther) noexcept;
  ClientWatch(const ClientWatch&) = delete;
  ClientWatch& operator=(const ClientWatch&) = delete;
  ~ClientWatch();

private:
  struct Wait;

  explicit ClientWatch(std::shared_ptr<Wait> aWait);
  void End();

  std::shared_ptr<Wait> mWait;
};

} // namespace cactusgw

#endif // CACTUSGW_NET_CLIENT_WATCH_HPP
