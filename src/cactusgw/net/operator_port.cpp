#include "cactusgw/net/operator_port.hpp"

#include "cactusgw/net/problem.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <openssl/crypto.h>

#include <utility>

namespace cactusgw {

namespace {

HttpResponse
TextResponse(http::status aStatus, std::string_view aType, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type,
               beast::string_view{ aType.data(), aType.size() });
  response.body() = std::move(aBody);
  return response;
}

HttpResponse
HealthResponse(bool aIsGood)
{
  return TextResponse(aIsGood ? http::status::ok
                              : http::status::service_unavailable,
                      "text/plain",
                      aIsGood ? "ok\n" : "not ready\n");
}

} // namespace

bool
IsOperator(const HttpExchange& aExchange, std::string_view aToken)
{
  if (aToken.empty()) {
    return true;
  }
  const std::string expected = "Bearer " + std::string{ aToken };
  const std::string given = aExchange.Header("Authorization");
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

Task<void>
ServeOperatorPage(HttpExchange& aExchange,
                  std::string aToken,
                  OperatorPages aPages)
{
  const std::string path{ aExchange.Path() };
  if (path == "/healthz") {
    co_await aExchange.Reply(HealthResponse(true));
    co_return;
  }
  if (path == "/readyz") {
    co_await aExchange.Reply(HealthResponse(aPages.mReady));
    co_return;
  }
  if (!IsOperator(aExchange, aToken)) {
    co_await SendUnauthorized(aExchange);
    co_return;
  }
  if (path == "/metrics") {
    co_await aExchange.Reply(TextResponse(
      http::status::ok, "text/plain; version=0.0.4", aPages.mMetrics()));
  } else if (path == "/events") {
    co_await aExchange.Reply(
      TextResponse(http::status::ok, "application/x-ndjson", aPages.mEvents()));
  } else if (path == "/status") {
    co_await aExchange.Reply(
      TextResponse(http::status::ok, "application/json", aPages.mStatus()));
  } else {
    const Failure failure = NotRun(FailureCode::NotFound, "unknown page");
    co_await aExchange.Reply(ProblemResponse(failure));
  }
}

Task<void>
SendUnauthorized(HttpExchange& aExchange)
{
  const Failure failure =
    NotRun(FailureCode::Unauthorized, "the operators' token is missing");
  HttpResponse response = ProblemResponse(failure);
  response.set(http::field::www_authenticate, "Bearer");
  co_await aExchange.Reply(std::move(response));
}

Task<void>
SendBadRequest(HttpExchange& aExchange, std::string aDetail)
{
  const Failure failure = NotRun(FailureCode::InvalidInput, std::move(aDetail));
  co_await aExchange.Reply(ProblemResponse(failure));
}

Task<void>
SendJson(HttpExchange& aExchange, const boost::json::value& aBody)
{
  co_await aExchange.Reply(TextResponse(
    http::status::ok, "application/json", boost::json::serialize(aBody)));
}

} // namespace cactusgw
