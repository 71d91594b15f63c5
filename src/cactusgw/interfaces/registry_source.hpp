#ifndef CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP
#define CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP

/// Access to a collection of objects in the platform's store: a full list
/// first, then the changes since that list.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw {

/// A state of the store. When the store is restored from a copy, a new era
/// begins, and revisions that it had given out are given out again.
struct StoreVersion
{
  /// Also converts a revision of a store that states no era.
  constexpr StoreVersion(std::uint64_t aRevision = 0, std::uint64_t aEra = 0)
    : mEra(aEra)
    , mRevision(aRevision)
  {
  }

  /// Zero while the store has stated none.
  std::uint64_t mEra;
  std::uint64_t mRevision;

  constexpr auto operator<=>(const StoreVersion&) const = default;
};

/// An object of the store with its content not yet decoded.
struct StoredObject
{
  std::string mName;
  /// Revision of its last change.
  std::uint64_t mRevision = 0;
  /// Empty if the object was deleted.
  std::optional<std::string> mDocument;
};

/// The changes from one state of a collection to a later one, or a full list.
struct CollectionUpdate
{
  /// Marks a full list: objects that it omits were deleted.
  bool mIsWhole = false;
  /// The update includes all changes up to this revision of the store.
  std::uint64_t mRevision = 0;
  std::vector<StoredObject> mObjects;
  /// The era of the revisions.
  std::uint64_t mEra = 0;

  StoreVersion Version() const { return { mRevision, mEra }; }
};

/// The new state of one object; without a value it was deleted or can't be
/// decoded.
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
  /// Waits for changes after a revision; returns none on timeout. Errors:
  /// StoreUnavailable, HistoryCompacted.
  {
    aSource.Watch(aRevision, aWait)
    } -> std::same_as<boost::asio::awaitable<Result<CollectionUpdate>>>;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_REGISTRY_SOURCE_HPP
