#ifndef CACTUSGW_GATEWAY_CALL_ROLLOUT_HPP
#define CACTUSGW_GATEWAY_CALL_ROLLOUT_HPP

/// The part of one request in the roll-out of its service.

#include "cactusgw/gateway/gateway_metrics.hpp"
#include "cactusgw/rollout/rollout_control.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Reports the attempts of a request to the evidence of roll-outs. Not
/// thread-safe; lives as long as the call. Time is passed in.
class CallRollout
{
public:
  CallRollout(RolloutControl& aControl, GatewayMetrics& aMetrics)
    : mControl(aControl)
    , mMetrics(aMetrics)
  {
  }

  /// Chooses the side that is to get the first attempt of the request.
  void OnAdmitted(std::string_view aService,
                  std::string_view aRoute,
                  bool aIsConfigFresh);
  /// The side that the next attempt may use; empty if it may use any.
  std::optional<RolloutSide> Side() const { return mSide; }
  /// A further attempt follows, or may follow beside the present one.
  void OnRetry();
  /// Errors: NotRun with UpstreamUnreachable, if the version may not get this
  /// request any more.
  Result<void> Check(std::string_view aVersion) const;
  void OnSent(std::string_view aVersion, Instant aNow);
  /// Some events of a stream were relayed.
  void OnEvents(Instant aNow);
  void OnCompleted(bool aIsServerError, Instant aNow);
  /// The upstream broke off its response, or gave none.
  void OnBroken();

private:
  RolloutControl& mControl;
  GatewayMetrics& mMetrics;
  std::string mService;
  std::string mRoute;
  std::optional<RolloutSide> mSide;
  /// What OnAdmitted chose, until it is used.
  std::optional<RolloutSide> mChosen;
  /// The attempt in progress.
  std::optional<RolloutPlace> mPlace;
  Instant mSentAt;
  std::optional<Instant> mFirstEventAt;
  Instant mLastEventAt;
  int mFurtherEvents = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_CALL_ROLLOUT_HPP
