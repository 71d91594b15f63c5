#ifndef CACTUSGW_TUNNEL_CARRIER_CHOICE_HPP
#define CACTUSGW_TUNNEL_CARRIER_CHOICE_HPP

/// Which gateways to ask for a tunnel, in which order. Near ones come first.
/// Among those that are as near, each gateway has an order of its own, so that
/// many gateways that lose their links at once spread over all that have some.

#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/core/allowed_regions.hpp"
#include "cactusgw/tunnel/tunnel_client.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class CarrierChoice
{
public:
  /// A carrier that refused or didn't respond isn't asked for this long. It
  /// may have lost its links, too, and get them back as soon.
  static constexpr Milliseconds kAvoidTime{ 1000 };
  /// A carrier that failed comes after others for this long, as long as links
  /// of many gateways mostly stay lost.
  static constexpr Milliseconds kDoubtTime{ 10'000 };
  /// Carriers of one data centre that failed, within kDoubtTime, after which
  /// those of all others come first: most of a data centre may be cut off.
  static constexpr std::size_t kMaxRefusals = 2;
  /// Among this many carriers that come first, the one that carries the fewest
  /// tunnels of this gateway is asked first.
  static constexpr std::size_t kSpread = 3;

  static CarrierChoice Create(PlaceSettings aSelf)
  {
    return CarrierChoice{ std::move(aSelf) };
  }

  void SetRegions(const RegionMap& aRegions) { mRegions = aRegions; }
  /// @param aCapacity what the VM can carry against others; positive
  void SetPeer(const Carrier& aCarrier, double aCapacity);
  void RemovePeer(std::string_view aName);

  /// The carriers that may be asked now for a request with these regions.
  /// @param aTried asked in vain for the same connection
  std::vector<Carrier> Order(const AllowedRegions& aRegions,
                             Instant aNow,
                             std::span<const Carrier> aTried = {}) const;
  bool HasCarrier(Instant aNow) const
  {
    return !Order(AllowedRegions::Everywhere(), aNow).empty();
  }

  void OnOpened(std::string_view aName, Instant aNow);
  void OnClosed(std::string_view aName);
  /// The carrier refused or didn't respond.
  void OnFailed(std::string_view aName, Instant aNow);

private:
  struct Peer
  {
    Carrier mCarrier;
    double mCapacity = 1;
    std::uint64_t mRank = 0;
    std::size_t mTunnels = 0;
    std::optional<Instant> mOpenedAt;
    std::optional<Instant> mFailedAt;
  };
  /// Failures of late, by data centre.
  using Failures = std::map<std::string_view, std::size_t>;

  explicit CarrierChoice(PlaceSettings aSelf)
    : mSelf(std::move(aSelf))
  {
  }
  static bool IsWithin(const std::optional<Instant>& aAt,
                       Milliseconds aTime,
                       Instant aNow)
  {
    return aAt && aNow - *aAt < aTime;
  }
  /// How far a carrier is; one in a data centre that fails is the farthest.
  int DistanceTo(std::string_view aDataCentre, const Failures& aFailures) const;
  /// Order among carriers that are as far.
  static int DoubtOf(const Peer& aPeer, bool aOthersFail, Instant aNow);
  std::string_view RegionOf(std::string_view aDataCentre) const;

  PlaceSettings mSelf;
  RegionMap mRegions;
  std::map<std::string, Peer, std::less<>> mPeers;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_CARRIER_CHOICE_HPP
