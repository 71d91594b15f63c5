#include "cactusgw/platform/http_platform_client.hpp"

#include "cactusgw/net/http_client.hpp"

#include <boost/beast/http/verb.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cactusgw {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr HttpCallTimes kCallTimes{ Milliseconds{ 1000 },
                                    Milliseconds{ 2000 },
                                    Milliseconds{ 2000 } };
/// Added to a watch's own time before the connection is given up.
constexpr Milliseconds kWatchSlack{ 3000 };
constexpr const char* kVersionHeader = "Object-Version";
constexpr const char* kExpectHeader = "If-Object-Version";

HttpRequest
MakeRequest(http::verb aVerb, const std::string& aTarget)
{
  HttpRequest request{ aVerb, aTarget, 11 };
  request.keep_alive(false);
  return request;
}

Result<StoredObject>
ReadObject(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  const json::value* version =
    object == nullptr ? nullptr : object->if_contains("version");
  const json::value* key =
    object == nullptr ? nullptr : object->if_contains("key");
  const json::value* value =
    object == nullptr ? nullptr : object->if_contains("value");
  const bool isWhole = version != nullptr && version->is_number() &&
                       key != nullptr && key->is_string() && value != nullptr &&
                       value->is_string();
  if (!isWhole) {
    return NotRun(FailureCode::StoreUnavailable, "malformed object");
  }
  StoredObject stored;
  stored.mKey = std::string{ key->get_string() };
  stored.mVersion = version->to_number<std::uint64_t>();
  stored.mValue = std::string{ value->get_string() };
  return stored;
}

Failure
Unavailable(std::string_view aDetail)
{
  return NotRun(FailureCode::StoreUnavailable, std::string{ aDetail });
}

} // namespace

HttpPlatformClient::HttpPlatformClient(std::string aAddress)
  : mAddress(std::move(aAddress))
{
}

Task<Result<StoredObject>>
HttpPlatformClient::Get(std::string aKey)
{
  ++mCounts.mReads;
  HttpRequest request = MakeRequest(http::verb::get, "/v1/objects/" + aKey);
  Result<HttpResponse> answer = co_await FetchHttp(
    mAddress, std::move(request), kCallTimes, kMaxAnswerBytes);
  if (!answer) {
    co_return Unavailable(answer.error().mDetail);
  }
  if (answer.value().result() == http::status::not_found) {
    co_return StoredObject{ aKey, 0, {} };
  }
  if (answer.value().result() != http::status::ok) {
    co_return Unavailable("status " +
                          std::to_string(answer.value().result_int()));
  }
  json::error_code ec;
  const json::value value = json::parse(answer.value().body(), ec);
  if (ec) {
    co_return Unavailable("malformed answer");
  }
  co_return ReadObject(value);
}

Task<WriteReply>
HttpPlatformClient::Put(std::string aKey,
                        std::uint64_t aExpectedVersion,
                        std::string aValue)
{
  HttpRequest request = MakeRequest(http::verb::put, "/v1/objects/" + aKey);
  request.set(kExpectHeader, std::to_string(aExpectedVersion));
  request.body() = std::move(aValue);
  co_return co_await Write(std::move(request));
}

Task<WriteReply>
HttpPlatformClient::Delete(std::string aKey, std::uint64_t aExpectedVersion)
{
  HttpRequest request = MakeRequest(http::verb::delete_, "/v1/objects/" + aKey);
  request.set(kExpectHeader, std::to_string(aExpectedVersion));
  co_return co_await Write(std::move(request));
}

Task<WriteReply>
HttpPlatformClient::Write(HttpRequest aRequest)
{
  ++mCounts.mWrites;
  Result<std::unique_ptr<HttpExchangeClient>> opened =
    co_await HttpExchangeClient::Open(
      mAddress, std::move(aRequest), kCallTimes);
  if (!opened) {
    const bool notSent = opened.error().mVerdict == Verdict::NotRun;
    co_return WriteReply{ notSent ? WriteOutcome::Unavailable
                                  : WriteOutcome::Unknown,
                          0 };
  }
  const HttpExchangeClient& client = *opened.value();
  const std::string version = client.Header(kVersionHeader);
  switch (client.Status()) {
    case 200:
      co_return WriteReply{ WriteOutcome::Written,
                            version.empty() ? 0 : std::stoull(version) };
    case 409:
      co_return WriteReply{ WriteOutcome::Conflict, 0 };
    case 503:
      co_return WriteReply{ WriteOutcome::Unavailable, 0 };
    default:
      co_return WriteReply{ WriteOutcome::Unknown, 0 };
  }
}

Task<Result<std::vector<StoredObject>>>
HttpPlatformClient::Watch(std::vector<WatchedKey> aKeys, Milliseconds aTime)
{
  ++mCounts.mWatches;
  json::array keys;
  for (const WatchedKey& key : aKeys) {
    keys.push_back(
      json::object{ { "key", key.mKey }, { "known", key.mKnownVersion } });
  }
  const json::object body{ { "objects", std::move(keys) },
                           { "timeoutMs", aTime.count() } };
  HttpRequest request = MakeRequest(http::verb::post, "/v1/watch");
  request.body() = json::serialize(body);
  HttpCallTimes times = kCallTimes;
  times.mHeader = aTime + kWatchSlack;
  Result<HttpResponse> answer =
    co_await FetchHttp(mAddress, std::move(request), times, kMaxAnswerBytes);
  if (!answer) {
    co_return Unavailable(answer.error().mDetail);
  }
  json::error_code ec;
  const json::value value = json::parse(answer.value().body(), ec);
  if (ec || !value.is_array()) {
    co_return Unavailable("malformed answer to a watch");
  }
  std::vector<StoredObject> changed;
  for (const json::value& item : value.get_array()) {
    Result<StoredObject> object = ReadObject(item);
    if (!object) {
      co_return object.error();
    }
    changed.push_back(std::move(object.value()));
  }
  co_return changed;
}

} // namespace cactusgw
