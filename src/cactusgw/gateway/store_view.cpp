#include "cactusgw/gateway/store_view.hpp"

#include <utility>

namespace cactusgw {

void
StoreView::Apply(StoreCollection aCollection, CollectionUpdate aUpdate)
{
  const std::size_t index = static_cast<std::size_t>(aCollection);
  StoreMirror& mirror = mMirrors[index];
  const bool wasKnown = mirror.IsKnown();
  const std::vector<StoredObject> changed = mirror.Apply(std::move(aUpdate));
  if (changed.empty() && (wasKnown || !mirror.IsKnown())) {
    return;
  }
  mChangedAt[index] = mirror.Revision();
  mHandler(aCollection, changed);
}

StoreRevisions
StoreView::Revisions() const
{
  StoreRevisions revisions{};
  for (std::size_t i = 0; i < kStoreCollections; ++i) {
    revisions[i] = mMirrors[i].Revision();
  }
  return revisions;
}

bool
StoreView::HasChangesSince(const StoreRevisions& aKnown) const
{
  for (std::size_t i = 0; i < kStoreCollections; ++i) {
    if (mChangedAt[i] > aKnown[i]) {
      return true;
    }
  }
  return false;
}

CollectionUpdate
StoreView::Since(StoreCollection aCollection, std::uint64_t aRevision) const
{
  return mMirrors[static_cast<std::size_t>(aCollection)].Since(aRevision);
}

} // namespace cactusgw
