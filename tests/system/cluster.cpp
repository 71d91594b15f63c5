#include "cluster.hpp"

#include "cactusgw/core/sha256.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace cactusgw::testing_support {

namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

constexpr const char* kToken = "operator-token";
constexpr Milliseconds kPollPause{ 20 };
/// No bound on speed: only how long a test waits before it gives up.
constexpr std::chrono::seconds kPatience{ 60 };
constexpr HttpCallTimes kCallTimes{ Milliseconds{ 2000 },
                                    Milliseconds{ 60'000 },
                                    Milliseconds{ 60'000 } };
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 16 } * 1024 * 1024;

/// Ports below the range that the system hands out by itself, so that no
/// connection takes one between two starts of a process.
std::string
FreeAddress()
{
  constexpr unsigned kFirstPort = 20'000;
  constexpr unsigned kPorts = 10'000;
  static unsigned sNext = static_cast<unsigned>(getpid()) * 61U;
  boost::asio::io_context context;
  while (true) {
    const unsigned port = kFirstPort + sNext++ % kPorts;
    boost::system::error_code ec;
    boost::asio::ip::tcp::acceptor acceptor{ context };
    const boost::asio::ip::tcp::endpoint endpoint{
      boost::asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(port)
    };
    acceptor.open(endpoint.protocol(), ec);
    acceptor.bind(endpoint, ec);
    if (!ec) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

void
WriteFile(const std::string& aPath, const json::value& aContent)
{
  std::ofstream{ aPath } << json::serialize(aContent) << "\n";
}

/// Runs a coroutine to its end on a loop of its own.
template<typename T>
T
RunTask(Task<T> aTask)
{
  boost::asio::io_context context{ 1 };
  std::optional<T> result;
  boost::asio::co_spawn(
    context, std::move(aTask), [&](const std::exception_ptr& aError, T aValue) {
      if (!aError) {
        result.emplace(std::move(aValue));
      }
    });
  context.run();
  return std::move(*result);
}

Task<Answer>
FetchAnswer(std::string aAddress, HttpRequest aRequest)
{
  Result<std::unique_ptr<HttpExchangeClient>> opened =
    co_await HttpExchangeClient::Open(
      aAddress, std::move(aRequest), kCallTimes);
  Answer answer;
  if (!opened) {
    co_return answer;
  }
  HttpExchangeClient& client = *opened.value();
  answer.mStatus = client.Status();
  answer.mVerdict = client.Header("Cactusgw-Verdict");
  answer.mRetryAfter = client.Header("Retry-After");
  Result<std::string> body = co_await client.ReadAll(kMaxAnswerBytes);
  if (body) {
    answer.mBody = body.value();
  }
  co_return answer;
}

} // namespace

Cluster::Cluster()
  : mPlatform(FreeAddress())
{
  std::string pattern = fs::temp_directory_path() / "cactusgw-test.XXXXXX";
  mDirectory = mkdtemp(pattern.data());
}

Cluster::~Cluster()
{
  for (const auto& [name, pid] : mProcesses) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  if (std::getenv("CACTUSGW_KEEP_LOGS") == nullptr) {
    fs::remove_all(mDirectory);
  }
}

EnginePorts&
Cluster::AddEngine(const std::string& aName, const std::string& aDataCentre)
{
  EnginePorts& engine = mEngines[aName];
  engine.mDataCentre = aDataCentre;
  engine.mAddress = FreeAddress();
  engine.mConfigured = engine.mAddress;
  return engine;
}

VmPorts&
Cluster::AddVm(const std::string& aName, const std::string& aDataCentre)
{
  VmPorts& vm = mVms[aName];
  vm.mDataCentre = aDataCentre;
  vm.mListen = FreeAddress();
  vm.mAgentOperator = FreeAddress();
  vm.mEntryOperator = FreeAddress();
  vm.mPeer = FreeAddress();
  vm.mEntryPort = FreeAddress();
  vm.mPlatform = mPlatform;
  return vm;
}

void
Cluster::Start()
{
  Spawn("platform", { CACTUSGW_PLATFORM_STANDIN, "--listen", mPlatform });
  StartEngines();
  WriteConfig();
  WaitUntil([&] { return Ctl({ "config", "apply", mDirectory }).first == 0; });
  for (const auto& [name, vm] : mVms) {
    WriteSettings(name);
    StartAgent(name);
    StartEntry(name);
  }
}

void
Cluster::StartEngines()
{
  std::string listen;
  std::size_t count = 0;
  for (const auto& [name, engine] : mEngines) {
    if (mEnginesPerProcess == 1) {
      StartEngine(name);
      continue;
    }
    listen += (listen.empty() ? "" : ",") + engine.mAddress;
    ++count;
    const bool isFull = count % mEnginesPerProcess == 0;
    if (isFull || count == mEngines.size()) {
      Spawn("engines-" + std::to_string(count), EngineCommand(engine, listen));
      listen.clear();
    }
  }
}

void
Cluster::StartEngine(const std::string& aName)
{
  const EnginePorts& engine = mEngines.at(aName);
  Spawn(aName, EngineCommand(engine, engine.mAddress));
}

std::vector<std::string>
Cluster::EngineCommand(const EnginePorts& aEngine,
                       const std::string& aListen) const
{
  std::vector<std::string> command{ CACTUSGW_ENGINE_STANDIN,
                                    "--listen",
                                    aListen,
                                    "--cold",
                                    std::to_string(aEngine.mCold),
                                    "--warm",
                                    std::to_string(aEngine.mWarm) };
  command.insert(
    command.end(), aEngine.mOptions.begin(), aEngine.mOptions.end());
  return command;
}

void
Cluster::StartAgent(const std::string& aVm)
{
  Spawn(
    "agent/" + aVm,
    { CACTUSGW_AGENT, "--settings", mDirectory + "/agent-" + aVm + ".json" });
}

void
Cluster::StartEntry(const std::string& aVm)
{
  Spawn(
    "entry/" + aVm,
    { CACTUSGW_ENTRY, "--settings", mDirectory + "/entry-" + aVm + ".json" });
}

void
Cluster::Spawn(const std::string& aName, std::vector<std::string> aCommand)
{
  std::string log = aName;
  std::replace(log.begin(), log.end(), '/', '-');
  log = mDirectory + "/" + log + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> argv;
  for (std::string& word : aCommand) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);
  pid_t pid = 0;
  posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  mProcesses[aName] = pid;
}

void
Cluster::Signal(const std::string& aProcess, int aSignal)
{
  const pid_t pid = mProcesses.at(aProcess);
  kill(pid, aSignal);
  if (aSignal == SIGKILL) {
    waitpid(pid, nullptr, 0);
    mProcesses.erase(aProcess);
  }
}

std::optional<int>
Cluster::WaitForExit(const std::string& aProcess)
{
  const pid_t pid = mProcesses.at(aProcess);
  int status = 0;
  const bool ended =
    WaitUntil([&] { return waitpid(pid, &status, WNOHANG) == pid; });
  if (!ended) {
    return std::nullopt;
  }
  mProcesses.erase(aProcess);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool
Cluster::WaitUntil(const std::function<bool()>& aCondition)
{
  const Instant deadline = std::chrono::steady_clock::now() + kPatience;
  while (std::chrono::steady_clock::now() < deadline) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollPause);
  }
  return false;
}

bool
Cluster::WaitForCredits(const std::string& aVm)
{
  return WaitUntil([&] {
    const json::value status = Status(aVm);
    const Answer ready =
      Call(mVms.at(aVm).mEntryOperator, http::verb::get, "/readyz", "");
    if (!status.is_object() || ready.mStatus != 200) {
      return false;
    }
    // An owner that has heard this VM: from here on it grants on demand.
    for (const json::value& upstream : status.at("upstreams").as_array()) {
      const bool isOwn =
        upstream.at("dataCentre").as_string() == mVms.at(aVm).mDataCentre;
      const bool hasOwner = upstream.as_object().contains("owner");
      const bool isHeard = upstream.at("source").as_string() != "none";
      if (isOwn && !(hasOwner && isHeard)) {
        return false;
      }
    }
    return true;
  });
}

Answer
Cluster::Call(const std::string& aAddress,
              http::verb aVerb,
              const std::string& aTarget,
              const std::string& aBody,
              const std::string& aKey,
              const std::string& aIdempotencyKey)
{
  HttpRequest request{ aVerb, aTarget, 11 };
  request.set(http::field::authorization, "Bearer " + aKey);
  if (!aIdempotencyKey.empty()) {
    request.set("Idempotency-Key", aIdempotencyKey);
  }
  request.body() = aBody;
  return RunTask(FetchAnswer(aAddress, std::move(request)));
}

json::value
Cluster::GetJson(const std::string& aAddress, const std::string& aTarget)
{
  const Answer answer = Call(aAddress, http::verb::get, aTarget, "", kToken);
  json::error_code ec;
  return json::parse(answer.mBody, ec);
}

json::value
Cluster::Status(const std::string& aVm)
{
  return GetJson(mVms.at(aVm).mAgentOperator, "/status");
}

json::value
Cluster::EntryStatus(const std::string& aVm)
{
  return GetJson(mVms.at(aVm).mEntryOperator, "/status");
}

json::value
Cluster::Counters(const std::string& aEngine)
{
  return GetJson(mEngines.at(aEngine).mAddress, "/counters");
}

void
Cluster::Control(const std::string& aAddress, const std::string& aBody)
{
  Call(aAddress, http::verb::post, "/control", aBody);
}

std::string
Cluster::Metrics(const std::string& aAddress)
{
  return Call(aAddress, http::verb::get, "/metrics", "", kToken).mBody;
}

LoadSettings
Cluster::Load(const std::vector<std::string>& aVms) const
{
  LoadSettings settings;
  for (const std::string& vm : aVms) {
    settings.mTargets.push_back(mVms.at(vm).mListen);
  }
  settings.mKeys = { "test-key" };
  settings.mModel = "model-1";
  settings.mLengths = { LengthKind::Fixed, 40, 0, 0 };
  return settings;
}

LoadReport
Cluster::RunLoad(const LoadSettings& aSettings)
{
  return RunLoadWhile(aSettings, [] {});
}

LoadReport
Cluster::RunLoadWhile(const LoadSettings& aSettings,
                      const std::function<void()>& aSteps)
{
  LoadReport report;
  std::thread thread{ [&] {
    boost::asio::io_context context{ 1 };
    LoadRun run{ context, aSettings };
    boost::asio::co_spawn(
      context, run.Run(), [&](const std::exception_ptr&, LoadReport aReport) {
        report = std::move(aReport);
        context.stop();
      });
    context.run();
  } };
  aSteps();
  thread.join();
  return report;
}

std::pair<int, std::string>
Cluster::Ctl(const std::vector<std::string>& aWords)
{
  const std::string name = "ctl";
  const std::string settings = mDirectory + "/ctl.json";
  json::array operators;
  for (const auto& [vm, ports] : mVms) {
    operators.emplace_back(ports.mAgentOperator);
  }
  WriteFile(settings,
            json::object{ { "platform", mPlatform },
                          { "operators", operators },
                          { "token", kToken } });
  std::vector<std::string> command{ CACTUSGW_CTL, "--settings", settings };
  command.insert(command.end(), aWords.begin(), aWords.end());
  fs::remove(mDirectory + "/ctl.log");
  Spawn(name, std::move(command));
  const std::optional<int> code = WaitForExit(name);
  std::ifstream log{ mDirectory + "/ctl.log" };
  std::string output{ std::istreambuf_iterator<char>{ log }, {} };
  return { code.value_or(-1), output };
}

void
Cluster::SetLimit(const std::string& aName, std::int64_t aValue)
{
  mLimits[aName] = aValue;
  WriteConfig();
}

void
Cluster::SetHomes(const std::vector<std::string>& aRegions)
{
  mHomes = aRegions;
  WriteConfig();
}

void
Cluster::WriteConfig() const
{
  json::object dataCentres;
  for (const auto& [name, vm] : mVms) {
    json::value& dataCentre = dataCentres[vm.mDataCentre];
    if (!dataCentre.is_object()) {
      dataCentre =
        json::object{ { "region", vm.mRegion }, { "vms", json::object{} } };
    }
    dataCentre.at("vms").as_object()[name] =
      json::object{ { "peer", vm.mPeer } };
  }
  json::object upstreams;
  for (const auto& [name, engine] : mEngines) {
    const bool isPlain = name.starts_with("plain");
    json::object upstream{ { "dataCentre", engine.mDataCentre },
                           { "service", isPlain ? "portal" : "writer" },
                           { "address", engine.mConfigured },
                           { "coldLimit", engine.mCold },
                           { "warmLimit", engine.mWarm } };
    if (!isPlain) {
      upstream["models"] = json::array{ "model-1" };
    }
    upstreams[name] = std::move(upstream);
  }
  json::object workspace{ { "keySha256",
                            json::array{ Sha256Hex("test-key") } } };
  if (!mHomes.empty()) {
    workspace["regions"] = json::value_from(mHomes);
  }
  const json::object document{
    { "dataCentres", std::move(dataCentres) },
    { "services",
      json::object{ { "writer",
                      json::object{ { "kind", "model" },
                                    { "overflow", mOverflow },
                                    { "queueMs", mQueueMs },
                                    { "silenceMs", 1000 } } },
                    { "portal",
                      json::object{ { "kind", "plain" },
                                    { "overflow", mOverflow },
                                    { "queueMs", mQueueMs } } } } },
    { "models",
      json::object{ { "model-1", json::object{ { "service", "writer" } } } } },
    { "upstreams", std::move(upstreams) },
    { "workspaces", json::object{ { "workspace-1", std::move(workspace) } } },
    { "limits", mLimits }
  };
  WriteFile(mDirectory + "/base.json", document);
}

void
Cluster::WriteSettings(const std::string& aVm) const
{
  const VmPorts& vm = mVms.at(aVm);
  json::array seeds;
  for (const auto& [name, other] : mVms) {
    seeds.emplace_back(other.mPeer);
  }
  json::object agent{ { "vm", aVm },
                      { "dataCentre", vm.mDataCentre },
                      { "platform", vm.mPlatform },
                      { "entryListen", vm.mEntryPort },
                      { "peerListen", vm.mPeer },
                      { "seeds", std::move(seeds) },
                      { "operator",
                        json::object{ { "listen", vm.mAgentOperator },
                                      { "token", kToken } } } };
  if (!mDefaultTimes) {
    agent["credits"] =
      json::object{ { "validityMs", 1500 }, { "guardMs", 1000 } };
    agent["lease"] = json::object{ { "durationMs", 4000 },
                                   { "renewMs", 1000 },
                                   { "guardMs", 500 } };
    agent["heartbeatMs"] = 400;
    agent["ownershipMs"] = 2000;
  }
  WriteFile(mDirectory + "/agent-" + aVm + ".json", agent);
  WriteFile(mDirectory + "/entry-" + aVm + ".json",
            json::object{ { "vm", aVm },
                          { "dataCentre", vm.mDataCentre },
                          { "listen", vm.mListen },
                          { "agent", vm.mEntryPort },
                          { "unreadyMs", 300 },
                          { "memoryMb", mEntryMemoryMb },
                          { "operator",
                            json::object{ { "listen", vm.mEntryOperator },
                                          { "token", kToken } } } });
}

} // namespace cactusgw::testing_support
