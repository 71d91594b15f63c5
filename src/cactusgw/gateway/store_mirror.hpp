#ifndef CACTUSGW_GATEWAY_STORE_MIRROR_HPP
#define CACTUSGW_GATEWAY_STORE_MIRROR_HPP

/// A copy of one collection of the store that can also compute the changes
/// since an earlier revision, for other gateways.

#include "cactusgw/interfaces/registry_source.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw {

/// Not thread-safe.
class StoreMirror
{
public:
  /// Number of tombstones kept for removed objects. A gateway at an older
  /// revision gets the whole collection. At ten removals per second this covers
  /// twenty seconds.
  static constexpr std::size_t kMaxTombstones = 200;

  static StoreMirror Create() { return StoreMirror{}; }

  /// Applies an update. Updates older than the current revision are ignored.
  /// @return the objects that were added, changed or removed
  std::vector<StoredObject> Apply(CollectionUpdate aUpdate);

  /// Changes from a revision to the current one; from zero, the whole
  /// collection.
  CollectionUpdate Since(std::uint64_t aRevision) const;

  bool IsKnown() const { return mRevision != 0; }
  /// Store revision up to which all changes are applied; zero if unknown.
  std::uint64_t Revision() const { return mRevision; }

private:
  struct Entry
  {
    std::uint64_t mRevision = 0;
    /// Revision of the update that brought the object.
    std::uint64_t mAppliedAt = 0;
    /// Empty if the object was removed.
    std::optional<std::string> mDocument;
  };

  StoreMirror() = default;
  bool Put(const StoredObject& aObject, std::uint64_t aUpdateRevision);
  std::vector<StoredObject> RemoveUnlisted(const CollectionUpdate& aUpdate);
  void DropOldTombstones();

  std::map<std::string, Entry> mEntries;
  /// Names of removed objects, oldest first, and the revision of the update
  /// that removed them.
  std::deque<std::pair<std::string, std::uint64_t>> mTombstones;
  /// Oldest revision from which changes can be computed: earlier removals are
  /// unknown or their tombstones have been dropped.
  std::uint64_t mOldestDiffRevision = 0;
  std::uint64_t mRevision = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_MIRROR_HPP
