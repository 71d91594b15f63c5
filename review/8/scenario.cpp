/// Two software versions of a service run side by side. The replica of the
/// newer one leaves, and all gateways (one here) are killed and come back.
/// Consumers take up their streams again, as the pages allow.

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kStreams = 24;
constexpr int kEvents = 80;
constexpr Ms kEventTime{ 50 };

/// A replica of one version. Its streams go on after Last-Event-Id, and each
/// event names the version.
class StreamReplica
{
public:
  StreamReplica(std::string aId, std::string aVersion)
    : mId(std::move(aId))
    , mVersion(std::move(aVersion))
    , mServer([this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  std::string Entry(const std::string& aState) const
  {
    return "{\"service\":\"huvo11a\",\"address\":\"" + mServer.Address() +
           "\",\"zone\":\"gent-a\",\"version\":\"" + mVersion +
           "\",\"slots\":32,\"state\":\"" + aState +
           "\",\"coldRemainingMs\":0,\"sequence\":4,\"born\":1700000000000}";
  }
  const std::string& Id() const { return mId; }
  /// Ends all streams and takes no more requests.
  void End() { mHasEnded = true; }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    while (!mHasEnded &&
           aConnection.Read(request, Ms{ 60'000 }) == ReadResult::Whole) {
      const std::string id =
        "X-Cactusgw-Request-Id: " + request.Header("x-cactusgw-request-id") +
        "\r\n";
      if (mHasEnded) {
        return;
      }
      if (request.Header("x-cactusgw-expected-replica") != mId) {
        aConnection.Send(Response("421 Misdirected Request", id, ""));
        continue;
      }
      if (!Stream(aConnection, id, request.Header("last-event-id"))) {
        return;
      }
    }
  }

  /// Returns false if the stream was broken off.
  bool Stream(Connection& aConnection,
              const std::string& aIdLine,
              const std::string& aLastEventId)
  {
    bool isOpen = aConnection.Send("HTTP/1.1 200 OK\r\n" + aIdLine +
                                   "X-Cactusgw-Response-Seal: "
                                   "3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                                   "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
    int event = std::atoi(aLastEventId.c_str());
    while (isOpen && !mHasEnded && event < kEvents) {
      std::this_thread::sleep_for(kEventTime);
      const std::string text =
        "id: " + std::to_string(++event) + "\ndata: " + mVersion + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      isOpen = aConnection.Send(size + text + "\r\n");
    }
    return isOpen && !mHasEnded && aConnection.Send("0\r\n\r\n");
  }

  std::string mId;
  std::string mVersion;
  std::atomic<bool> mHasEnded{ false };
  Server mServer;
};

/// What a consumer has of its stream, over its tries.
struct Received
{
  int mLastEvent = 0;
  /// The version of each run of events, in order.
  std::vector<std::string> mVersions;
  bool mIsComplete = false;
};

/// Sends one request and adds the events of its answer. Returns the status, or
/// 0 without an answer.
int
Read(int aPort,
     const std::string& aId,
     const std::string& aMore,
     Received& aReceived)
{
  const std::unique_ptr<Connection> channel =
    Connection::Open(aPort, Ms{ 1000 });
  if (!channel || !channel->Send(Request(
                    "POST", "/pufi791/2f", aId, 6000, "prompt", aMore))) {
    return 0;
  }
  std::string bytes;
  char buf[4096];
  ssize_t n = 0;
  pollfd wait{ channel->Socket(), POLLIN, 0 };
  while (bytes.find("0\r\n\r\n") == std::string::npos &&
         ::poll(&wait, 1, 2000) == 1 &&
         (n = ::recv(channel->Socket(), buf, sizeof(buf), 0)) > 0) {
    bytes.append(buf, static_cast<std::size_t>(n));
    if (bytes.rfind("HTTP/1.1 200", 0) != 0 &&
        bytes.find("\r\n\r\n") != std::string::npos) {
      break; // The body of a refusal doesn't matter.
    }
  }
  std::istringstream lines{ bytes };
  std::string line;
  int event = 0;
  while (std::getline(lines, line)) {
    if (line.rfind("id: ", 0) == 0) {
      event = std::atoi(line.c_str() + 4);
    } else if (line.rfind("data: ", 0) == 0 && lines.peek() == '\n') {
      const std::string version = line.substr(6);
      aReceived.mLastEvent = event;
      if (aReceived.mVersions.empty() ||
          aReceived.mVersions.back() != version) {
        aReceived.mVersions.push_back(version);
      }
    }
  }
  aReceived.mIsComplete = aReceived.mLastEvent == kEvents;
  return bytes.size() < 12 ? 0 : std::atoi(bytes.c_str() + 9);
}

/// A consumer: begins a stream, and takes it up again when it breaks off.
void
Consume(Record& aRecord, int aPort, Received& aReceived)
{
  const std::string first = NewRequestId();
  const int status = Read(aPort, first, "", aReceived);
  std::string tries = std::to_string(status);
  constexpr int kTries = 6;
  for (int i = 0;
       i < kTries && !aReceived.mIsComplete && aReceived.mLastEvent > 0;
       ++i) {
    std::this_thread::sleep_for(Ms{ 500 });
    const std::string id = NewRequestId();
    tries += " " + std::to_string(Read(
                     aPort,
                     id,
                     "Last-Event-Id: " + std::to_string(aReceived.mLastEvent) +
                       "\r\nResumes: " + first + "\r\n",
                     aReceived));
  }
  std::string versions;
  for (const std::string& version : aReceived.mVersions) {
    versions += (versions.empty() ? "" : " then ") + version;
  }
  aRecord.Line("stream " + first + ": answers " + tries + "; events to " +
               std::to_string(aReceived.mLastEvent) + ", of " + versions);
}

std::string
StreamConfig()
{
  return "{\"version\":7,\"routes\":[{\"name\":\"r-classify\",\"host\":"
         "\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\"kind\":"
         "\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":1500,"
         "\"priority\":0,\"service\":\"huvo11a\",\"attempts\":2,\"public\":"
         "false,\"stickySessions\":true,\"streamResumption\":true,"
         "\"targetGapMs\":180,\"allowedRegions\":[]}],\"services\":[{\"name\":"
         "\"huvo11a\",\"healthCheckPath\":\"/health\",\"maxConnections\":302,"
         "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":1.0,\"coldPerS\":"
         "39.0,\"engine\":{\"slots\":32,\"cacheTokens\":34297,\"kvBytes\":"
         "262144,\"linkMbps\":38000.0,\"moves\":true,\"backups\":true}}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
         "\"name\":\"huka270\",\"apiKeys\":[\"xd9dnn2ctnfzs989anu6\"],"
         "\"priority\":1,\"allowedRegions\":[]}]}";
}

int
Run(Record& aRecord)
{
  // Live to the end of the process, as their threads do.
  Platform& platform = *new Platform;
  StreamReplica& older = *new StreamReplica{ "i-7f3a91c2", "v1" };
  StreamReplica& newer = *new StreamReplica{ "i-02d9e6b4", "v2" };
  platform.Put("config", "main", StreamConfig());
  platform.Put("servers", older.Id(), older.Entry("ready"));
  platform.Put("servers", newer.Id(), newer.Entry("ready"));
  Gateway gateway{ TemporaryFolder(), platform.Address(), {} };
  if (!gateway.WaitReady(Ms{ 15'000 })) {
    aRecord.Line("the gateway isn't ready: " + gateway.LogPath());
    return kCouldNotRun;
  }
  std::vector<Received> received(kStreams);
  std::vector<std::thread> consumers;
  for (Received& stream : received) {
    consumers.emplace_back(
      [&] { Consume(aRecord, gateway.FrontPort(), stream); });
  }
  std::this_thread::sleep_for(Ms{ 1000 });
  aRecord.Line("the replica of v2 leaves: its entry is removed");
  platform.Remove("servers", newer.Id());
  if (HasTrouble()) {
    aRecord.Line("all gateways are killed and start again");
    gateway.KillAndRestart();
  }
  // The replica serves for drainMs and a little longer, and then ends.
  std::this_thread::sleep_for(Ms{ 2600 });
  newer.End();
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  int joined = 0;
  int taken = 0;
  for (const Received& stream : received) {
    joined += stream.mVersions.size() > 1 ? 1 : 0;
    taken += stream.mIsComplete ? 1 : 0;
  }
  aRecord.Line(
    "streams that hold events of two versions: " + std::to_string(joined) +
    " of " + std::to_string(kStreams) + "; complete: " + std::to_string(taken));
  constexpr int kAllowed = 2;
  return joined > kAllowed ? kBroken : kHeld;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  Begin();
  Record record{ aArgc > 1 ? aArgv[1] : "record.txt" };
  const int code = Run(record);
  record.Line("exit " + std::to_string(code));
  std::_Exit(code);
}
