#ifndef CACTUSGW_GATEWAY_GENERATION_MOVER_HPP
#define CACTUSGW_GATEWAY_GENERATION_MOVER_HPP

/// Takes running generations from upstreams that leave to others. Each is
/// copied while it runs; then it stops, what is new is copied, and its call
/// continues it at the target.

#include "cactusgw/gateway/movable_run.hpp"
#include "cactusgw/interfaces/generation_control.hpp"

#include <boost/asio/io_context.hpp>

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
  GenerationMover(net::io_context& aContext,
                  GatewayState& aState,
                  GenerationControl aControl);

  /// A generation began at its upstream.
  void Add(const std::shared_ptr<MovableRun>& aRun);
  /// Moves the generations of an upstream that leaves.
  void OnLeaving(const std::string& aUpstream);
  /// Frees a copy that nobody will continue.
  void Free(const Continuation& aContinuation);

private:
  using Runs = std::vector<std::shared_ptr<MovableRun>>;

  Runs Take(const std::string& aUpstream);
  Task<void> MoveAll(Runs aRuns);
  /// Waits for the peers whose copies from this upstream come first.
  Task<void> WaitForTurn(std::string aUpstream);
  /// Returns false when the run should be tried again a little later.
  Task<bool> Move(const std::shared_ptr<MovableRun>& aRun);
  Task<void> StopAndCopy(const std::shared_ptr<MovableRun>& aRun,
                         const KnownUpstream& aTarget);
  const KnownUpstream* ChooseTarget(const RunIdentity& aRun) const;
  void Log(std::string_view aEvent,
           const RunIdentity& aRun,
           std::string_view aTarget,
           Instant aBegun) const;

  net::io_context& mContext;
  GatewayState& mState;
  GenerationControl mControl;
  std::map<std::string, std::vector<std::weak_ptr<MovableRun>>> mRuns;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GENERATION_MOVER_HPP
