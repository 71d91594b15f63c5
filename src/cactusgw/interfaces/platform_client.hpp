#ifndef CACTUSGW_INTERFACES_PLATFORM_CLIENT_HPP
#define CACTUSGW_INTERFACES_PLATFORM_CLIENT_HPP

/// What the system asks of the platform's object API. The contract is written
/// down in docs/contracts/platform.md.

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
  /// Rises with each write of the object; zero when it does not exist.
  std::uint64_t mVersion = 0;
  std::string mValue;
};

enum class WriteOutcome
{
  Written,
  /// The object has another version than expected; nothing was written.
  Conflict,
  /// No answer arrived: the write may have taken effect.
  Unknown,
  /// Provably not written: no connection, or refused before any effect.
  Unavailable,
};

struct WriteReply
{
  WriteOutcome mOutcome = WriteOutcome::Unavailable;
  std::uint64_t mVersion = 0;
};

/// An object to wait for, and the version already known.
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
  /// The object, with version zero when it does not exist.
  {
    aClient.Get(aText)
    } -> std::same_as<boost::asio::awaitable<Result<StoredObject>>>;
  /// Writes when the object has this version; zero means it must not exist.
  {
    aClient.Put(aText, aVersion, aText)
    } -> std::same_as<boost::asio::awaitable<WriteReply>>;
  {
    aClient.Delete(aText, aVersion)
    } -> std::same_as<boost::asio::awaitable<WriteReply>>;
  /// Waits until one of the objects has another version than the known one;
  /// returns those that have, or none after the time.
  {
    aClient.Watch(aKeys, aTime)
    }
    -> std::same_as<boost::asio::awaitable<Result<std::vector<StoredObject>>>>;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_PLATFORM_CLIENT_HPP
