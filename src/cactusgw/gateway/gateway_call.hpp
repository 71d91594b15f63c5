#ifndef CACTUSGW_GATEWAY_GATEWAY_CALL_HPP
#define CACTUSGW_GATEWAY_GATEWAY_CALL_HPP

/// One caller's request, from its reception to its final answer.

#include "cactusgw/gateway/answer_relay.hpp"
#include "cactusgw/gateway/call_admission.hpp"
#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/gateway/migratable_generation.hpp"
#include "cactusgw/gateway/upstream_seeker.hpp"
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

  /// Answers the caller, or closes the connection when the answer can't be
  /// whole any more.
  Task<void> Run();

private:
  Task<void> Forward();
  /// Where the run goes on that the last send began, if it was moved.
  std::optional<std::string> TakeMoved();
  Task<Result<void>> SendAndPassOn(const KnownUpstream& aUpstream);
  Task<void> BeginRun(const UpstreamRecord& aUpstream);
  Task<bool> WasStopped();
  /// Sends the request to one upstream and passes the answer on. Success means
  /// that the caller has its final answer.
  Task<Result<void>> SendTo(const std::string& aUpstream);
  Task<Result<void>> Connect(const UpstreamRecord& aUpstream);
  HttpRequest MakeRequest(const UpstreamRecord& aUpstream) const;
  Task<Result<void>> ReadAnswerHeader(HttpRequest aRequest, Instant aUntil);
  void OnFirstEvent();
  void OnCompleted();

  void OnSendFailed(const Failure& aFailure);
  bool MayTryAgain(const Failure& aFailure);
  Instant AttemptEnd(Instant aNow) const;
  Task<void> Refuse(const Failure& aFailure);
  void OnCallerLeft();
  Milliseconds Elapsed() const;

  GatewayState& mState;
  HttpExchange& mExchange;
  Instant mStart;
  std::string mRequestId;
  /// Keeps the version that the call began with.
  std::shared_ptr<const RoutingTable> mTable;
  UpstreamSeeker mSeeker;
  AdmittedRequest mAdmitted;
  HttpRequest mForwarded;

  std::vector<std::string> mTried;
  /// Sends that may have run.
  std::uint32_t mRuns = 0;
  std::uint32_t mSends = 0;
  bool mMayHaveRun = false;
  std::string mUpstream;
  std::unique_ptr<HttpConnection> mConnection;
  /// The generation at the current upstream, if it can be moved.
  std::shared_ptr<MigratableGeneration> mRun;
  /// What the run adds to the upstream's use, as long as it can be moved.
  UpstreamUse mRunUse;
  /// Prompt tokens counted at the upstream until the first event.
  std::uint64_t mPromptInUse = 0;
  /// Set while a moved generation is being continued.
  std::optional<Continuation> mContinued;
  bool mCallerLeft = false;
  StreamProgress mProgress;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_CALL_HPP
