#include "cactusgw/engine/http_engine_client.hpp"

#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <utility>

namespace cactusgw {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{ 64 } * 1024;
/// Response header with which an engine declares that it rejected a request
/// before starting it.
constexpr const char* kNotStartedHeader = "Engine-Not-Started";
constexpr HttpCallTimes kControlTimes{ Milliseconds{ 500 },
                                       Milliseconds{ 1000 },
                                       Milliseconds{ 1000 } };

std::string
TextOf(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  const bool isText = value != nullptr && value->is_string();
  return isText ? std::string{ value->get_string() } : std::string{};
}

std::uint64_t
NumberOf(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  const bool isCount =
    value != nullptr && value->is_int64() && value->get_int64() >= 0;
  return isCount ? static_cast<std::uint64_t>(value->get_int64()) : 0;
}

Result<GenerationFrame>
ParseFrame(std::string_view aData)
{
  json::error_code ec;
  const json::value value = json::parse({ aData.data(), aData.size() }, ec);
  if (ec || !value.is_object()) {
    return MayHaveRun(FailureCode::UpstreamBroke, "malformed event");
  }
  const json::object& object = value.get_object();
  const json::value* done = object.if_contains("done");
  GenerationFrame frame;
  frame.mGeneration = TextOf(object, "generation");
  frame.mOffset = NumberOf(object, "offset");
  frame.mText = TextOf(object, "text");
  frame.mIsEnd = done != nullptr && done->is_bool() && done->get_bool();
  frame.mFinishReason = TextOf(object, "finish");
  if (frame.mGeneration.empty()) {
    return MayHaveRun(FailureCode::UpstreamBroke, "event of no generation");
  }
  return frame;
}

Failure
FailureFromStatus(const HttpExchangeClient& aClient)
{
  const std::string detail = "status " + std::to_string(aClient.Status());
  if (aClient.Header(kNotStartedHeader) == "true") {
    return NotRun(FailureCode::UpstreamRefused, detail);
  }
  return MayHaveRun(FailureCode::UpstreamBroke, detail);
}

} // namespace

HttpGenerationStream::HttpGenerationStream(
  std::unique_ptr<HttpExchangeClient> aClient)
  : mClient(std::move(aClient))
{
}

Task<Result<GenerationFrame>>
HttpGenerationStream::Next()
{
  while (true) {
    const std::optional<std::string> event = mReader.Next();
    if (event) {
      co_return ParseFrame(*event);
    }
    const Result<std::string> bytes = co_await mClient->ReadSome();
    if (!bytes) {
      co_return bytes.error();
    }
    if (bytes.value().empty()) {
      co_return MayHaveRun(FailureCode::UpstreamBroke,
                           "the stream ended without its end event");
    }
    if (!mReader.Feed(bytes.value())) {
      co_return MayHaveRun(FailureCode::UpstreamBroke, "event too long");
    }
  }
}

void
HttpGenerationStream::Close()
{
  mClient->Close();
}

Task<Result<std::unique_ptr<HttpGenerationStream>>>
HttpEngineClient::Start(CheckedAddress aAddress,
                        GenerationRequest aRequest,
                        EngineTimes aTimes)
{
  json::object body;
  body["request"] = aRequest.mRequestId;
  body["model"] = aRequest.mModel;
  body["prompt"] = aRequest.mPrompt;
  body["maxTokens"] = aRequest.mMaxTokens;
  body["priority"] = aRequest.mPriority;
  HttpRequest request{ http::verb::post, "/generate", 11 };
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(body);
  co_return co_await OpenStream(
    std::move(aAddress), std::move(request), aTimes);
}

Task<Result<std::unique_ptr<HttpGenerationStream>>>
HttpEngineClient::Resume(CheckedAddress aAddress,
                         std::string aGeneration,
                         std::uint64_t aOffset,
                         EngineTimes aTimes)
{
  const std::string target =
    "/generations/" + aGeneration + "?offset=" + std::to_string(aOffset);
  HttpRequest request{ http::verb::get, target, 11 };
  co_return co_await OpenStream(
    std::move(aAddress), std::move(request), aTimes);
}

Task<Result<std::unique_ptr<HttpGenerationStream>>>
HttpEngineClient::OpenStream(CheckedAddress aAddress,
                             HttpRequest aRequest,
                             EngineTimes aTimes)
{
  const HttpCallTimes times{ aTimes.mConnect,
                             aTimes.mFirstByte,
                             aTimes.mSilence };
  Result<std::unique_ptr<HttpExchangeClient>> opened =
    co_await HttpExchangeClient::Open(
      std::move(aAddress), std::move(aRequest), times);
  if (!opened) {
    co_return opened.error();
  }
  if (opened.value()->Status() != 200) {
    co_return FailureFromStatus(*opened.value());
  }
  co_return std::make_unique<HttpGenerationStream>(std::move(opened.value()));
}

Task<Result<void>>
HttpEngineClient::Cancel(std::string aAddress, std::string aRequestId)
{
  HttpRequest request{ http::verb::post,
                       "/requests/" + aRequestId + "/cancel",
                       11 };
  const Result<HttpResponse> response = co_await FetchHttp(
    aAddress, std::move(request), kControlTimes, kMaxResponseBytes);
  if (!response) {
    co_return response.error();
  }
  if (response.value().result() != http::status::ok) {
    co_return MayHaveRun(FailureCode::UpstreamRefused, "cancel refused");
  }
  co_return boost::outcome_v2::success();
}

Task<Result<EngineLoad>>
HttpEngineClient::Load(std::string aAddress)
{
  HttpRequest request{ http::verb::get, "/load", 11 };
  const Result<HttpResponse> response = co_await FetchHttp(
    aAddress, std::move(request), kControlTimes, kMaxResponseBytes);
  if (!response) {
    co_return response.error();
  }
  json::error_code ec;
  const json::value value = json::parse(response.value().body(), ec);
  if (ec || !value.is_object()) {
    co_return MayHaveRun(FailureCode::UpstreamBroke, "malformed load report");
  }
  const json::object& object = value.get_object();
  EngineLoad load;
  load.mIncarnation = TextOf(object, "incarnation");
  load.mRunning = static_cast<std::uint32_t>(NumberOf(object, "running"));
  load.mWaiting = static_cast<std::uint32_t>(NumberOf(object, "waiting"));
  load.mMemoryTokens = NumberOf(object, "memoryTokens");
  load.mMemoryLimitTokens = NumberOf(object, "memoryLimitTokens");
  load.mPreemptions = NumberOf(object, "preemptions");
  load.mOverloads = NumberOf(object, "overloads");
  load.mAge = Milliseconds{ NumberOf(object, "ageMs") };
  co_return load;
}

} // namespace cactusgw
