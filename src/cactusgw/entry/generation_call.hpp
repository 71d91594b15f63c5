#ifndef CACTUSGW_ENTRY_GENERATION_CALL_HPP
#define CACTUSGW_ENTRY_GENERATION_CALL_HPP

/// Carries one generation from an upstream to its caller: admission, retries
/// before the first token, resuming after it, cancelling when the caller
/// leaves.

#include "cactusgw/core/stream_assembler.hpp"
#include "cactusgw/engine/http_engine_client.hpp"
#include "cactusgw/entry/entry_context.hpp"
#include "cactusgw/entry/model_request.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw {

/// Where tokens go. Errors: ClientDisconnected, Timeout.
using TokenSink = std::function<Task<Result<void>>(const AnswerToken&)>;

struct GenerationResult
{
  std::string mFinishReason;
  std::uint64_t mTokens = 0;
};

/// One instance per request; not thread-safe. Shared, since its permit may
/// outlive the caller's request while a cancel is under way.
template<EngineClient Client>
class GenerationCall
  : public std::enable_shared_from_this<GenerationCall<Client>>
{
public:
  /// Upstreams tried before the first token.
  static constexpr int kMaxTries = 3;
  /// Resumes of one generation on new connections.
  static constexpr int kMaxResumes = 3;

  static std::shared_ptr<GenerationCall> Create(EntryContext& aContext,
                                                RequestScope aScope,
                                                ModelRequest aRequest);

  /// Runs the request to its end. A failure after tokens were delivered has
  /// the verdict Ran.
  Task<Result<GenerationResult>> Run(TokenSink aSink);

  /// The caller has left: ends the upstream's work.
  void OnCallerLeft();

private:
  using Stream = typename Client::Stream;

  GenerationCall(EntryContext& aContext,
                 RequestScope aScope,
                 ModelRequest aRequest);

  Task<Result<GenerationResult>> RunOnce(TokenSink& aSink, bool aIsRetry);
  Task<Result<std::unique_ptr<Stream>>> Start(const AdmissionPermit& aPermit);
  Task<Result<GenerationResult>> Forward(TokenSink& aSink);
  Task<Result<void>> Deliver(TokenSink& aSink, const GenerationFrame& aFrame);
  Task<Result<void>> ResumeStream();
  void NoteToken(Instant aNow);
  /// Errors: NotRun with Quarantined.
  Result<void> CheckQuarantine();
  /// Records whether the upstream served the request or may have crashed on it.
  void RecordEvidence(const Result<GenerationResult>& aResult);
  void EndPermit(const Result<GenerationResult>& aResult);
  Task<void> CancelAndRelease(AdmissionPermit aPermit,
                              wire::ReleasePermit aRelease);
  bool MayRetry(const Failure& aFailure) const;
  Failure WithVerdict(Failure aFailure) const;
  EngineTimes Times() const;

  EntryContext& mContext;
  RequestScope mScope;
  ModelRequest mRequest;
  const ServiceConfig* mService = nullptr;
  std::uint32_t mMaxTokens = 0;
  std::uint64_t mPrefixHash = 0;
  Client mClient;
  AdmissionPermit mPermit;
  std::unique_ptr<Stream> mStream;
  StreamAssembler mAssembler;
  std::vector<std::string> mExcluded;
  Instant mStartedAt;
  Instant mLastTokenAt;
  Milliseconds mMaxGap{ 0 };
  std::uint32_t mSlowTokens = 0;
  bool mCallerLeft = false;
};

} // namespace cactusgw

#include "cactusgw/entry/internal/generation_call_impl.hpp"

#endif // CACTUSGW_ENTRY_GENERATION_CALL_HPP
