#ifndef CACTUSGW_INTERFACES_PLATFORM_CLIENT_HPP
#define CACTUSGW_INTERFACES_PLATFORM_CLIENT_HPP

/// Interface of clients for the platform's object API; see
/// docs/contracts/platform.md.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw {

struct StoredObject
{
  std::string mKey;
  /// Increases with each write of the object; zero when it does not exist.
  std::uint64_t mVersion = 0;
  std::string mValue;
};

enum class WriteOutcome
{
  Written,
  /// The object has another version than expected; nothing was written.
  Conflict,
  /// No response: the write may have taken effect.
  Unknown,
  /// Provably not written: no connection, or rejected before any effect.
  Unavailable,
};

struct WriteReply
{
  WriteOutcome mOutcome = WriteOutcome::Unavailable;
  std::uint64_t mVersion = 0;
};

/// An object to watch and its last known version.
struct WatchedKey
{
  std::string mKey;
  std::uint64_t mKnownVersion = 0;
};

template<typename Client>
concept PlatformClient = requires(Client& aClient,
                                  std::string aText,
                                  std::uint64_t aVersion,
                                  std::vector<WatchedKey> aKeys,
                                  Milliseconds aTime)
{
  /// Returns the object, with version zero when it does not exist.
  {
    aClient.Get(aText)
    } -> std::same_as<boost::asio::awaitable<Result<StoredObject>>>;
  /// Writes if the object has this version; zero means it must not exist.
  {
    aClient.Put(aText, aVersion, aText)
    } -> std::same_as<boost::asio::awaitable<WriteReply>>;
  {
    aClient.Delete(aText, aVersion)
    } -> std::same_as<boost::asio::awaitable<WriteReply>>;
  /// Waits until the version of an object differs from the known one. Returns
  /// the changed objects, or none on timeout.
  {
    aClient.Watch(aKeys, aTime)
    }
    -> std::same_as<boost::asio::awaitable<Result<std::vector<StoredObject>>>>;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_PLATFORM_CLIENT_HPP
