#ifndef CACTUSGW_GATEWAY_MOVABLE_RUN_HPP
#define CACTUSGW_GATEWAY_MOVABLE_RUN_HPP

/// A generation in progress at an upstream, as the call that passes it on and
/// the mover that may take it elsewhere both see it.

#include "cactusgw/gateway/upstream_choice.hpp"
#include "cactusgw/net/http_types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw {

enum class RunState
{
  /// The upstream works on it.
  Running,
  /// It was told to stop; the answer is awaited.
  Stopping,
  /// It has stopped, and can be continued elsewhere.
  Stopped,
  /// Its call passes nothing on from this upstream any more.
  Ended,
};

/// What the run is, fixed when it begins.
struct RunIdentity
{
  std::string mRequestId;
  std::string mService;
  std::vector<std::string> mRegions;
  std::string mUpstream;
  std::string mAddress;
  std::string mDataCentre;
  TokenNeed mNeed;
};

/// Where a stopped run can be continued.
struct Continuation
{
  std::string mUpstream;
  /// Address of the upstream that stopped it.
  std::string mSource;
  std::string mHandle;
};

/// Not thread-safe; shared by one call and the mover.
class MovableRun
{
public:
  MovableRun(const net::any_io_executor& aExecutor, RunIdentity aIdentity)
    : mIdentity(std::move(aIdentity))
    , mChanged(aExecutor)
  {
  }

  const RunIdentity& Identity() const { return mIdentity; }
  RunState State() const { return mState; }
  bool HasBegun() const { return mHasBegun; }
  /// Set once the first event was passed on.
  void OnBegun() { mHasBegun = true; }

  void SetState(RunState aState);
  void SetStopped(Continuation aContinuation);
  /// A copy that lacks the newest tokens. It serves when the upstream ends
  /// before it could be stopped.
  void SetCopy(Continuation aCopy) { mCopy = std::move(aCopy); }
  const std::optional<Continuation>& Copy() const { return mCopy; }
  /// Valid once the run has stopped.
  const Continuation& Next() const { return mNext; }

  /// Waits until it is known whether the run stopped, but not beyond the time.
  Task<void> WaitWhileStopping(Instant aUntil);

private:
  RunIdentity mIdentity;
  net::steady_timer mChanged;
  RunState mState = RunState::Running;
  bool mHasBegun = false;
  Continuation mNext;
  std::optional<Continuation> mCopy;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_MOVABLE_RUN_HPP
