#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/net/http_client.hpp"
#include "cactusgw/programs/command_line.hpp"
#include "cactusgw/timeline/timeline.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdio>
#include <memory>

namespace {

using namespace cactusgw;

constexpr HttpCallTimes kCallTimes{ Milliseconds{ 1000 },
                                    Milliseconds{ 5000 },
                                    Milliseconds{ 5000 } };
constexpr std::size_t kMaxBufferBytes = std::size_t{ 64 } * 1024 * 1024;

/// Adds the buffer of one process; says so when it can't be had.
Task<void>
Collect(std::string aAddress, std::string aToken, Timeline& aTimeline)
{
  HttpRequest request{ http::verb::get, "/events", 11 };
  request.set(http::field::authorization, "Bearer " + aToken);
  request.keep_alive(false);
  const Result<HttpResponse> answer = co_await FetchHttp(
    aAddress, std::move(request), kCallTimes, kMaxBufferBytes);
  if (!answer || answer.value().result() != http::status::ok) {
    std::fprintf(stderr, "%s: no events\n", aAddress.c_str());
    co_return;
  }
  aTimeline.Add(answer.value().body());
}

} // namespace

/// The binary cactusgw-timeline.
int
main(int aArgc, char** aArgv)
{
  std::string path;
  std::string requestId;
  bool asJson = false;
  bool checkOnly = false;
  const std::array<OptionSpec, 4> options{
    OptionSpec{ "settings", "file with the settings", "FILE", &path },
    OptionSpec{ "request", "follow one request", "ID", &requestId },
    OptionSpec{
      "json", "write JSON lines", nullptr, nullptr, nullptr, &asJson },
    OptionSpec{ "check",
                "check the settings and exit",
                nullptr,
                nullptr,
                nullptr,
                &checkOnly }
  };
  std::vector<std::string> rest;
  const std::optional<int> code =
    ParseCommandLine({ "cactusgw-timeline" }, aArgc, aArgv, options, rest);
  if (code) {
    return *code;
  }
  const std::optional<std::string> text = ReadWholeFile(path);
  if (!text) {
    std::fprintf(stderr, "cactusgw-timeline: needs --settings FILE\n");
    return path.empty() ? kExitUsage : kExitBadSettings;
  }
  const SettingsResult<ToolSettings> settings = ReadToolSettings(*text, path);
  if (!settings) {
    std::fprintf(stderr, "%s", ToString(settings.error()).c_str());
    return kExitBadSettings;
  }
  if (checkOnly) {
    std::printf("%s: ok\n", path.c_str());
    return kExitOk;
  }
  boost::asio::io_context context{ 1 };
  Timeline timeline;
  for (const std::string& address : settings.value().mOperators) {
    boost::asio::co_spawn(context,
                          Collect(address, settings.value().mToken, timeline),
                          boost::asio::detached);
  }
  context.run();
  if (!requestId.empty()) {
    timeline.KeepRequest(requestId);
  }
  const std::string output =
    asJson ? timeline.WriteJsonLines() : timeline.WriteText();
  std::fwrite(output.data(), 1, output.size(), stdout);
  return kExitOk;
}
