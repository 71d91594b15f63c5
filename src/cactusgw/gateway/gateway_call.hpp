#ifndef CACTUSGW_GATEWAY_GATEWAY_CALL_HPP
#define CACTUSGW_GATEWAY_GATEWAY_CALL_HPP

/// A client request, from its receipt to its final response.

#include "cactusgw/core/attempt_deadline.hpp"
#include "cactusgw/gateway/attempt_watch.hpp"
#include "cactusgw/gateway/call_admission.hpp"
#include "cactusgw/gateway/call_rollout.hpp"
#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/gateway/migratable_generation.hpp"
#include "cactusgw/gateway/response_relay.hpp"
#include "cactusgw/gateway/upstream_selector.hpp"
#include "cactusgw/net/http_server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Not thread-safe; lives as long as its exchange.
class GatewayCall
{
public:
  GatewayCall(GatewayState& aState, HttpExchange& aExchange);
  ~GatewayCall();
  GatewayCall(const GatewayCall&) = delete;
  GatewayCall& operator=(const GatewayCall&) = delete;

  /// Responds to the client, or closes its connection when a response that has
  /// begun can't be completed.
  Task<void> Run();

  /// Gives the request up, as the gateway is about to exit. A response that has
  /// begun goes on.
  void GiveUp();

  /// Takes back the current attempt, if it can be repeated: nothing arrives on
  /// direct connections to upstreams.
  void OnLinksDead();

private:
  Task<void> Forward();
  /// Returns the upstream that the generation of the last attempt was migrated
  /// to, if any, and prepares the request to continue there.
  std::optional<std::string> TakeMigrationTarget();
  Task<Result<void>> SendAndRelay(const KnownUpstream& aUpstream);
  Task<void> TrackGeneration(const UpstreamRecord& aUpstream);
  /// Chooses where the memory of a long generation is replicated.
  void ChooseBackupFor(const UpstreamRecord& aUpstream);
  /// The stream has broken off, and its backup continues it.
  bool CanContinueAtBackup() const;
  /// Continues from what the stop of the source left, as the backup has
  /// refused.
  Task<std::optional<std::string>> TakeStoppedSource(const Failure& aFailure);
  void ReleaseStoppedSource();
  Task<bool> WasGenerationStopped();
  /// Sends the request to an upstream and relays the response. Success means
  /// that the client has received its final response.
  Task<Result<void>> SendTo(const std::string& aUpstream);
  Task<Result<void>> Connect(const UpstreamRecord& aUpstream);
  /// Whether the upstream may have started again as another version since its
  /// registration, which matters to a stream that has begun.
  bool IsStartDoubtful() const;
  /// Asks the upstream that is connected for its start. Errors: NotRun with
  /// UpstreamUnreachable when it is not the one that is registered.
  Task<Result<void>> CheckStart();
  /// Refers to the body of the exchange.
  SharedBodyRequest MakeRequest(const UpstreamRecord& aUpstream) const;
  Task<Result<void>> Exchange(SendClearance aClearance,
                              SharedBodyRequest aRequest,
                              Instant aUntil);
  /// Evaluates the limit that the upstream states in its response.
  void ReadStatedLimit();
  /// Pauses the upstream when it refuses the request for some time.
  void ReadPause();
  /// Refutes a supposed crash of the upstream that has responded.
  void ReadSurvival();
  /// Evaluates whether the upstream states that it is brittle, and whether it
  /// turned the request away.
  void ReadBrittle();
  /// Reports an upstream that states in its response that it is draining.
  void ReadDraining();
  /// Also when the upstream is not registered any more.
  bool IsUpstreamDraining() const;
  void OnEventsRelayed();
  void OnCompleted();

  SendPurpose Purpose() const;
  /// Binds a stream that the client resumes to the version that began it.
  /// Errors: NotRun with UpstreamUnreachable, if the version isn't known.
  Task<Result<void>> BindResumedStream();
  /// The version that began the stream of a request; empty if it isn't known.
  Task<std::optional<std::string>> FindStreamVersion(std::string_view aResumes);
  /// Records the version that began the stream, for its continuations.
  void OnStreamBegun(Instant aNow);
  /// Whether the next send must not happen, as upstreams may crash on this
  /// request. Errors: NotRun with Quarantined.
  Result<void> CheckQuarantine();
  /// Whether the upstream may have crashed before it visibly began to respond.
  bool IsCrashSuspect(const Failure& aFailure, Instant aNow) const;
  /// Whether the upstream itself closed the connection, and not a carrier or
  /// what broke the links of this gateway.
  Task<bool> HasUpstreamClosed();
  /// Records this request as a suspect of a crash.
  void ReportCrash(const KnownUpstream& aUpstream, Instant aNow);
  void OnServed();
  /// Clears the crashes that this request is a suspect of.
  void ClearSuspicion();
  /// Number of crashes that this request is known to be a suspect of.
  std::int64_t KnownCrashes() const;
  void OnAttemptFailed(const Failure& aFailure);
  /// Lets the next attempt use the versions that a roll-out leaves to retries.
  void SetSideOfRetry();
  /// Frees the state of a generation whose continuation was held back.
  void DropContinuation();
  bool TryRetry(const Failure& aFailure);
  /// Gives the current attempt up if it makes way for a retry. Returns when to
  /// ask again.
  std::optional<Instant> CheckAttempt(const AttemptDeadline& aDeadline);
  /// Whether the rules of the route leave the request an attempt beside the one
  /// in progress.
  bool MayRepeat() const;
  /// Load of a retry at the upstream that is held for it.
  UpstreamLoad RetryLoad() const;
  /// Load of the backup at its upstream.
  UpstreamLoad BackupLoad() const;
  /// Releases the upstream that is held for a retry and returns it, if any.
  std::optional<std::string> TakeRetryUpstream();
  Task<void> Refuse(const Failure& aFailure);
  void OnClientDisconnected();
  /// Ends whatever the call is waiting for.
  void Interrupt();
  Milliseconds Elapsed() const;

  GatewayState& mState;
  std::shared_ptr<std::set<GatewayCall*>> mCalls;
  HttpExchange& mExchange;
  Instant mStart;
  std::string mRequestId;
  /// The configuration at the start of the call, used throughout.
  std::shared_ptr<const RoutingTable> mTable;
  UpstreamSelector mSelector;
  AdmittedRequest mAdmitted;
  CallRollout mRollout;
  /// The header of each attempt. The body stays in the exchange.
  HttpRequest mForwarded;

  std::vector<std::string> mTriedUpstreams;
  /// Attempts that may have run.
  std::uint32_t mPossibleRuns = 0;
  std::uint32_t mAttempts = 0;
  bool mMayHaveRun = false;
  std::string mUpstream;
  /// Start of the upstream that got the attempt.
  std::int64_t mStartedMs = 0;
  /// Version of the upstream that got the attempt.
  std::string mUpstreamVersion;
  /// Id of the request that received the first event of the stream.
  std::string mStreamId;
  bool mHasStreamBegun = false;
  std::unique_ptr<UpstreamConnection> mConnection;
  /// The generation at the current upstream, if it can be migrated.
  std::shared_ptr<MigratableGeneration> mGeneration;
  /// Counts the generation as migratable in the load of the upstream.
  UpstreamLoad mGenerationLoad;
  /// Prompt tokens that count as load of the upstream until the first event.
  std::uint64_t mPendingPromptTokens = 0;
  /// Set while a migrated generation is being continued.
  std::optional<Continuation> mContinuation;
  /// Where the memory of the current attempt is replicated.
  std::optional<UpstreamRecord> mBackup;
  /// The generation that a backup continues, until the backup has accepted.
  std::shared_ptr<MigratableGeneration> mStoppedSource;
  bool mHasClientDisconnected = false;
  bool mIsGivenUp = false;
  StreamProgress mProgress;
  /// When the current attempt was sent.
  Instant mSentAt;
  /// Set while the current attempt is the trial of a suspect of crashes.
  std::optional<RequestTrial> mTrial;
  /// When the current attempt relayed its first event.
  std::optional<Instant> mFirstEventAt;
  /// Whether the current attempt counts as served in the evidence of crashes.
  bool mIsServed = false;
  /// Whether the gate held the current attempt back, so that nothing was sent.
  bool mIsHeldBack = false;
  /// Whether the current attempt was given up for a retry, which the retry
  /// budget already counts.
  bool mMakesWay = false;
  /// Whether the current attempt waits on a direct connection.
  bool mIsOnDirectLink = false;
  /// Whether the current attempt failed by the links of this gateway or of its
  /// carrier, which says nothing about the upstream.
  bool mHasLostLink = false;
  /// Upstream at which a place is held for the retry; empty if none.
  std::string mRetryUpstream;
  /// Refers to the call, so that it is the last member and ends first.
  ClientWatch mClientWatch;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_CALL_HPP
