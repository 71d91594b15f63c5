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
  /// Orders to move services to other versions, with their status.
  Rollouts = 5,
  /// Records of the versions that begin streams.
  StreamVersions = 6,
};

inline constexpr std::size_t kStoreCollections = 7;

/// A version for each collection, indexed by StoreCollection.
using StoreVersions = std::array<StoreVersion, kStoreCollections>;

/// Not thread-safe.
class StoreView
{
public:
  /// Called with the changed objects. Also called, possibly without objects,
  /// when a collection is received for the first time.
  using Handler =
    std::function<void(StoreCollection, const std::vector<StoredObject>&)>;
  /// Called when a collection turns out to be restored from a copy, before its
  /// changed objects.
  using RestoreHandler = std::function<void(StoreCollection)>;

  StoreView() = default;

  /// Must be set before the first update.
  void SetHandler(Handler aHandler) { mHandler = std::move(aHandler); }

  void SetRestoreHandler(RestoreHandler aHandler)
  {
    mOnRestored = std::move(aHandler);
  }

  void Apply(StoreCollection aCollection,
             CollectionUpdate aUpdate,
             Instant aNow = {});
  /// Reports differences that were withheld after a restoration.
  void Tick(Instant aNow, bool aIsStoreReachable);

  StoreVersion Version(StoreCollection aCollection) const
  {
    return Mirror(aCollection).Version();
  }
  StoreVersions Versions() const;
  /// The newest era of all collections.
  std::uint64_t Era() const;
  /// Whether the store holds the object, whatever the handler was told.
  bool Holds(StoreCollection aCollection, const std::string& aName) const
  {
    return Mirror(aCollection).Holds(aName);
  }
  std::size_t WithheldCount(StoreCollection aCollection) const
  {
    return Mirror(aCollection).WithheldCount();
  }
  /// Whether any collection has changed since the given versions.
  bool HasChangesSince(const StoreVersions& aKnown) const;
  CollectionUpdate Since(StoreCollection aCollection,
                         StoreVersion aVersion) const;

private:
  const StoreMirror& Mirror(StoreCollection aCollection) const
  {
    return mMirrors[static_cast<std::size_t>(aCollection)];
  }

  /// Versions of a configuration, quarantines, stages of roll-outs and records
  /// of versions tell themselves which of two is newer.
  std::array<StoreMirror, kStoreCollections> mMirrors{
    StoreMirror::Create(RestorePolicy::Report),
    StoreMirror::Create(),
    StoreMirror::Create(),
    StoreMirror::Create(),
    StoreMirror::Create(RestorePolicy::Report),
    StoreMirror::Create(RestorePolicy::Report),
    StoreMirror::Create(RestorePolicy::Report)
  };
  /// Version at which each collection last changed in content.
  StoreVersions mChangedAt{};
  Handler mHandler;
  RestoreHandler mOnRestored;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_VIEW_HPP
