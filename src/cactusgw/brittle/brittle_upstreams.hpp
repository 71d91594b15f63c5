#ifndef CACTUSGW_BRITTLE_BRITTLE_UPSTREAMS_HPP
#define CACTUSGW_BRITTLE_BRITTLE_UPSTREAMS_HPP

/// Services whose upstreams state that they are brittle: an upstream that has
/// to turn away too many requests within a second falls over. Each gateway has
/// whole slots of each such upstream as its own, so that all together send no
/// more than fits, also while they can't reach each other. What others leave
/// unused, one gateway at a time may use.

#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Place of this gateway among all, by rank.
struct FleetPlace
{
  std::uint32_t mGateways = 1;
  std::uint32_t mRank = 0;

  bool operator==(const FleetPlace&) const = default;
};

/// Requests in progress at an upstream.
struct SlotUse
{
  std::uint32_t mSlots = 1;
  std::uint32_t mOwn = 0;
  /// Of all gateways, as far as they have told.
  std::uint32_t mAll = 0;
};

/// A time by both clocks. Turns of gateways follow the wall clock.
struct TurnTime
{
  Instant mNow;
  std::int64_t mWallMs = 0;
};

/// Not thread-safe. Time is passed in.
class BrittleUpstreams
{
public:
  /// The time over which an upstream counts the requests that it turns away.
  static constexpr Milliseconds kCountedTime{ 1000 };
  /// Length of a turn: in any kCountedTime at most two gateways use slots of
  /// others.
  static constexpr Milliseconds kTurn = kCountedTime;
  /// The last part of a turn, in which its gateway begins nothing: the others
  /// are told of the requests of the turn before the next one begins.
  static constexpr Milliseconds kTurnPause{ 250 };
  /// Time after a change of the gateways in which the shares before and after
  /// it both bind: gateways hear of it at different times, and a gateway that
  /// starts knows no others at first. They list each other within a second or
  /// two.
  static constexpr Milliseconds kSettleTime{ 3000 };
  /// Age from which a statement no longer counts. Requests go on, so that
  /// upstreams in need restate it long before.
  static constexpr Milliseconds kMaxAge{ 60'000 };

  /// @param aPlace assumed until the other gateways are known
  static BrittleUpstreams Create(const FleetPlace& aPlace, Instant aNow);

  void SetPlace(const FleetPlace& aPlace, Instant aNow);

  /// Handles a response of an upstream of the service.
  /// @param aBearable requests that an upstream may turn away within a second,
  ///   as the response states, if it does
  /// @param aSentAt when its request was sent. A response without a statement
  ///   may have been made before one that has it.
  /// @return whether what the service states has changed
  bool OnResponse(std::string_view aService,
                  std::optional<std::uint32_t> aBearable,
                  Instant aSentAt,
                  Instant aNow);
  /// Handles a request that the upstream refused without running it.
  void OnTurnedAway(const UpstreamStart& aUpstream, Instant aNow);

  bool IsBrittle(std::string_view aService) const
  {
    return mServices.contains(aService);
  }
  /// Whether this start of an upstream turned requests of this gateway away
  /// within kCountedTime.
  bool HasTurnedAway(const UpstreamStart& aUpstream, Instant aNow) const;
  /// Whether a request may be sent to the upstream; always for services that
  /// are not brittle.
  bool MayTake(std::string_view aService,
               const UpstreamStart& aUpstream,
               const SlotUse& aUse,
               const TurnTime& aTime) const;

  /// Drops old statements and refusals.
  void Expire(Instant aNow);

private:
  struct Statement
  {
    std::uint32_t mBearable = 0;
    Instant mAt;
  };

  BrittleUpstreams(const FleetPlace& aPlace, Instant aNow);

  /// Slots that are this gateway's own.
  std::uint32_t Share(std::string_view aUpstream,
                      std::uint32_t aSlots,
                      Instant aNow) const;
  bool IsTurn(std::string_view aUpstream, std::int64_t aWallMs) const;

  FleetPlace mPlace;
  FleetPlace mPlaceBefore;
  Instant mPlacedAt;
  std::map<std::string, Statement, std::less<>> mServices;
  std::map<UpstreamStart, Instant> mTurnedAway;
};

} // namespace cactusgw

#endif // CACTUSGW_BRITTLE_BRITTLE_UPSTREAMS_HPP
