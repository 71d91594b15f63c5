#ifndef CACTUSGW_GATEWAY_STORE_MIRROR_HPP
#define CACTUSGW_GATEWAY_STORE_MIRROR_HPP

/// A copy of one collection of the store that can also compute the changes
/// since an earlier version, for other gateways.
///
/// A store that was restored from a copy lacks the newest changes until their
/// writers have repeated them, and holds objects that were removed. What was
/// known before therefore stays reported for a while.

#include "cactusgw/core/verdict.hpp"
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

/// What to report of the differences that the first list of a new era shows.
enum class RestorePolicy
{
  /// Nothing for a while, unless a later change of the object arrives.
  Withhold,
  /// Everything: the receiver decides itself what is newer.
  Report,
};

/// Not thread-safe. Time is passed in.
class StoreMirror
{
public:
  /// Number of tombstones kept for removed objects. A gateway at an older
  /// revision gets the whole collection. At ten removals per second this covers
  /// twenty seconds.
  static constexpr std::size_t kMaxTombstones = 200;

  /// How long differences are withheld while the store is reachable. Upstreams
  /// and operators repeat their writes within about two seconds.
  static constexpr Milliseconds kRewriteTime{ 3000 };

  static StoreMirror Create(RestorePolicy aPolicy = RestorePolicy::Withhold)
  {
    return StoreMirror{ aPolicy };
  }

  /// Applies an update. Updates older than the current version are ignored, and
  /// so are changes, other than a full list, of a newer era: what they are
  /// based on is not known here.
  /// @return the objects to report as added, changed or removed
  std::vector<StoredObject> Apply(CollectionUpdate aUpdate, Instant aNow = {});

  /// The objects whose differences were withheld until now. None while the
  /// store is out of reach: what was written again can't be known then.
  std::vector<StoredObject> TakeDue(Instant aNow, bool aIsStoreReachable);

  /// Changes from a version to the current one; from zero, the whole
  /// collection.
  CollectionUpdate Since(StoreVersion aVersion) const;

  bool IsKnown() const { return mVersion != StoreVersion{}; }
  /// Version of the store up to which all changes are applied; zero if unknown.
  StoreVersion Version() const { return mVersion; }
  std::uint64_t Revision() const { return mVersion.mRevision; }
  /// Whether the store holds the object, whatever was reported.
  bool Holds(const std::string& aName) const;
  std::size_t WithheldCount() const { return mWithheld.size(); }

private:
  struct Entry
  {
    std::uint64_t mRevision = 0;
    /// Revision of the update that brought the object.
    std::uint64_t mAppliedAt = 0;
    /// Empty if the object was removed.
    std::optional<std::string> mDocument;
  };

  /// A difference that is not reported yet.
  struct Withheld
  {
    Instant mUntil;
    /// The document that was reported last; empty if none.
    std::optional<std::string> mReported;
  };

  explicit StoreMirror(RestorePolicy aPolicy)
    : mPolicy(aPolicy)
  {
  }
  /// Replaces the content by the first list of a new era.
  std::vector<StoredObject> Restore(CollectionUpdate aUpdate, Instant aNow);
  /// Reports the difference between two states of an object, or withholds it.
  void ReportRestored(const std::string& aName,
                      std::optional<std::string> aReported,
                      Instant aNow,
                      std::vector<StoredObject>& aChanged);
  std::optional<std::string> DocumentOf(const std::string& aName) const;
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
  StoreVersion mVersion;
  RestorePolicy mPolicy;
  std::map<std::string, Withheld> mWithheld;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_MIRROR_HPP
