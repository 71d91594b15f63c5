#include "platform_standin.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cactusgw::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjectPrefix = "/v1/objects/";

HttpResponse
JsonResponse(http::status aStatus, const json::value& aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(aBody);
  return response;
}

json::object
ToJson(const StoredObject& aObject)
{
  return { { "key", aObject.mKey },
           { "version", aObject.mVersion },
           { "value", aObject.mValue } };
}

std::string
KeyOf(const HttpExchange& aExchange)
{
  return std::string{ aExchange.Path().substr(kObjectPrefix.size()) };
}

} // namespace

PlatformStandin::PlatformStandin(net::io_context& aContext)
  : mChanged(aContext)
{
  mChanged.expires_at(net::steady_timer::time_point::max());
}

Result<std::unique_ptr<PlatformStandin>>
PlatformStandin::Listen(net::io_context& aContext, std::string_view aAddress)
{
  std::unique_ptr<PlatformStandin> standin{ new PlatformStandin{ aContext } };
  PlatformStandin* self = standin.get();
  HttpServerLimits limits;
  limits.mMaxBodyBytes = 4 * 1024 * 1024;
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    aContext,
    aAddress,
    [limits] { return limits; },
    [self](HttpExchange& aExchange) { return self->Handle(aExchange); });
  if (!server) {
    return server.error();
  }
  standin->mServer = std::move(server.value());
  return standin;
}

Task<void>
PlatformStandin::Handle(HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Path();
  if (path == "/control") {
    co_await HandleControl(aExchange);
    co_return;
  }
  if (path == "/counts") {
    co_await HandleCounts(aExchange);
    co_return;
  }
  if (mFaults.mSlow.count() > 0) {
    net::steady_timer timer{ co_await net::this_coro::executor, mFaults.mSlow };
    co_await timer.async_wait(net::use_awaitable);
  }
  if (mFaults.mDown) {
    aExchange.Abort();
    co_return;
  }
  if (path == "/v1/watch") {
    co_await HandleWatch(aExchange);
  } else if (!path.starts_with(kObjectPrefix)) {
    co_await aExchange.Reply(JsonResponse(http::status::not_found, "unknown"));
  } else if (aExchange.Request().method() == http::verb::get) {
    co_await HandleGet(aExchange);
  } else {
    co_await HandleWrite(aExchange);
  }
}

Task<void>
PlatformStandin::HandleControl(HttpExchange& aExchange)
{
  const json::value body = json::parse(aExchange.Request().body());
  const json::object& faults = body.as_object();
  if (const json::value* down = faults.if_contains("down")) {
    mFaults.mDown = down->as_bool();
    mChanged.cancel();
  }
  if (const json::value* slow = faults.if_contains("slowMs")) {
    mFaults.mSlow = Milliseconds{ slow->as_int64() };
  }
  if (const json::value* lose = faults.if_contains("loseAnswers")) {
    mFaults.mLoseAnswers = lose->as_int64();
  }
  if (const json::value* stall = faults.if_contains("stallWatches")) {
    mFaults.mStallWatches = stall->as_bool();
  }
  co_await aExchange.Reply(JsonResponse(http::status::ok, json::object{}));
}

Task<void>
PlatformStandin::HandleCounts(HttpExchange& aExchange)
{
  const json::object counts{ { "reads", mCalls.mReads },
                             { "writes", mCalls.mWrites },
                             { "watches", mCalls.mWatches } };
  co_await aExchange.Reply(JsonResponse(http::status::ok, counts));
}

Task<void>
PlatformStandin::HandleGet(HttpExchange& aExchange)
{
  ++mCalls.mReads;
  const auto it = mObjects.find(KeyOf(aExchange));
  if (it == mObjects.end()) {
    co_await aExchange.Reply(
      JsonResponse(http::status::not_found, json::object{}));
    co_return;
  }
  co_await aExchange.Reply(JsonResponse(http::status::ok, ToJson(it->second)));
}

bool
PlatformStandin::Apply(HttpExchange& aExchange, StoredObject& aObject)
{
  const std::string expected = aExchange.Header("If-Object-Version");
  const std::string key = KeyOf(aExchange);
  const auto it = mObjects.find(key);
  const std::uint64_t current = it == mObjects.end() ? 0 : it->second.mVersion;
  if (expected.empty() || std::stoull(expected) != current) {
    return false;
  }
  ++mLastVersion;
  aObject = { key, mLastVersion, aExchange.Request().body() };
  if (aExchange.Request().method() == http::verb::delete_) {
    mObjects.erase(key);
  } else {
    mObjects[key] = aObject;
  }
  mChanged.cancel();
  return true;
}

Task<void>
PlatformStandin::HandleWrite(HttpExchange& aExchange)
{
  ++mCalls.mWrites;
  StoredObject object;
  if (!Apply(aExchange, object)) {
    co_await aExchange.Reply(
      JsonResponse(http::status::conflict, json::object{}));
    co_return;
  }
  if (mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    aExchange.Abort();
    co_return;
  }
  HttpResponse response = JsonResponse(http::status::ok, json::object{});
  response.set("Object-Version", std::to_string(object.mVersion));
  co_await aExchange.Reply(std::move(response));
}

std::string
PlatformStandin::ChangedObjects(std::string_view aRequest) const
{
  const json::value body = json::parse({ aRequest.data(), aRequest.size() });
  json::array changed;
  for (const json::value& item : body.as_object().at("objects").as_array()) {
    const std::string key{ item.as_object().at("key").as_string() };
    const std::uint64_t known =
      item.as_object().at("known").to_number<std::uint64_t>();
    const auto it = mObjects.find(key);
    const StoredObject object =
      it == mObjects.end() ? StoredObject{ key, 0, {} } : it->second;
    if (object.mVersion != known) {
      changed.push_back(ToJson(object));
    }
  }
  return json::serialize(changed);
}

Task<void>
PlatformStandin::HandleWatch(HttpExchange& aExchange)
{
  using namespace net::experimental::awaitable_operators;
  ++mCalls.mWatches;
  const std::string request = aExchange.Request().body();
  const json::value body = json::parse(request);
  const Milliseconds timeout{ body.as_object().at("timeoutMs").as_int64() };
  net::steady_timer deadline{ co_await net::this_coro::executor, timeout };
  bool isOver = false;
  std::string changed = "[]";
  while (!isOver) {
    changed = mFaults.mStallWatches ? "[]" : ChangedObjects(request);
    if (changed != "[]" || mFaults.mDown) {
      break;
    }
    boost::system::error_code changeError;
    boost::system::error_code deadlineError;
    const std::variant<std::monostate, std::monostate> first =
      co_await (mChanged.async_wait(
                  net::redirect_error(net::use_awaitable, changeError)) ||
                deadline.async_wait(
                  net::redirect_error(net::use_awaitable, deadlineError)));
    isOver = first.index() == 1;
  }
  if (mFaults.mDown) {
    aExchange.Abort();
    co_return;
  }
  HttpResponse response;
  response.set(http::field::content_type, "application/json");
  response.body() = changed;
  co_await aExchange.Reply(std::move(response));
}

} // namespace cactusgw::standins
