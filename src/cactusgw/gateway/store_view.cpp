#include "cactusgw/gateway/store_view.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

void
StoreView::Apply(StoreCollection aCollection,
                 CollectionUpdate aUpdate,
                 Instant aNow)
{
  const std::size_t index = static_cast<std::size_t>(aCollection);
  StoreMirror& mirror = mMirrors[index];
  const bool wasKnown = mirror.IsKnown();
  const std::uint64_t eraBefore = mirror.Version().mEra;
  const std::vector<StoredObject> changed =
    mirror.Apply(std::move(aUpdate), aNow);
  const bool isRestored = wasKnown && mirror.Version().mEra != eraBefore;
  if (isRestored) {
    mChangedAt[index] = mirror.Version();
    if (mOnRestored) {
      mOnRestored(aCollection);
    }
  }
  if (changed.empty() && (wasKnown || !mirror.IsKnown())) {
    return;
  }
  mChangedAt[index] = mirror.Version();
  mHandler(aCollection, changed);
}

void
StoreView::Tick(Instant aNow, bool aIsStoreReachable)
{
  for (std::size_t i = 0; i < kStoreCollections; ++i) {
    const std::vector<StoredObject> due =
      mMirrors[i].TakeDue(aNow, aIsStoreReachable);
    if (!due.empty()) {
      mHandler(static_cast<StoreCollection>(i), due);
    }
  }
}

StoreVersions
StoreView::Versions() const
{
  StoreVersions versions{};
  for (std::size_t i = 0; i < kStoreCollections; ++i) {
    versions[i] = mMirrors[i].Version();
  }
  return versions;
}

std::uint64_t
StoreView::Era() const
{
  std::uint64_t era = 0;
  for (const StoreMirror& mirror : mMirrors) {
    era = std::max(era, mirror.Version().mEra);
  }
  return era;
}

bool
StoreView::HasChangesSince(const StoreVersions& aKnown) const
{
  for (std::size_t i = 0; i < kStoreCollections; ++i) {
    if (mChangedAt[i] > aKnown[i]) {
      return true;
    }
  }
  return false;
}

CollectionUpdate
StoreView::Since(StoreCollection aCollection, StoreVersion aVersion) const
{
  return Mirror(aCollection).Since(aVersion);
}

} // namespace cactusgw
