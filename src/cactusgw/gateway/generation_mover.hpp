#ifndef CACTUSGW_GATEWAY_GENERATION_MOVER_HPP
#define CACTUSGW_GATEWAY_GENERATION_MOVER_HPP

/// Takes running generations from upstreams that leave to others. Each is
/// copied while it runs; then it stops, what is new is copied, and its call
/// continues it at the target.

#include "cactusgw/gateway/drain_notices.hpp"
#include "cactusgw/gateway/movable_run.hpp"
#include "cactusgw/interfaces/generation_control.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw {

class GatewayState;

/// Not thread-safe; lives on one io_context.
class GenerationMover
{
public:
  /// Called when an upstream itself says that it leaves.
  using DrainHandler = std::function<void(const DrainingUpstream&)>;

  GenerationMover(net::io_context& aContext,
                  GatewayState& aState,
                  GenerationControl aControl,
                  DrainHandler aOnLeaving);

  /// A generation began at its upstream.
  void Add(const std::shared_ptr<MovableRun>& aRun);
  /// Moves the generations of an upstream that leaves.
  void OnLeaving(const std::string& aUpstream);
  /// While the store tells nothing, asks upstreams with runs whether they
  /// leave. Never ends.
  Task<void> AskWhileBlind();
  /// Frees a copy that nobody will continue.
  void Free(const Continuation& aContinuation);

private:
  using Runs = std::vector<std::shared_ptr<MovableRun>>;

  Runs Take(const std::string& aUpstream);
  Task<void> MoveAll(Runs aRuns);
  /// Waits for the peers whose copies from this upstream come first.
  Task<void> WaitForTurn(std::string aUpstream, std::string aService);
  /// Returns false when the run should be tried again a little later.
  Task<bool> Move(const std::shared_ptr<MovableRun>& aRun);
  Task<CopyOutcome> StopAndCopy(const std::shared_ptr<MovableRun>& aRun,
                                const KnownUpstream& aTarget);
  /// Time that the copies of peers that come first may take.
  Milliseconds TurnTime(const std::string& aUpstream,
                        const std::string& aService) const;
  void AskAll();
  Task<void> AskUpstream(UpstreamRecord aUpstream);
  const KnownUpstream* ChooseTarget(const RunIdentity& aRun) const;
  void Log(std::string_view aEvent,
           const RunIdentity& aRun,
           std::string_view aTarget,
           std::string_view aOutcome,
           Instant aBegun) const;

  net::io_context& mContext;
  GatewayState& mState;
  GenerationControl mControl;
  DrainHandler mOnDraining;
  std::map<std::string, std::vector<std::weak_ptr<MovableRun>>> mRuns;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GENERATION_MOVER_HPP
