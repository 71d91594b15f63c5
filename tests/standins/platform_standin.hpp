#ifndef CACTUSGW_TESTS_STANDINS_PLATFORM_STANDIN_HPP
#define CACTUSGW_TESTS_STANDINS_PLATFORM_STANDIN_HPP

/// A stand-in for the platform's object API, with switches for its faults.

#include "cactusgw/interfaces/platform_client.hpp"
#include "cactusgw/net/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactusgw::standins {

/// Faults in force, as set through `POST /control`.
struct PlatformFaults
{
  /// Connections are closed without an answer, and nothing takes effect.
  bool mDown = false;
  /// Each call waits this long first.
  Milliseconds mSlow{ 0 };
  /// So many of the next writes take effect without being answered.
  std::int64_t mLoseAnswers = 0;
  /// Watches report nothing until they time out.
  bool mStallWatches = false;
};

struct PlatformCalls
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
};

class PlatformStandin
{
public:
  static Result<std::unique_ptr<PlatformStandin>> Listen(
    net::io_context& aContext,
    std::string_view aAddress);

  PlatformFaults& Faults() { return mFaults; }
  const PlatformCalls& Calls() const { return mCalls; }

private:
  explicit PlatformStandin(net::io_context& aContext);
  Task<void> Handle(HttpExchange& aExchange);
  Task<void> HandleControl(HttpExchange& aExchange);
  Task<void> HandleCounts(HttpExchange& aExchange);
  Task<void> HandleGet(HttpExchange& aExchange);
  Task<void> HandleWrite(HttpExchange& aExchange);
  Task<void> HandleWatch(HttpExchange& aExchange);
  std::string ChangedObjects(std::string_view aRequest) const;
  bool Apply(HttpExchange& aExchange, StoredObject& aObject);

  net::steady_timer mChanged;
  std::unique_ptr<HttpServer> mServer;
  std::map<std::string, StoredObject, std::less<>> mObjects;
  std::uint64_t mLastVersion = 0;
  PlatformFaults mFaults;
  PlatformCalls mCalls;
};

} // namespace cactusgw::standins

#endif // CACTUSGW_TESTS_STANDINS_PLATFORM_STANDIN_HPP
