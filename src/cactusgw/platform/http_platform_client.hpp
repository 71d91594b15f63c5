#ifndef CACTUSGW_PLATFORM_HTTP_PLATFORM_CLIENT_HPP
#define CACTUSGW_PLATFORM_HTTP_PLATFORM_CLIENT_HPP

/// The platform's object API over HTTP.

#include "cactusgw/interfaces/platform_client.hpp"
#include "cactusgw/net/http_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusgw {

/// Calls made so far, by kind. A waiting watch counts as one.
struct PlatformCallCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
};

/// Not thread-safe; one connection per call.
class HttpPlatformClient
{
public:
  /// @param aAddress the API's `IP:port`
  explicit HttpPlatformClient(std::string aAddress);

  Task<Result<StoredObject>> Get(std::string aKey);
  Task<WriteReply> Put(std::string aKey,
                       std::uint64_t aExpectedVersion,
                       std::string aValue);
  Task<WriteReply> Delete(std::string aKey, std::uint64_t aExpectedVersion);
  Task<Result<std::vector<StoredObject>>> Watch(std::vector<WatchedKey> aKeys,
                                                Milliseconds aTime);

  const PlatformCallCounts& Counts() const { return mCounts; }

private:
  Task<WriteReply> Write(HttpRequest aRequest);

  std::string mAddress;
  PlatformCallCounts mCounts;
};

static_assert(PlatformClient<HttpPlatformClient>);

} // namespace cactusgw

#endif // CACTUSGW_PLATFORM_HTTP_PLATFORM_CLIENT_HPP
