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

/// An object as the store holds it, its content still encoded.
struct StoredObject
{
  std::string mName;
  /// Revision of its last change.
  std::uint64_t mRevision = 0;
  /// Nothing: the object is gone.
  std::optional<std::string> mDocument;
};

/// Leads from one state of a collection to a later one.
struct CollectionUpdate
{
  /// Objects that are not named are gone.
  bool mIsWhole = false;
  /// All changes up to this revision of the store are contained then.
  std::uint64_t mRevision = 0;
  std::vector<StoredObject> mObjects;
};

/// One object's new state; without a value it is gone or can't be read.
template<typename Value>
struct Change
{
  std::string mName;
  std::optional<Value> mValue;
};

template<typename Source>
concept RegistrySource = requires(Source& aSource,
                                  std::uint64_t aRevision,
                                  Milliseconds aWait)
{
  /// Errors: StoreUnavailable.
  {
    aSource.List()
    } -> std::same_as<boost::asio::awaitable<Result<CollectionUpdate>>>;
  /// Waits for changes after a revision; none when the time is over. Errors:
  /// StoreUnavailable, HistoryCompacted.
  {
    aSource.Watch(aRevision, aWait)
    } -> std::same_as<boost::asio::awaitable<Result<CollectionUpdate>>>;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP
