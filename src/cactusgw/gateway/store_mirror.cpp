#include "cactusgw/gateway/store_mirror.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace cactusgw {

std::vector<StoredObject>
StoreMirror::Apply(CollectionUpdate aUpdate, Instant aNow)
{
  std::vector<StoredObject> changed;
  if (aUpdate.Version() < mVersion) {
    return changed;
  }
  if (IsKnown() && aUpdate.mEra != mVersion.mEra) {
    return aUpdate.mIsWhole ? Restore(std::move(aUpdate), aNow) : changed;
  }
  if (aUpdate.mIsWhole) {
    changed = RemoveUnlisted(aUpdate);
    // Earlier removals are not known here.
    mOldestDiffRevision = aUpdate.mRevision;
  }
  for (StoredObject& object : aUpdate.mObjects) {
    if (!Put(object, aUpdate.mRevision)) {
      continue;
    }
    const auto withheld = mWithheld.find(object.mName);
    const bool isReported = withheld != mWithheld.end() &&
                            withheld->second.mReported == object.mDocument;
    if (withheld != mWithheld.end()) {
      mWithheld.erase(withheld);
    }
    if (!isReported) {
      changed.push_back(std::move(object));
    }
  }
  mVersion = aUpdate.Version();
  DropOldTombstones();
  return changed;
}

std::vector<StoredObject>
StoreMirror::Restore(CollectionUpdate aUpdate, Instant aNow)
{
  std::map<std::string, std::optional<std::string>> reported;
  for (auto& [name, entry] : mEntries) {
    reported.emplace(name, std::move(entry.mDocument));
  }
  for (auto& [name, withheld] : mWithheld) {
    reported[name] = std::move(withheld.mReported);
  }
  mWithheld.clear();
  mEntries.clear();
  mTombstones.clear();
  mOldestDiffRevision = aUpdate.mRevision;
  mVersion = aUpdate.Version();
  std::vector<StoredObject> changed;
  for (StoredObject& object : aUpdate.mObjects) {
    Put(object, aUpdate.mRevision);
    if (reported.count(object.mName) == 0) {
      changed.push_back(std::move(object));
    }
  }
  for (auto& [name, document] : reported) {
    ReportRestored(name, std::move(document), aNow, changed);
  }
  return changed;
}

void
StoreMirror::ReportRestored(const std::string& aName,
                            std::optional<std::string> aReported,
                            Instant aNow,
                            std::vector<StoredObject>& aChanged)
{
  std::optional<std::string> document = DocumentOf(aName);
  if (document == aReported) {
    return;
  }
  if (mPolicy == RestorePolicy::Withhold) {
    mWithheld[aName] = { aNow + kRewriteTime, std::move(aReported) };
  } else {
    aChanged.push_back({ aName, mVersion.mRevision, std::move(document) });
  }
}

std::vector<StoredObject>
StoreMirror::TakeDue(Instant aNow, bool aIsStoreReachable)
{
  std::vector<StoredObject> due;
  for (auto it = mWithheld.begin(); it != mWithheld.end();) {
    if (!aIsStoreReachable) {
      it->second.mUntil = aNow + kRewriteTime;
    }
    if (aNow < it->second.mUntil) {
      ++it;
      continue;
    }
    std::optional<std::string> document = DocumentOf(it->first);
    if (document != it->second.mReported) {
      due.push_back({ it->first, mVersion.mRevision, std::move(document) });
    }
    it = mWithheld.erase(it);
  }
  return due;
}

std::optional<std::string>
StoreMirror::DocumentOf(const std::string& aName) const
{
  const auto it = mEntries.find(aName);
  return it == mEntries.end() ? std::nullopt : it->second.mDocument;
}

bool
StoreMirror::Holds(const std::string& aName) const
{
  return DocumentOf(aName).has_value();
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
StoreMirror::Since(StoreVersion aVersion) const
{
  CollectionUpdate update;
  update.mIsWhole = aVersion.mRevision == 0 ||
                    aVersion.mRevision < mOldestDiffRevision ||
                    aVersion.mEra != mVersion.mEra;
  update.mRevision = mVersion.mRevision;
  update.mEra = mVersion.mEra;
  for (const auto& [name, entry] : mEntries) {
    const bool isWanted = update.mIsWhole
                            ? entry.mDocument.has_value()
                            : entry.mAppliedAt > aVersion.mRevision;
    if (isWanted) {
      update.mObjects.push_back({ name, entry.mRevision, entry.mDocument });
    }
  }
  return update;
}

} // namespace cactusgw
