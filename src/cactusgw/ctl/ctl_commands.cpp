#include "cactusgw/ctl/ctl_commands.hpp"

#include "cactusgw/ctl/config_change.hpp"
#include "cactusgw/ctl/document_files.hpp"
#include "cactusgw/ctl/status_screen.hpp"
#include "cactusgw/net/http_client.hpp"
#include "cactusgw/platform/http_platform_client.hpp"
#include "cactusgw/programs/command_line.hpp"
#include "cactusgw/telemetry/recorder.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>
#include <unistd.h>
#include <utility>

namespace cactusgw {

namespace json = boost::json;

namespace {

constexpr HttpCallTimes kCallTimes{ Milliseconds{ 1000 },
                                    Milliseconds{ 8000 },
                                    Milliseconds{ 2000 } };
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 8 } * 1024 * 1024;

int
ExitCodeOf(const Failure& aFailure)
{
  std::fprintf(stderr,
               "%s (%s)\n",
               aFailure.mDetail.c_str(),
               std::string{ ToString(aFailure.mVerdict) }.c_str());
  switch (aFailure.mCode) {
    case FailureCode::Conflict:
      return kExitConflict;
    case FailureCode::StoreUnavailable:
    case FailureCode::UpstreamUnreachable:
      return kExitUnreachable;
    default:
      return kExitFailure;
  }
}

/// Reads the files; prints the faults when there are any.
bool
ReadChecked(const std::string& aDirectory, json::value& aDocument)
{
  ConfigFaults faults;
  aDocument = ReadDocumentFiles(aDirectory, faults);
  std::fprintf(stderr, "%s", ToString(faults).c_str());
  return faults.empty();
}

std::string
MakeNonce()
{
  return std::to_string(WallClockMs()) + "-" + std::to_string(getpid());
}

HttpRequest
OperatorRequest(http::verb aVerb,
                const std::string& aTarget,
                const std::string& aToken)
{
  HttpRequest request{ aVerb, aTarget, 11 };
  request.set(http::field::authorization, "Bearer " + aToken);
  request.keep_alive(false);
  return request;
}

} // namespace

int
ConfigCheck(const std::string& aDirectory)
{
  json::value document;
  if (!ReadChecked(aDirectory, document)) {
    return kExitBadSettings;
  }
  std::printf("%s: ok\n", aDirectory.c_str());
  return kExitOk;
}

Task<int>
ConfigDiff(ToolSettings aSettings, std::string aDirectory)
{
  json::value document;
  if (!ReadChecked(aDirectory, document)) {
    co_return kExitBadSettings;
  }
  HttpPlatformClient client{ aSettings.mPlatform };
  const Result<StoredConfig> stored = co_await ReadStoredConfig(client);
  if (!stored) {
    co_return ExitCodeOf(stored.error());
  }
  const json::value patch = MakePatch(stored.value().mDocument, document);
  std::printf("%s\n", json::serialize(patch).c_str());
  co_return kExitOk;
}

Task<int>
ConfigApply(ToolSettings aSettings, std::string aDirectory, long aExpected)
{
  json::value document;
  if (!ReadChecked(aDirectory, document)) {
    co_return kExitBadSettings;
  }
  HttpPlatformClient client{ aSettings.mPlatform };
  Result<StoredConfig> stored = co_await ReadStoredConfig(client);
  if (!stored) {
    co_return ExitCodeOf(stored.error());
  }
  const std::uint64_t revision = stored.value().mHead.mRevision;
  const bool isStale =
    aExpected >= 0 && revision != static_cast<std::uint64_t>(aExpected);
  const json::value patch = MakePatch(stored.value().mDocument, document);
  if (isStale) {
    std::fprintf(stderr,
                 "revision %llu is in force, not %ld; it differs by %s\n",
                 static_cast<unsigned long long>(revision),
                 aExpected,
                 json::serialize(patch).c_str());
    co_return kExitConflict;
  }
  const bool isSame = revision != 0 && stored.value().mDocument == document;
  if (isSame) {
    std::printf("revision %llu already says this\n",
                static_cast<unsigned long long>(revision));
    co_return kExitOk;
  }
  const std::string nonce = MakeNonce();
  const Result<std::uint64_t> written = co_await WriteConfigChange(
    client, std::move(stored.value()), std::move(document), nonce);
  if (!written) {
    co_return ExitCodeOf(written.error());
  }
  std::printf("revision %llu is accepted\n",
              static_cast<unsigned long long>(written.value()));
  co_return kExitOk;
}

Task<int>
ConfigShow(ToolSettings aSettings, std::string aDataCentre)
{
  HttpPlatformClient client{ aSettings.mPlatform };
  const Result<StoredConfig> stored = co_await ReadStoredConfig(client);
  if (!stored) {
    co_return ExitCodeOf(stored.error());
  }
  const json::value& document = stored.value().mDocument;
  const json::value shown =
    aDataCentre.empty() ? document : EffectiveDocument(document, aDataCentre);
  const json::object output{ { "revision", stored.value().mHead.mRevision },
                             { "document", shown } };
  std::printf("%s\n", json::serialize(output).c_str());
  co_return kExitOk;
}

Task<int>
DrainDataCentre(ToolSettings aSettings, std::string aDataCentre, bool aDrained)
{
  const json::object order{ { "dataCentre", aDataCentre },
                            { "drained", aDrained } };
  for (const std::string& address : aSettings.mOperators) {
    HttpRequest request =
      OperatorRequest(http::verb::post, "/drain", aSettings.mToken);
    request.body() = json::serialize(order);
    const Result<HttpResponse> answer = co_await FetchHttp(
      address, std::move(request), kCallTimes, kMaxAnswerBytes);
    if (answer && answer.value().result() == http::status::ok) {
      std::printf("%s\n", answer.value().body().c_str());
      co_return kExitOk;
    }
    const std::string reason =
      answer ? answer.value().body() : answer.error().mDetail;
    std::fprintf(stderr, "%s: %s\n", address.c_str(), reason.c_str());
  }
  std::fprintf(stderr, "no agent took the order\n");
  co_return kExitUnreachable;
}

Task<int>
ShowStatus(ToolSettings aSettings, bool aAsJson)
{
  std::vector<AgentStatus> statuses;
  for (const std::string& address : aSettings.mOperators) {
    HttpRequest request =
      OperatorRequest(http::verb::get, "/status", aSettings.mToken);
    const Result<HttpResponse> answer = co_await FetchHttp(
      address, std::move(request), kCallTimes, kMaxAnswerBytes);
    const bool isGood = answer && answer.value().result() == http::status::ok;
    statuses.push_back(
      ReadAgentStatus(address, isGood ? answer.value().body() : ""));
  }
  const std::string text =
    aAsJson ? WriteStatusJson(statuses) : WriteStatusScreen(statuses);
  std::printf("%s", text.c_str());
  co_return kExitOk;
}

} // namespace cactusgw
