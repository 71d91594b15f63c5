#include "cactusgw/gateway/store_mirror.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace cactusgw {

std::vector<StoredObject>
StoreMirror::Apply(CollectionUpdate aUpdate)
{
  std::vector<StoredObject> changed;
  if (aUpdate.mRevision < mRevision) {
    return changed;
  }
  if (aUpdate.mIsWhole) {
    changed = RemoveUnlisted(aUpdate);
    // Earlier removals are not known here.
    mOldestDiffRevision = aUpdate.mRevision;
  }
  for (StoredObject& object : aUpdate.mObjects) {
    if (Put(object, aUpdate.mRevision)) {
      changed.push_back(std::move(object));
    }
  }
  mRevision = aUpdate.mRevision;
  DropOldTombstones();
  return changed;
}

std::vector<StoredObject>
StoreMirror::RemoveUnlisted(const CollectionUpdate& aUpdate)
{
  std::set<std::string_view> present;
  for (const StoredObject& object : aUpdate.mObjects) {
    present.insert(object.mName);
  }
  std::vector<StoredObject> removed;
  for (const auto& [name, entry] : mEntries) {
    if (entry.mDocument && present.count(name) == 0) {
      removed.push_back({ name, entry.mRevision, std::nullopt });
    }
  }
  for (const StoredObject& object : removed) {
    Put(object, aUpdate.mRevision);
  }
  return removed;
}

bool
StoreMirror::Put(const StoredObject& aObject, std::uint64_t aUpdateRevision)
{
  const auto it = mEntries.find(aObject.mName);
  const bool isKnown = it != mEntries.end() && it->second.mDocument;
  if (!aObject.mDocument) {
    // Keep a tombstone even if the object is unknown here: another gateway may
    // hold an object that was added and removed between two updates.
    mTombstones.emplace_back(aObject.mName, aUpdateRevision);
  } else if (isKnown && aObject.mRevision <= it->second.mRevision) {
    // A list may contain newer versions than the changes received after it.
    return false;
  }
  mEntries[aObject.mName] =
    Entry{ aObject.mRevision, aUpdateRevision, aObject.mDocument };
  return isKnown || aObject.mDocument;
}

void
StoreMirror::DropOldTombstones()
{
  while (mTombstones.size() > kMaxTombstones) {
    const auto& [name, updateRevision] = mTombstones.front();
    const auto it = mEntries.find(name);
    if (it != mEntries.end() && !it->second.mDocument &&
        it->second.mAppliedAt == updateRevision) {
      mEntries.erase(it);
    }
    mOldestDiffRevision = std::max(mOldestDiffRevision, updateRevision);
    mTombstones.pop_front();
  }
}

CollectionUpdate
StoreMirror::Since(std::uint64_t aRevision) const
{
  CollectionUpdate update;
  update.mIsWhole = aRevision == 0 || aRevision < mOldestDiffRevision;
  update.mRevision = mRevision;
  for (const auto& [name, entry] : mEntries) {
    const bool isWanted = update.mIsWhole ? entry.mDocument.has_value()
                                          : entry.mAppliedAt > aRevision;
    if (isWanted) {
      update.mObjects.push_back({ name, entry.mRevision, entry.mDocument });
    }
  }
  return update;
}

} // namespace cactusgw
