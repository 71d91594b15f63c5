#include "cactusgw/entry/entry.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/core/sha256.hpp"
#include "cactusgw/entry/generation_call.hpp"
#include "cactusgw/entry/key_guard.hpp"
#include "cactusgw/entry/model_answer.hpp"
#include "cactusgw/net/operator_port.hpp"
#include "cactusgw/net/problem.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/programs/event_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cactusgw {

namespace net = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxKeyBytes = 255;
/// Time after which a body that did not fit may fit.
constexpr Milliseconds kMemoryRetryAfter{ 1000 };

HttpServerLimits
ToServerLimits(const LimitsConfig& aLimits)
{
  HttpServerLimits limits;
  limits.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aLimits.mMaxBodyBytes;
  limits.mReadHeaderTime = aLimits.mReadHeaderTime;
  limits.mReadBodyTime = aLimits.mReadBodyTime;
  limits.mWriteTime = aLimits.mCallerStallTime;
  return limits;
}

std::shared_ptr<ByteBudget>
BudgetOf(const EntrySettings& aSettings)
{
  constexpr double kBytesPerMb = 1024.0 * 1024.0;
  return ByteBudget::Create(ByteBudgetSizes::ForProcess(
    static_cast<std::size_t>(aSettings.mMemoryMb * kBytesPerMb)));
}

/// The service's name and the target as the service sees it.
PlainRequest
ToPlainRequest(const HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string target{ request.target() };
  const std::string rest = target.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  PlainRequest plain;
  plain.mService = rest.substr(0, slash);
  plain.mTarget = slash == std::string::npos ? "/" : rest.substr(slash);
  plain.mMethod = request.method();
  plain.mContentType = aExchange.Header("Content-Type");
  plain.mBody = request.body();
  return plain;
}

Failure
UnknownKey()
{
  return NotRun(FailureCode::Unauthorized, "the key is missing or unknown");
}

} // namespace

Entry::Entry(net::io_context& aContext, EntrySettings aSettings)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mMemory(BudgetOf(mSettings))
  , mZmq(1)
  , mRecorder("entry/" + mSettings.mPlace.mVm)
  , mLog("entry")
  , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
{
}

Result<std::unique_ptr<Entry>>
Entry::Start(net::io_context& aContext, EntrySettings aSettings)
{
  std::unique_ptr<Entry> entry{ new Entry{ aContext, std::move(aSettings) } };
  const Result<void> listening = entry->Listen();
  if (!listening) {
    return listening.error();
  }
  return entry;
}

Result<void>
Entry::Listen()
{
  Result<std::unique_ptr<AgentLink>> link =
    AgentLink::Connect(mZmq, mContext, mSettings, mRecorder);
  if (!link) {
    return link.error();
  }
  mLink = std::move(link.value());
  mShared = std::make_unique<EntryContext>(
    EntryContext{ mContext, *mLink, mMetrics, mRecorder });
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    mContext,
    mSettings.mListen,
    [this] { return Limits(); },
    [this](HttpExchange& aExchange) { return HandleCaller(aExchange); },
    { mMemory, [this](const HttpRequest&, const Failure& aFailure) {
       mMetrics.CountRequest();
       ReportRefusal(aFailure);
     } });
  if (!server) {
    return server.error();
  }
  mServer = std::move(server.value());
  Result<std::unique_ptr<HttpServer>> operators = HttpServer::Listen(
    mContext,
    mSettings.mOperator.mListen,
    [] { return HttpServerLimits{}; },
    [this](HttpExchange& aExchange) { return HandleOperator(aExchange); });
  if (!operators) {
    return operators.error();
  }
  mOperator = std::move(operators.value());
  RunEvery(
    mContext,
    [] { return AgentLink::kHelloPause; },
    [this] {
      mLink->SendHello(mStopping);
      return true;
    });
  mLink->SendHello(false);
  mRecorder.Record(EventKind::ProcessStarted, "", mSettings.mPlace.mVm);
  return boost::outcome_v2::success();
}

HttpServerLimits
Entry::Limits() const
{
  const std::shared_ptr<const Deployment> deployment = mLink->Current();
  return deployment ? ToServerLimits(deployment->mLimits) : HttpServerLimits{};
}

Result<RequestScope>
Entry::Recognise(const HttpExchange& aExchange)
{
  constexpr std::string_view kScheme = "Bearer ";
  RequestScope scope;
  scope.mRequestId = NewRequestId();
  scope.mDeployment = mLink->Current();
  if (!scope.mDeployment) {
    return NotRun(FailureCode::Busy, "no configuration has arrived yet");
  }
  const std::string authorization = aExchange.Header("Authorization");
  if (!authorization.starts_with(kScheme)) {
    return UnknownKey();
  }
  const std::string hash =
    Sha256Hex(std::string_view{ authorization }.substr(kScheme.size()));
  const WorkspaceConfig* workspace = scope.mDeployment->FindByKeyHash(hash);
  if (workspace == nullptr) {
    return UnknownKey();
  }
  scope.mWorkspace = workspace->mName;
  scope.mPriority = workspace->mPriority;
  scope.mIdempotencyKey = aExchange.Header("Idempotency-Key");
  if (scope.mIdempotencyKey.size() > kMaxKeyBytes) {
    return NotRun(FailureCode::InvalidInput, "Idempotency-Key is too long");
  }
  return scope;
}

void
Entry::ReportRefusal(const Failure& aFailure)
{
  mMetrics.CountFailure(aFailure);
  mLog.Warn("event=refused verdict=not-run detail=\"" + aFailure.mDetail +
            "\" usedBytes=" + std::to_string(mMemory->Used()) +
            " capacityBytes=" + std::to_string(mMemory->Capacity()));
}

Task<void>
Entry::HandleCaller(HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Path();
  if (path == "/healthz" || path == "/readyz") {
    co_await HandleOperator(aExchange);
    co_return;
  }
  mMetrics.CountRequest();
  const Result<RequestScope> scope = Recognise(aExchange);
  if (!scope) {
    mMetrics.CountFailure(scope.error());
    HttpResponse response =
      scope.error().mCode == FailureCode::Busy
        ? ProblemResponse(scope.error(), http::status::service_unavailable)
        : ProblemResponse(scope.error());
    if (scope.error().mCode == FailureCode::Unauthorized) {
      response.set(http::field::www_authenticate, "Bearer");
    }
    co_await aExchange.Reply(std::move(response));
    co_return;
  }
  mRecorder.Record(EventKind::RequestReceived,
                   scope.value().mRequestId,
                   scope.value().mWorkspace);
  // A body is copied once to be parsed or kept for retries, and once to be
  // sent.
  constexpr std::size_t kCopies = 2;
  ByteReservation copies{ mMemory };
  if (!copies.TryGrowTo(kCopies * aExchange.Request().body().size())) {
    const Failure failure = NotRun(FailureCode::OutOfMemory,
                                   "the memory for requests is used up",
                                   kMemoryRetryAfter);
    ReportRefusal(failure);
    co_await aExchange.Reply(ProblemResponse(failure));
    co_return;
  }
  co_await Route(aExchange, scope.value());
}

Task<void>
Entry::Route(HttpExchange& aExchange, const RequestScope& aScope)
{
  const std::string path{ aExchange.Path() };
  const http::verb method = aExchange.Request().method();
  if (path == "/v1/models" && method == http::verb::get) {
    co_await ServeModels(aExchange, aScope);
  } else if (path == "/v1/chat/completions" && method == http::verb::post) {
    co_await ServeModelCall(aExchange, aScope, ModelApi::ChatCompletions);
  } else if (path == "/v1/completions" && method == http::verb::post) {
    co_await ServeModelCall(aExchange, aScope, ModelApi::Completions);
  } else if (path.starts_with(kServicePrefix)) {
    co_await ServePlain(aExchange, aScope);
  } else {
    const Failure failure = NotRun(FailureCode::NotFound, "unknown path");
    mMetrics.CountFailure(failure);
    co_await aExchange.Reply(ProblemResponse(failure));
  }
}

Task<void>
Entry::ServeModels(HttpExchange& aExchange, const RequestScope& aScope)
{
  json::array models;
  for (const ModelConfig& model : aScope.mDeployment->mModels) {
    models.push_back(json::object{ { "id", model.mName },
                                   { "object", "model" },
                                   { "owned_by", model.mService } });
  }
  const json::object body{ { "object", "list" },
                           { "data", std::move(models) } };
  mMetrics.CountCompleted();
  co_await SendJson(aExchange, body);
}

Task<void>
Entry::ServeModelCall(HttpExchange& aExchange,
                      RequestScope aScope,
                      ModelApi aApi)
{
  const std::string& body = aExchange.Request().body();
  const Result<ModelRequest> request = ParseModelRequest(aApi, body);
  if (!request) {
    mMetrics.CountFailure(request.error());
    co_await aExchange.Reply(ProblemResponse(request.error()));
    co_return;
  }
  ModelAnswer answer{ *mShared, aExchange, aScope, request.value() };
  KeyGuard guard{ *mShared,
                  aScope,
                  StableHash(std::string{ aExchange.Path() } + "\n" + body) };
  KeyDecision decision = co_await guard.Claim();
  if (decision.mAnswer) {
    co_await aExchange.Reply(std::move(*decision.mAnswer));
    co_return;
  }
  const Result<HttpResponse> result = co_await answer.Run();
  if (result) {
    mMetrics.CountCompleted();
    guard.Finish(result.value());
    co_return;
  }
  mMetrics.CountFailure(result.error());
  guard.Fail(result.error());
  mRecorder.Record(EventKind::RequestFailed,
                   aScope.mRequestId,
                   ToString(result.error().mCode));
  mLog.Warn(aScope.mRequestId + " failed as " +
            std::string{ ToString(result.error().mVerdict) } + ": " +
            result.error().mDetail + ".");
}

Task<void>
Entry::ServePlain(HttpExchange& aExchange, RequestScope aScope)
{
  PlainRequest plain = ToPlainRequest(aExchange);
  const ServiceConfig* service =
    aScope.mDeployment->FindService(plain.mService);
  if (service == nullptr || service->mKind != ServiceKind::Plain) {
    const Failure failure = NotRun(
      FailureCode::NotFound, "unknown service \"" + plain.mService + "\"");
    mMetrics.CountFailure(failure);
    co_await aExchange.Reply(ProblemResponse(failure));
    co_return;
  }
  const std::uint64_t fingerprint =
    StableHash(std::string{ http::to_string(plain.mMethod) } + " " +
               plain.mService + plain.mTarget + "\n" + plain.mBody);
  KeyGuard guard{ *mShared, aScope, fingerprint };
  KeyDecision decision = co_await guard.Claim();
  if (decision.mAnswer) {
    co_await aExchange.Reply(std::move(*decision.mAnswer));
    co_return;
  }
  PlainCall call{ *mShared, aScope, std::move(plain) };
  Result<HttpResponse> result = co_await call.Run();
  if (!result) {
    mMetrics.CountFailure(result.error());
    guard.Fail(result.error());
    mRecorder.Record(EventKind::RequestFailed,
                     aScope.mRequestId,
                     ToString(result.error().mCode));
    co_await aExchange.Reply(ProblemResponse(result.error()));
    co_return;
  }
  mMetrics.CountCompleted();
  guard.Finish(result.value());
  mRecorder.Record(EventKind::RequestFinished, aScope.mRequestId, "");
  HttpResponse response = std::move(result.value());
  response.set("Cactusgw-Verdict", std::string{ ToString(Verdict::Ran) });
  co_await aExchange.Reply(std::move(response));
}

bool
Entry::IsReady() const
{
  return !mStopping && mLink->IsConnected() && mLink->Current() &&
         !mLink->IsDrained();
}

Task<void>
Entry::HandleOperator(HttpExchange& aExchange)
{
  OperatorPages pages;
  pages.mReady = IsReady();
  pages.mMetrics = [this] {
    mMetrics.SetOpenRequests(mServer->OpenExchanges());
    mLink->Crashes().Update(SteadyNow());
    mMetrics.SetQuarantines(mLink->Crashes().Quarantines().size());
    return mMetrics.Write();
  };
  pages.mEvents = [this] { return mRecorder.WriteJsonLines(); };
  pages.mStatus = [this] { return WriteStatus(); };
  co_await ServeOperatorPage(aExchange, mSettings.mOperator.mToken, pages);
}

std::string
Entry::WriteStatus() const
{
  return json::serialize(
    json::object{ { "vm", mSettings.mPlace.mVm },
                  { "dataCentre", mSettings.mPlace.mDataCentre },
                  { "ready", IsReady() },
                  { "stopping", mStopping },
                  { "agentConnected", mLink->IsConnected() },
                  { "configRevision", mLink->ConfigRevision() },
                  { "openRequests", mServer->OpenExchanges() },
                  { "permitsInUse", mLink->PermitsInUse() } });
}

void
Entry::Stop(std::function<void()> aOnStopped)
{
  mStopping = true;
  mRecorder.Record(EventKind::ProcessStopping, "", mSettings.mPlace.mVm);
  mLog.Info("The entry stops when its requests have finished.");
  net::co_spawn(
    mContext, FinishInProgress(std::move(aOnStopped)), net::detached);
}

Task<void>
Entry::FinishInProgress(std::function<void()> aOnStopped)
{
  constexpr Milliseconds kPause{ 50 };
  const Instant begun = SteadyNow();
  const Instant deadline = begun + mSettings.mStopTime;
  net::steady_timer timer{ mContext };
  timer.expires_after(mSettings.mUnreadyTime);
  co_await timer.async_wait(net::use_awaitable);
  mServer->StopAccepting();
  while (mServer->OpenExchanges() > 0 || mLink->PermitsInUse() > 0) {
    if (SteadyNow() >= deadline) {
      mLog.Error("The stop time is over with requests in progress.");
      break;
    }
    timer.expires_after(kPause);
    co_await timer.async_wait(net::use_awaitable);
  }
  mLog.Info("The entry has finished its requests.");
  aOnStopped();
}

std::string
Entry::NewRequestId()
{
  ++mNextRequest;
  return "req-" + mSettings.mPlace.mVm + "-" + std::to_string(mIncarnation) +
         "-" + std::to_string(mNextRequest);
}

} // namespace cactusgw
