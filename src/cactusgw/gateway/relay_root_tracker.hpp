#ifndef CACTUSGW_GATEWAY_RELAY_ROOT_TRACKER_HPP
#define CACTUSGW_GATEWAY_RELAY_ROOT_TRACKER_HPP

/// Tracks which gateway is the relay root, the top of the tree of gateways, of
/// each other data centre.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/gateway_peer.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class RelayRootTracker
{
public:
  /// How long a gateway that sent a message as the root of its data centre
  /// counts as the root: three times the interval at which unchanged figures
  /// are repeated (LoadExchange::kRepeatInterval).
  static constexpr Milliseconds kValidity{ 3000 };
  /// While the root of a data centre is unknown, its gateways are tried in
  /// order, each for this long.
  static constexpr Milliseconds kProbeTime{ 1000 };

  struct RelayRoot
  {
    std::string mName;
    std::string mDataCentre;
  };

  /// @param aOwn this gateway's data centre, whose gateways are left out
  static RelayRootTracker Create(std::string aOwn);

  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);
  /// Records a message that a gateway sent as the root of its data centre.
  void OnRootMessage(std::string_view aName,
                     std::string_view aDataCentre,
                     Instant aNow);

  /// Whether no root is known of a data centre that comes before the own one by
  /// its name.
  bool IsFirst(Instant aNow) const;

  /// The gateways to send to, one for each other data centre. While a root is
  /// unknown, this is the gateway that is being tried.
  std::vector<RelayRoot> RelayRoots(Instant aNow);

private:
  struct DataCentre
  {
    /// Sorted by descending capacity, then by name.
    std::vector<GatewayPeer> mPeers;
    std::string mRoot;
    Instant mRootHeardAt;
    std::size_t mProbes = 0;
    Instant mProbedAt;
  };

  explicit RelayRootTracker(std::string aOwn)
    : mOwnDataCentre(std::move(aOwn))
  {
  }

  std::string mOwnDataCentre;
  std::map<std::string, DataCentre, std::less<>> mDataCentres;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RELAY_ROOT_TRACKER_HPP
