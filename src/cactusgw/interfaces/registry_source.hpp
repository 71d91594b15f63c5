#ifndef CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP
#define CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP

/// A collection of objects in the platform's store, as a gateway follows it:
/// a full list first, then the changes since that list.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw {

/// All objects at one revision of the store.
template<typename Value>
struct Listing
{
  std::vector<Value> mValues;
  std::uint64_t mRevision = 0;
};

/// One object's new state; without a value it is gone or can't be read.
template<typename Value>
struct Change
{
  std::string mName;
  std::optional<Value> mValue;
};

template<typename Value>
struct Changes
{
  std::vector<Change<Value>> mChanges;
  /// Where to go on.
  std::uint64_t mRevision = 0;
};

template<typename Source>
concept RegistrySource = requires(Source& aSource,
                                  std::uint64_t aRevision,
                                  Milliseconds aWait)
{
  typename Source::Value;
  /// Errors: StoreUnavailable.
  {
    aSource.List()
    } -> std::same_as<
      boost::asio::awaitable<Result<Listing<typename Source::Value>>>>;
  /// Waits for changes after a revision; none when the time is over. Errors:
  /// StoreUnavailable, HistoryGone.
  {
    aSource.Watch(aRevision, aWait)
    } -> std::same_as<
      boost::asio::awaitable<Result<Changes<typename Source::Value>>>>;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP
