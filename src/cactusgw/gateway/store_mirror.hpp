#ifndef CACTUSGW_GATEWAY_STORE_MIRROR_HPP
#define CACTUSGW_GATEWAY_STORE_MIRROR_HPP

/// A copy of one collection of the store, from which other gateways can be
/// told what changed since the state that they know.

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
  /// Removed objects that are remembered. Who knows an older state is told the
  /// whole collection; at ten removals a second this covers twenty seconds.
  static constexpr std::size_t kKeptRemovals = 200;

  static StoreMirror Create() { return StoreMirror{}; }

  /// Takes an update. Older states than the present one change nothing.
  /// @return the objects that are new, changed or gone
  std::vector<StoredObject> Apply(CollectionUpdate aUpdate);

  /// The way from a state to the present one; from zero, the whole collection.
  CollectionUpdate Since(std::uint64_t aRevision) const;

  bool IsKnown() const { return mRevision != 0; }
  /// All changes up to this revision of the store are contained.
  std::uint64_t Revision() const { return mRevision; }

private:
  struct Entry
  {
    std::uint64_t mRevision = 0;
    /// State of the collection with which the object came.
    std::uint64_t mSince = 0;
    std::optional<std::string> mDocument;
  };

  StoreMirror() = default;
  bool Put(const StoredObject& aObject, std::uint64_t aSince);
  std::vector<StoredObject> RemoveAllBut(const CollectionUpdate& aUpdate);
  void ForgetOldRemovals();

  std::map<std::string, Entry> mEntries;
  /// Removals, oldest first, and the state with which they came.
  std::deque<std::pair<std::string, std::uint64_t>> mRemovals;
  /// States before this one lack removals that are forgotten.
  std::uint64_t mFloor = 0;
  std::uint64_t mRevision = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_MIRROR_HPP
