#ifndef CACTUSGW_GATEWAY_TOP_FINDER_HPP
#define CACTUSGW_GATEWAY_TOP_FINDER_HPP

/// Finds out which gateway the others of each data centre follow.

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
class TopFinder
{
public:
  /// Who spoke for its data centre speaks for it for this long: three
  /// repetitions of unchanged figures.
  static constexpr Milliseconds kValidity{ 3000 };
  /// While nobody speaks, its gateways are tried in order, each for this long.
  static constexpr Milliseconds kTryTime{ 1000 };

  struct Top
  {
    std::string mName;
    std::string mDataCentre;
  };

  /// @param aOwn this gateway's data centre, whose gateways are left out
  static TopFinder Create(std::string aOwn);

  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(std::string_view aName);
  /// A gateway speaks for its data centre.
  void OnHeard(std::string_view aName,
               std::string_view aDataCentre,
               Instant aNow);

  /// Whom to tell, one for each other data centre.
  std::vector<Top> Tops(Instant aNow);

private:
  struct DataCentre
  {
    /// Largest first, then by name.
    std::vector<GatewayPeer> mPeers;
    std::string mHeard;
    Instant mHeardAt;
    std::size_t mTried = 0;
    Instant mTriedAt;
  };

  explicit TopFinder(std::string aOwn)
    : mOwn(std::move(aOwn))
  {
  }

  std::string mOwn;
  std::map<std::string, DataCentre, std::less<>> mDataCentres;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_TOP_FINDER_HPP
