#ifndef CACTUSGW_GATEWAY_STORE_VIEW_HPP
#define CACTUSGW_GATEWAY_STORE_VIEW_HPP

/// The store's content as known to this gateway, whether it read the store
/// itself or received the content from another gateway.

#include "cactusgw/gateway/store_mirror.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace cactusgw {

/// The collections that gateways watch. The values are sent between gateways
/// and must not change.
enum class StoreCollection : std::uint8_t
{
  /// The configuration, a single object.
  Configuration = 0,
  Upstreams = 1,
  DrainedDataCentres = 2,
  Gateways = 3,
  /// Quarantines of prompt parts.
  Quarantines = 4,
};

inline constexpr std::size_t kStoreCollections = 5;

/// A revision for each collection, indexed by StoreCollection.
using StoreRevisions = std::array<std::uint64_t, kStoreCollections>;

/// Not thread-safe.
class StoreView
{
public:
  /// Called with the changed objects. Also called, possibly without objects,
  /// when a collection is received for the first time.
  using Handler =
    std::function<void(StoreCollection, const std::vector<StoredObject>&)>;

  StoreView() = default;

  /// Must be set before the first update.
  void SetHandler(Handler aHandler) { mHandler = std::move(aHandler); }

  void Apply(StoreCollection aCollection, CollectionUpdate aUpdate);

  std::uint64_t Revision(StoreCollection aCollection) const
  {
    return mMirrors[static_cast<std::size_t>(aCollection)].Revision();
  }
  StoreRevisions Revisions() const;
  /// Whether any collection has changed since the given revisions.
  bool HasChangesSince(const StoreRevisions& aKnown) const;
  CollectionUpdate Since(StoreCollection aCollection,
                         std::uint64_t aRevision) const;

private:
  std::array<StoreMirror, kStoreCollections> mMirrors{ StoreMirror::Create(),
                                                       StoreMirror::Create(),
                                                       StoreMirror::Create(),
                                                       StoreMirror::Create(),
                                                       StoreMirror::Create() };
  /// Revision at which each collection last changed in content.
  StoreRevisions mChangedAt{};
  Handler mHandler;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_VIEW_HPP
