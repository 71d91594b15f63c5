#ifndef CACTUSGW_GATEWAY_MIGRATABLE_GENERATION_HPP
#define CACTUSGW_GATEWAY_MIGRATABLE_GENERATION_HPP

/// State of a generation in progress at an upstream, shared by the call that
/// forwards its events and the migrator that may move it to another upstream.

#include "cactusgw/gateway/send_gate.hpp"
#include "cactusgw/gateway/upstream_choice.hpp"
#include "cactusgw/net/http_types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw {

enum class GenerationState
{
  /// The upstream is generating.
  Running,
  /// A stop was requested; the response is pending.
  Stopping,
  /// The generation has stopped and can be continued elsewhere.
  Stopped,
  /// The call forwards no more events from this upstream.
  Ended,
};

/// Immutable properties of a generation, set when it starts.
struct GenerationIdentity
{
  std::string mRequestId;
  std::string mService;
  RequestOrigin mOrigin;
  std::string mUpstream;
  std::string mAddress;
  std::string mDataCentre;
  TokenNeed mNeed;
};

/// Where a stopped generation can be continued.
struct Continuation
{
  std::string mUpstream;
  /// Address of the upstream that stopped it.
  std::string mSource;
  std::string mHandle;
};

/// Not thread-safe; shared by one call and the migrator.
class MigratableGeneration
{
public:
  MigratableGeneration(const net::any_io_executor& aExecutor,
                       GenerationIdentity aIdentity)
    : mIdentity(std::move(aIdentity))
    , mChanged(aExecutor)
  {
  }

  const GenerationIdentity& Identity() const { return mIdentity; }
  GenerationState State() const { return mState; }
  bool HasBegun() const { return mHasBegun; }
  /// Called when the first event has been forwarded.
  void OnBegun() { mHasBegun = true; }

  void SetState(GenerationState aState);
  void SetStopped(Continuation aContinuation);
  /// A copy that lacks the most recent tokens. The call falls back to it when
  /// the upstream ends before the generation could be stopped.
  void SetCopy(Continuation aCopy) { mCopy = std::move(aCopy); }
  const std::optional<Continuation>& Copy() const { return mCopy; }
  /// Where the generation's memory is replicated as it grows. The replica lacks
  /// the tokens of the last fraction of a second, and all of them if the
  /// upstream had no room.
  void SetBackup(Continuation aBackup) { mBackup = std::move(aBackup); }
  const std::optional<Continuation>& Backup() const { return mBackup; }
  /// Stops the generation so that its backup continues it. The call needn't
  /// wait for the reply.
  void StopForBackup()
  {
    mIsLeftToBackup = true;
    SetState(GenerationState::Stopping);
  }
  /// Whether the call may continue at the backup while the stop is in progress.
  /// A stop for another target doesn't count: the backup may be unusable.
  bool ContinuesAtBackup() const
  {
    return mState == GenerationState::Stopping && mIsLeftToBackup;
  }
  /// Valid once the generation has stopped.
  const Continuation& Next() const { return mNext; }

  /// Waits until the stop request has succeeded or failed, or until the
  /// deadline.
  Task<void> WaitWhileStopping(Instant aUntil);

private:
  GenerationIdentity mIdentity;
  net::steady_timer mChanged;
  GenerationState mState = GenerationState::Running;
  bool mHasBegun = false;
  Continuation mNext;
  std::optional<Continuation> mCopy;
  std::optional<Continuation> mBackup;
  bool mIsLeftToBackup = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_MIGRATABLE_GENERATION_HPP
