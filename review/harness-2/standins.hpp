#pragma once

/// Stand-ins for one small deployment on loopback addresses: the platform's
/// store, replicas of a plain service, consumers, and the gateway as a child
/// process. Only POSIX and the standard library are used.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline Clock::time_point
Begin()
{
  static const Clock::time_point begin = Clock::now();
  return begin;
}

inline long
ElapsedMs()
{
  return std::chrono::duration_cast<Ms>(Clock::now() - Begin()).count();
}

/// Writes record.txt and the standard output, with the time in ms.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    mFile << ElapsedMs() << " ms  " << aText << std::endl;
    std::cout << ElapsedMs() << " ms  " << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

/// A header and a body; the names of headers are in lower case.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? "" : it->second;
  }
  int Status() const
  {
    return mFirstLine.size() < 12 ? 0 : std::atoi(mFirstLine.c_str() + 9);
  }
};

enum class ReadResult
{
  Whole,
  Closed,
  TimedOut,
};

/// A blocking connection, closed by the destructor.
class Connection
{
public:
  explicit Connection(int aSocket)
    : mSocket(aSocket)
  {
    const int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Null if the peer doesn't accept in time.
  static std::unique_ptr<Connection> Open(int aPort, Ms aTime)
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
      return nullptr;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fcntl(socket, F_SETFL, O_NONBLOCK);
    ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    pollfd wait{ socket, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    const bool isOpen =
      ::poll(&wait, 1, static_cast<int>(aTime.count())) == 1 &&
      getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0;
    if (!isOpen) {
      ::close(socket);
      return nullptr;
    }
    fcntl(socket, F_SETFL, 0);
    return std::make_unique<Connection>(socket);
  }

  int Socket() const { return mSocket; }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n = ::send(
        mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  ReadResult Read(Message& aMessage, Ms aTime)
  {
    const Clock::time_point until = Clock::now() + aTime;
    std::size_t end = std::string::npos;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      const ReadResult more = ReadMore(until);
      if (more != ReadResult::Whole) {
        return more;
      }
    }
    std::istringstream text{ mBuffer.substr(0, end) };
    mBuffer.erase(0, end + 4);
    aMessage = {};
    std::getline(text, aMessage.mFirstLine);
    Trim(aMessage.mFirstLine);
    std::string line;
    while (std::getline(text, line)) {
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        std::string value = line.substr(colon + 1);
        Trim(value);
        aMessage.mHeaders[name] = value;
      }
    }
    const std::string length = aMessage.Header("content-length");
    const std::size_t bytes =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (mBuffer.size() < bytes) {
      const ReadResult more = ReadMore(until);
      if (more != ReadResult::Whole) {
        return more;
      }
    }
    aMessage.mBody = mBuffer.substr(0, bytes);
    mBuffer.erase(0, bytes);
    return ReadResult::Whole;
  }

  void Close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
      mSocket = -1;
    }
  }

private:
  static void Trim(std::string& aText)
  {
    aText.erase(0, aText.find_first_not_of(" \t\r"));
    aText.erase(aText.find_last_not_of(" \t\r") + 1);
  }

  ReadResult ReadMore(Clock::time_point aUntil)
  {
    const long left =
      std::chrono::duration_cast<Ms>(aUntil - Clock::now()).count();
    pollfd wait{ mSocket, POLLIN, 0 };
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
      return ReadResult::TimedOut;
    }
    char buf[16384];
    const ssize_t n = ::recv(mSocket, buf, sizeof(buf), 0);
    if (n <= 0) {
      return ReadResult::Closed;
    }
    mBuffer.append(buf, static_cast<std::size_t>(n));
    return ReadResult::Whole;
  }

  int mSocket;
  std::string mBuffer;
};

/// Accepts connections and runs a thread for each.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  explicit Server(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(
          mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ||
        ::listen(mSocket, 512) ||
        ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size)) {
      std::perror("listen");
      std::_Exit(kCouldNotRun);
    }
    mPort = ntohs(address.sin_port);
    std::thread{ [this] { Accept(); } }.detach();
  }

  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  void Accept()
  {
    while (true) {
      const int socket = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        std::thread{
          [this, socket] {
            Connection connection{ socket };
            mHandler(connection);
          }
        }.detach();
      }
    }
  }

  Handler mHandler;
  int mSocket = -1;
  int mPort = 0;
};

inline std::string
Response(const std::string& aStatus,
         const std::string& aHeaders,
         const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// The platform's metadata store: objects by kind and name, one revision
/// counter, watches.
class Platform
{
public:
  Platform()
    : mServer([this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  std::string Address() const { return mServer.Address(); }

  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpecification)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    Store(aKind, aName, aSpecification, false);
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    Store(aKind, aName, "null", true);
  }

private:
  struct Object
  {
    std::uint64_t mRevision = 0;
    std::string mSpecification;
    bool mIsGone = false;
  };
  using Objects = std::map<std::string, Object>;

  void Store(const std::string& aKind,
             const std::string& aName,
             const std::string& aSpecification,
             bool aIsGone)
  {
    mKinds[aKind][aName] = { ++mRevision, aSpecification, aIsGone };
    mChanged.notify_all();
  }

  static std::string Text(const std::string& aName, const Object& aObject)
  {
    return "{\"metadata\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.mRevision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
           "\"specification\":" +
           aObject.mSpecification + ",\"status\":null}";
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const std::size_t at = aTarget.find(aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    const std::string value = aTarget.substr(at + aName.size() + 1);
    return value.substr(0, value.find('&'));
  }

  std::string Watch(const std::string& aKind, const std::string& aTarget)
  {
    const std::uint64_t from =
      std::strtoull(Query(aTarget, "watch").c_str(), nullptr, 10);
    const Clock::time_point until =
      Clock::now() + Ms{ std::atoi(Query(aTarget, "waitMs").c_str()) };
    std::unique_lock<std::mutex> lock{ mMutex };
    std::string events;
    while (true) {
      for (const auto& [name, object] : mKinds[aKind]) {
        if (object.mRevision > from) {
          events += std::string{ events.empty() ? "" : "," } +
                    "{\"tombstone\":" + (object.mIsGone ? "true" : "false") +
                    ",\"object\":" + Text(name, object) + "}";
        }
      }
      if (!events.empty() ||
          mChanged.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    return "{\"events\":[" + events +
           "],\"storeRevision\":" + std::to_string(mRevision) + "}";
  }

  std::string List(const std::string& aKind)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    std::string items;
    for (const auto& [name, object] : mKinds[aKind]) {
      if (!object.mIsGone) {
        items += (items.empty() ? "" : ",") + Text(name, object);
      }
    }
    return "{\"items\":[" + items +
           "],\"more\":false,\"storeRevision\":" + std::to_string(mRevision) +
           "}";
  }

  static std::string Between(const std::string& aText,
                             const std::string& aBegin)
  {
    const std::size_t at = aText.find(aBegin);
    if (at == std::string::npos) {
      return "";
    }
    const std::string rest = aText.substr(at + aBegin.size());
    return rest.substr(0, rest.find('"'));
  }

  std::string Write(const std::string& aMethod,
                    const std::string& aKind,
                    std::string aName,
                    const std::string& aBody)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    if (aName.empty()) {
      aName = Between(aBody, "\"name\":\"");
    }
    const auto it = mKinds[aKind].find(aName);
    const bool exists = it != mKinds[aKind].end() && !it->second.mIsGone;
    if (aMethod == "POST" && exists) {
      return Response("409 Conflict", "", Text(aName, it->second));
    }
    if (aMethod != "POST" && !exists) {
      return Response("404 Not Found", "", "{}");
    }
    const std::string key = "\"specification\":";
    const std::size_t at = aBody.find(key);
    const std::string specification =
      at == std::string::npos
        ? "null"
        : aBody.substr(at + key.size(), aBody.rfind('}') - at - key.size());
    Store(aKind, aName, specification, aMethod == "DELETE");
    return Response("200 OK", "", Text(aName, mKinds[aKind][aName]));
  }

  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, Ms{ 60'000 }) == ReadResult::Whole) {
      std::istringstream line{ request.mFirstLine };
      std::string method;
      std::string target;
      line >> method >> target;
      std::string path = target.substr(0, target.find('?'));
      const std::string root = "/v1/objects/";
      path = path.size() > root.size() ? path.substr(root.size()) : "";
      const std::size_t slash = path.find('/');
      const std::string kind = path.substr(0, slash);
      const std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
      std::string response;
      if (method != "GET") {
        response = Write(method, kind, name, request.mBody);
      } else if (!name.empty()) {
        const std::lock_guard<std::mutex> lock{ mMutex };
        const auto it = mKinds[kind].find(name);
        response = it == mKinds[kind].end() || it->second.mIsGone
                     ? Response("404 Not Found", "", "{}")
                     : Response("200 OK", "", Text(name, it->second));
      } else {
        response = Response(
          "200 OK",
          "Content-Type: application/json\r\n",
          Query(target, "watch").empty() ? List(kind) : Watch(kind, target));
      }
      if (!aConnection.Send(response)) {
        return;
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 10;
  std::map<std::string, Objects> mKinds;
  Server mServer;
};

/// A replica of a plain service: runs each request for some time and answers
/// with its id and a seal.
class Replica
{
public:
  Replica(std::string aId, Ms aWork)
    : mId(std::move(aId))
    , mWork(aWork)
    , mServer([this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  const std::string& Id() const { return mId; }
  std::string Address() const { return mServer.Address(); }
  int Runs() const { return mRuns; }
  /// The requests that it has run.
  std::vector<Message> Received()
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    return mReceived;
  }

  /// The replica's entry in the store.
  std::string Entry(const std::string& aService,
                    const std::string& aZone,
                    int aSlots) const
  {
    return "{\"service\":\"" + aService + "\",\"address\":\"" + Address() +
           "\",\"zone\":\"" + aZone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(aSlots) +
           ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4,"
           "\"born\":1700000000000}";
  }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, Ms{ 60'000 }) == ReadResult::Whole) {
      if (request.mFirstLine.find(" /health ") != std::string::npos) {
        aConnection.Send(
          Response("200 OK", "X-Cactusgw-Replica-Id: " + mId + "\r\n", ""));
        continue;
      }
      const std::string expected =
        request.Header("x-cactusgw-expected-replica");
      const std::string id =
        "X-Cactusgw-Request-Id: " + request.Header("x-cactusgw-request-id") +
        "\r\n";
      if (!expected.empty() && expected != mId) {
        aConnection.Send(Response("421 Misdirected Request",
                                  id + "X-Cactusgw-Replica-Id: " + mId + "\r\n",
                                  ""));
        continue;
      }
      ++mRuns;
      {
        const std::lock_guard<std::mutex> lock{ mMutex };
        mReceived.push_back(request);
      }
      std::this_thread::sleep_for(mWork);
      const std::string body(800, 'x');
      if (!aConnection.Send(Response("200 OK",
                                     id + "X-Cactusgw-Response-Seal: "
                                          "3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                                          "Content-Type: text/plain\r\n",
                                     body))) {
        return;
      }
    }
  }

  std::string mId;
  Ms mWork;
  std::atomic<int> mRuns{ 0 };
  std::mutex mMutex;
  std::vector<Message> mReceived;
  Server mServer;
};

inline int
FreePort()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

struct GatewayOptions
{
  std::string mVm = "front-gent-a-1";
  std::string mZone = "gent-a";
  int mMemoryMb = 110;
  /// Descriptors for sockets, as the platform limits them; 0: no limit.
  int mDescriptors = 0;
  /// Whether the whole system starts for the first time.
  bool mIsFirstStart = true;
};

/// The gateway as a child process, with settings made as the deploy template
/// makes them.
class Gateway
{
public:
  Gateway(const std::string& aFolder,
          const std::string& aPlatform,
          const GatewayOptions& aOptions)
    : mOptions(aOptions)
    , mFront(FreePort())
    , mReady(FreePort())
    , mMetrics(FreePort())
    , mPeer(FreePort())
  {
    mFolder = aFolder;
    mSettings = aFolder + "/" + mOptions.mVm + ".json";
    mPlatform = aPlatform;
    WriteSettings();
    mLog = aFolder + "/" + mOptions.mVm + ".log";
    Start();
  }
  ~Gateway()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGCONT);
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
    }
    if (mWasReady) { // Otherwise the log is of use.
      std::error_code ec;
      std::filesystem::remove_all(mFolder, ec);
    }
  }

  void Start()
  {
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        ::open(mLog.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      if (mOptions.mDescriptors > 0) {
        const rlimit limit{ static_cast<rlim_t>(mOptions.mDescriptors),
                            static_cast<rlim_t>(mOptions.mDescriptors) };
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      ::execl("target/platform/cactusgw-gateway",
              "target/platform/cactusgw-gateway",
              "--settings",
              mSettings.c_str(),
              nullptr);
      std::_Exit(127);
    }
    mPid = pid;
  }

  int FrontPort() const { return mFront; }
  int ReadyPort() const { return mReady; }
  int MetricsPort() const { return mMetrics; }
  const std::string& LogPath() const { return mLog; }

  void Signal(int aSignal) const { ::kill(mPid, aSignal); }

  /// Whether the process has not ended.
  bool IsRunning()
  {
    if (mPid > 0 && ::waitpid(mPid, &mStatus, WNOHANG) == mPid) {
      mPid = -1;
    }
    return mPid > 0;
  }
  int WaitStatus() const { return mStatus; }

  bool IsReady(Ms aTime) const
  {
    const std::unique_ptr<Connection> connection =
      Connection::Open(mReady, aTime);
    Message response;
    return connection &&
           connection->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           connection->Read(response, aTime) == ReadResult::Whole &&
           response.Status() == 200;
  }

  /// Waits until the gateway says that it is ready.
  bool WaitReady(Ms aTime)
  {
    const Clock::time_point until = Clock::now() + aTime;
    while (Clock::now() < until && IsRunning()) {
      if (IsReady(Ms{ 500 })) {
        mWasReady = true;
        return true;
      }
      std::this_thread::sleep_for(Ms{ 50 });
    }
    return false;
  }

  /// A figure of /proc/PID/status in KiB, or -1.
  long MemoryKb(const std::string& aField) const
  {
    std::ifstream file{ "/proc/" + std::to_string(mPid) + "/status" };
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind(aField + ":", 0) == 0) {
        return std::atol(line.c_str() + aField.size() + 1);
      }
    }
    return -1;
  }

  /// Ends the process at once and starts it again, with settings as they are
  /// after the first start.
  void KillAndRestart()
  {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
    mOptions.mIsFirstStart = false;
    WriteSettings();
    Start();
  }

private:
  void WriteSettings() const
  {
    const std::string local = "127.0.0.1:";
    std::ofstream file{ mSettings };
    file << "{\n  \"vm\": \"" << mOptions.mVm << "\",\n  \"dataCentre\": \""
         << mOptions.mZone
         << "\",\n  \"regions\": {\"gent-a\": \"be-north\", \"gent-b\": "
            "\"be-north\", \"namur-a\": \"be-south\"},\n"
         << "  \"listen\": \"" << local << mFront << "\",\n"
         << "  \"readyListen\": \"" << local << mReady << "\",\n"
         << "  \"metricsListen\": \"" << local << mMetrics << "\",\n"
         << "  \"peerListen\": \"" << local << mPeer << "\",\n"
         << "  \"platform\": \"" << mPlatform << "\",\n"
         << "  \"capacity\": 0.25,\n  \"linkMbps\": 1000.0,\n"
         << "  \"memoryMb\": " << mOptions.mMemoryMb << ",\n"
         << "  \"features\": [\"base\", \"drain\", \"config\", \"cost\", "
            "\"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", "
            "\"places\", \"platform\"],\n"
         << "  \"bounds\": {\"keyFreshnessMs\": 5000, \"homeFreshnessMs\": "
            "2500, \"retryRatio\": 0.2, \"retryExtra\": 54, "
            "\"retryWindowS\": 10, \"coldFactor\": 1.5, \"coldExtra\": 5},\n"
         << (mOptions.mIsFirstStart ? "  \"firstStart\": true,\n" : "")
         << "  \"unreadyMs\": 2500,\n"
         << "  \"stopS\": 8\n}\n";
    file.close();
  }

  GatewayOptions mOptions;
  int mFront;
  int mReady;
  int mMetrics;
  int mPeer;
  std::string mFolder;
  std::string mSettings;
  std::string mPlatform;
  std::string mLog;
  pid_t mPid = -1;
  int mStatus = 0;
  bool mWasReady = false;
};

constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "xd9dnn2ctnfzs989anu6";

/// A configuration as in the examples of the pages: an unsafe and a safe route
/// to one plain service, one tenant, the limits of the pages.
/// @param aMoreRoutes number of further routes to the service
inline std::string
PlainConfig(int aVersion, int aMoreRoutes = 0)
{
  const std::string route =
    "\"timeoutMs\":2000,\"targetLatencyMs\":250,\"priority\":2,"
    "\"service\":\"wuno96b\",\"public\":false,\"stickySessions\":false,"
    "\"streamResumption\":false,\"allowedRegions\":[]}";
  std::string more;
  for (int i = 0; i < aMoreRoutes; ++i) {
    const std::string number = std::to_string(i);
    more += ",{\"name\":\"r-more" + number +
            "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/more" + number +
            "/\",\"kind\":\"safe\",\"attempts\":2," + route;
  }
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"routes\":["
         "{\"name\":\"r-submit\",\"host\":\"ficu95.example\",\"pathPrefix\":"
         "\"/pule252/\",\"kind\":\"unsafe\",\"attempts\":1," +
         route +
         ",{\"name\":\"r-lookup\",\"host\":\"ficu95.example\",\"pathPrefix\":"
         "\"/puxa403/\",\"kind\":\"safe\",\"attempts\":2," +
         route + more +
         "],\"services\":[{\"name\":\"wuno96b\",\"healthCheckPath\":"
         "\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false,"
         "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":"
         "[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1,\"allowedRegions\":[]}]}";
}

inline std::string
NewRequestId()
{
  static std::atomic<unsigned> next{ 1 };
  char text[17];
  std::snprintf(text, sizeof(text), "9c41d07b%08x", next++);
  return text;
}

/// An ordinary request of a consumer.
inline std::string
Request(const std::string& aMethod,
        const std::string& aPath,
        const std::string& aId,
        int aDeadlineMs,
        const std::string& aBody,
        const std::string& aMore = "")
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Cactusgw-Request-Id: " + aId +
         "\r\nX-Cactusgw-Deadline-Milliseconds: " +
         std::to_string(aDeadlineMs) + "\r\nAuthorization: Bearer " + kKey +
         "\r\n" + aMore +
         (aMethod == "GET" || aMethod == "HEAD"
            ? std::string{}
            : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

/// Raises the limit of descriptors of this process. Returns false if the
/// machine allows fewer.
inline bool
AllowDescriptors(rlim_t aCount)
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < aCount) {
    return false;
  }
  limit.rlim_cur = std::max(limit.rlim_cur, aCount);
  return ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string{ value } != "0";
}

/// A new folder under the system's folder for temporary files.
inline std::string
TemporaryFolder()
{
  const char* const base = std::getenv("TMPDIR");
  std::string name = std::string{ base ? base : "/tmp" } + "/review-XXXXXX";
  return ::mkdtemp(name.data()) == nullptr ? "" : name;
}

} // namespace review
