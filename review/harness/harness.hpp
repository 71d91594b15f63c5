#ifndef CACTUSGW_REVIEW_HARNESS_HPP
#define CACTUSGW_REVIEW_HARNESS_HPP

/// Stand-ins for the platform's store, for replicas and for clients, and a
/// launcher for the gateway. Everything listens on loopback addresses.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point gStart = Clock::now();

inline long
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               gStart)
    .count();
}

inline void
SleepMs(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Whether the disruption of the case takes place.
inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string{ value } != "0";
}

/// The record of what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
  {
    if (mFile == nullptr) {
      std::perror("record");
      std::exit(kCouldNotRun);
    }
  }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    const std::lock_guard lock{ mMutex };
    std::fprintf(mFile, "%7ld ms  ", NowMs());
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

inline sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string
AddressOf(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/// Opens a listening socket on a free port, or on the given one.
inline int
Listen(int& aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 1024) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return fd;
}

/// Returns a port that is free at present.
inline int
FreePort()
{
  int port = 0;
  close(Listen(port));
  return port;
}

inline bool
EqualsIgnoringCase(const std::string& aOne, const std::string& aOther)
{
  return strcasecmp(aOne.c_str(), aOther.c_str()) == 0;
}

struct Message
{
  /// The request or status line.
  std::string mLine;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /// Whether the body was received whole.
  bool mIsComplete = false;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (EqualsIgnoringCase(name, aName)) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return mLine.substr(0, mLine.find(' ')); }
  std::string Target() const
  {
    const std::size_t begin = mLine.find(' ') + 1;
    return mLine.substr(begin, mLine.find(' ', begin) - begin);
  }
  int Status() const
  {
    const std::size_t space = mLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(&mLine[space + 1]);
  }
};

/// A connected socket with a read buffer; closed on destruction.
class Channel
{
public:
  explicit Channel(int aFd)
    : mFd(aFd)
  {
  }
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// @param aReceiveBuffer size of the receive buffer; zero for the default
  static std::unique_ptr<Channel> Connect(int aPort, int aReceiveBuffer = 0)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      setsockopt(
        fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
    }
    sockaddr_in address = Loopback(aPort);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
      close(fd);
      return nullptr;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<Channel>(fd);
  }

  int Fd() const { return mFd; }

  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t at = 0;
    while (at < aBytes.size()) {
      const ssize_t n =
        send(mFd, aBytes.data() + at, aBytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads more into the buffer. Returns false at the end, at an error or when
  /// the time has passed.
  bool Fill(long aUntilMs)
  {
    pollfd entry{ mFd, POLLIN, 0 };
    const long left = aUntilMs - NowMs();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char buf[16384];
    const ssize_t n = recv(mFd, buf, sizeof buf, 0);
    if (n <= 0) {
      mIsEnded = true;
      return false;
    }
    mBuffer.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  bool IsEnded() const { return mIsEnded; }
  std::string& Buffer() { return mBuffer; }

  /// Reads the header of a message; nullopt at the end of the channel.
  std::optional<Message> ReadHeader(long aUntilMs)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntilMs)) {
        return std::nullopt;
      }
    }
    Message message;
    std::size_t at = mBuffer.find("\r\n");
    message.mLine = mBuffer.substr(0, at);
    while (at < end) {
      at += 2;
      const std::size_t lineEnd = mBuffer.find("\r\n", at);
      const std::string line = mBuffer.substr(at, lineEnd - at);
      const std::size_t colon = line.find(':');
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      value = value == std::string::npos ? line.size() : value;
      message.mHeaders.emplace_back(line.substr(0, colon), line.substr(value));
      at = lineEnd;
    }
    mBuffer.erase(0, end + 4);
    return message;
  }

  /// Reads a whole message; its body may be incomplete.
  std::optional<Message> Read(long aUntilMs)
  {
    std::optional<Message> message = ReadHeader(aUntilMs);
    if (!message) {
      return message;
    }
    if (EqualsIgnoringCase(message->Header("Transfer-Encoding"), "chunked")) {
      message->mIsComplete = ReadChunks(message->mBody, aUntilMs);
      return message;
    }
    const std::size_t length =
      std::strtoul(message->Header("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < length && Fill(aUntilMs)) {
    }
    message->mIsComplete = mBuffer.size() >= length;
    message->mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return message;
  }

  /// Reads one chunk; an empty one is the last. Nullopt if it is broken off.
  std::optional<std::string> ReadChunk(long aUntilMs)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n")) == std::string::npos) {
      if (!Fill(aUntilMs)) {
        return std::nullopt;
      }
    }
    const std::size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
    while (mBuffer.size() < end + 2 + size + 2) {
      if (!Fill(aUntilMs)) {
        return std::nullopt;
      }
    }
    std::string chunk = mBuffer.substr(end + 2, size);
    mBuffer.erase(0, end + 2 + size + 2);
    return chunk;
  }

private:
  bool ReadChunks(std::string& aBody, long aUntilMs)
  {
    while (true) {
      const std::optional<std::string> chunk = ReadChunk(aUntilMs);
      if (!chunk) {
        return false;
      }
      if (chunk->empty()) {
        return true;
      }
      aBody += *chunk;
    }
  }

  int mFd;
  bool mIsEnded = false;
  std::string mBuffer;
};

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Channel&)>;

  explicit Server(Handler aHandler, int aPort = 0)
    : mPort(aPort)
    , mHandler(std::move(aHandler))
  {
    mFd = Listen(mPort);
    std::thread{ [this] { Accept(); } }.detach();
  }

  int Port() const { return mPort; }

private:
  void Accept()
  {
    while (true) {
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread{
        [this, fd] {
          Channel channel{ fd };
          mHandler(channel);
        }
      }.detach();
    }
  }

  int mPort;
  int mFd = -1;
  Handler mHandler;
};

constexpr long kForever = 1'000'000'000;

/// The platform's store: objects of any kind, lists and watches.
class Store
{
public:
  /// Called before a call is carried out; returns false to leave it unanswered
  /// and to close its channel, as the function sees fit.
  using Intercept = std::function<bool(const Message&, Channel&)>;
  /// Called after a call was carried out, before it is answered; returns false
  /// to lose the answer.
  using BeforeAnswer = std::function<bool(const Message&, Channel&)>;

  Store()
    : mServer([this](Channel& aChannel) { Serve(aChannel); })
  {
  }

  int Port() const { return mServer.Port(); }

  void SetIntercept(Intercept aIntercept)
  {
    const std::lock_guard lock{ mMutex };
    mIntercept = std::move(aIntercept);
  }
  void SetBeforeAnswer(BeforeAnswer aBeforeAnswer)
  {
    const std::lock_guard lock{ mMutex };
    mBeforeAnswer = std::move(aBeforeAnswer);
  }

  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpecification)
  {
    const std::lock_guard lock{ mMutex };
    PutLocked(aKind, aName, aSpecification);
  }

  void Delete(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard lock{ mMutex };
    DeleteLocked(aKind, aName);
  }

  std::size_t Count(const std::string& aKind)
  {
    const std::lock_guard lock{ mMutex };
    return mObjects[aKind].size();
  }

private:
  struct Object
  {
    std::string mSpecification;
    unsigned long mRevision = 0;
    unsigned long mCreated = 0;
  };
  struct Event
  {
    unsigned long mRevision;
    std::string mKind;
    std::string mText;
  };

  static std::string TextOf(const std::string& aName, const Object& aObject)
  {
    return "{\"metadata\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.mRevision) +
           ",\"created\":" + std::to_string(aObject.mCreated) +
           ",\"finalizers\":[],\"deleting\":false},\"specification\":" +
           aObject.mSpecification + ",\"status\":null}";
  }

  void PutLocked(const std::string& aKind,
                 const std::string& aName,
                 const std::string& aSpecification)
  {
    Object& object = mObjects[aKind][aName];
    if (object.mSpecification == aSpecification) {
      return;
    }
    ++mRevision;
    object.mCreated = object.mCreated == 0 ? mRevision : object.mCreated;
    object.mRevision = mRevision;
    object.mSpecification = aSpecification;
    AddEvent(aKind, aName, object, "false");
  }

  void DeleteLocked(const std::string& aKind, const std::string& aName)
  {
    const auto it = mObjects[aKind].find(aName);
    if (it == mObjects[aKind].end()) {
      return;
    }
    it->second.mRevision = ++mRevision;
    AddEvent(aKind, aName, it->second, "true");
    mObjects[aKind].erase(it);
  }

  void AddEvent(const std::string& aKind,
                const std::string& aName,
                const Object& aObject,
                const std::string& aTombstone)
  {
    mEvents.push_back({ mRevision,
                        aKind,
                        "{\"tombstone\":" + aTombstone +
                          ",\"object\":" + TextOf(aName, aObject) + "}" });
    mChanged.notify_all();
  }

  void Serve(Channel& aChannel)
  {
    while (true) {
      const std::optional<Message> request = aChannel.Read(kForever);
      if (!request || !request->mIsComplete) {
        return;
      }
      Intercept intercept;
      BeforeAnswer beforeAnswer;
      {
        const std::lock_guard lock{ mMutex };
        intercept = mIntercept;
        beforeAnswer = mBeforeAnswer;
      }
      if (intercept && !intercept(*request, aChannel)) {
        return;
      }
      const auto [status, body] = Answer(*request);
      if (beforeAnswer && !beforeAnswer(*request, aChannel)) {
        return;
      }
      if (!aChannel.Send("HTTP/1.1 " + std::to_string(status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  static std::string QueryOf(const std::string& aTarget,
                             const std::string& aName)
  {
    const std::size_t query = aTarget.find('?');
    const std::size_t at = aTarget.find(aName + "=", query);
    if (query == std::string::npos || at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + aName.size() + 1;
    return aTarget.substr(begin, aTarget.find('&', begin) - begin);
  }

  /// The text of a member's object in a body that the gateway has written.
  static std::string SpecificationOf(const std::string& aBody)
  {
    const std::string name = "\"specification\":";
    const std::size_t at = aBody.find(name);
    return at == std::string::npos
             ? "null"
             : aBody.substr(at + name.size(),
                            aBody.rfind('}') - at - name.size());
  }

  static std::string NameOf(const std::string& aBody)
  {
    const std::string name = "\"name\":\"";
    const std::size_t begin = aBody.find(name) + name.size();
    return aBody.substr(begin, aBody.find('"', begin) - begin);
  }

  std::pair<int, std::string> Answer(const Message& aRequest)
  {
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/v1/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0) {
      return { 404, "{}" };
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock{ mMutex };
    std::map<std::string, Object>& objects = mObjects[kind];
    const std::string method = aRequest.Method();
    if (method == "GET" && !name.empty()) {
      const auto it = objects.find(name);
      return it == objects.end()
               ? std::make_pair(404, std::string{ "{}" })
               : std::make_pair(200, TextOf(name, it->second));
    }
    if (method == "GET") {
      const std::string watch = QueryOf(target, "watch");
      return { 200,
               watch.empty()
                 ? List(objects)
                 : Watch(lock, kind, watch, QueryOf(target, "waitMs")) };
    }
    if (method == "POST") {
      const std::string created = NameOf(aRequest.mBody);
      if (objects.count(created) > 0) {
        return { 409, TextOf(created, objects[created]) };
      }
      PutLocked(kind, created, SpecificationOf(aRequest.mBody));
      return { 200, TextOf(created, objects[created]) };
    }
    if (objects.count(name) == 0) {
      return { 404, "{}" };
    }
    if (method == "PUT") {
      PutLocked(kind, name, SpecificationOf(aRequest.mBody));
      return { 200, TextOf(name, objects[name]) };
    }
    DeleteLocked(kind, name);
    return { 200, "{}" };
  }

  std::string List(const std::map<std::string, Object>& aObjects) const
  {
    std::string items;
    for (const auto& [name, object] : aObjects) {
      items += (items.empty() ? "" : ",") + TextOf(name, object);
    }
    return "{\"items\":[" + items +
           "],\"more\":false,\"storeRevision\":" + std::to_string(mRevision) +
           "}";
  }

  std::string Watch(std::unique_lock<std::mutex>& aLock,
                    const std::string& aKind,
                    const std::string& aSince,
                    const std::string& aWaitMs)
  {
    const unsigned long since = std::strtoul(aSince.c_str(), nullptr, 10);
    const auto until =
      Clock::now() +
      std::chrono::milliseconds(std::strtol(aWaitMs.c_str(), nullptr, 10));
    while (true) {
      std::string events;
      for (const Event& event : mEvents) {
        if (event.mRevision > since && event.mKind == aKind) {
          events += (events.empty() ? "" : ",") + event.mText;
        }
      }
      const bool isOver =
        !events.empty() ||
        mChanged.wait_until(aLock, until) == std::cv_status::timeout;
      if (isOver) {
        return "{\"events\":[" + events +
               "],\"storeRevision\":" + std::to_string(mRevision) + "}";
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::vector<Event> mEvents;
  unsigned long mRevision = 100;
  Intercept mIntercept;
  BeforeAnswer mBeforeAnswer;
  Server mServer;
};

/// A replica: passes each request that it begins to run to a handler.
class Replica
{
public:
  /// Returns whether the channel is kept.
  using Run = std::function<bool(const Message&, Channel&)>;

  Replica(Store& aStore,
          std::string aId,
          std::string aService,
          Run aRun,
          int aPort = 0)
    : mStore(aStore)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mRun(std::move(aRun))
    , mServer([this](Channel& aChannel) { Serve(aChannel); }, aPort)
  {
    Beat("ready");
  }

  int Port() const { return mServer.Port(); }
  const std::string& Id() const { return mId; }

  /// Counts as a new start of the replica from now on.
  void StartAgain() { mBorn += 1 + NowMs(); }

  /// Writes the entry of the replica into the store.
  void Beat(const std::string& aState)
  {
    mStore.Put(
      "servers",
      mId,
      "{\"service\":\"" + mService + "\",\"address\":\"" + AddressOf(Port()) +
        "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":32,"
        "\"state\":\"" +
        aState + "\",\"coldRemainingMs\":0,\"born\":" + std::to_string(mBorn) +
        ",\"sequence\":" + std::to_string(++mSequence) + "}");
  }

private:
  void Serve(Channel& aChannel)
  {
    while (true) {
      const std::optional<Message> request = aChannel.Read(kForever);
      if (!request || !request->mIsComplete) {
        return;
      }
      const std::string expected =
        request->Header("X-Cactusgw-Expected-Replica");
      if (!expected.empty() && expected != mId) {
        if (!aChannel.Send("HTTP/1.1 421 Misdirected Request\r\n"
                           "X-Cactusgw-Replica-Id: " +
                           mId + "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!mRun(*request, aChannel)) {
        return;
      }
    }
  }

  Store& mStore;
  std::string mId;
  std::string mService;
  Run mRun;
  std::atomic<long> mBorn{ 1'780'000'000'000 + NowMs() };
  std::atomic<long> mSequence{ 0 };
  Server mServer;
};

/// Header of a replica's answer, without the fields for its length.
inline std::string
AnswerHeader(const Message& aRequest, int aStatus = 200)
{
  const std::string id = aRequest.Header("X-Cactusgw-Request-Id");
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nX-Cactusgw-Request-Id: " + id +
         "\r\nX-Cactusgw-Response-Seal: seal-" + id + "\r\n";
}

inline std::string
WholeAnswer(const Message& aRequest,
            const std::string& aBody,
            int aStatus = 200)
{
  return AnswerHeader(aRequest, aStatus) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
Chunk(const std::string& aText)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

/// One process of cactusgw-gateway, started with a settings file as the deploy
/// file says.
class Gateway
{
public:
  Gateway(std::string aName, int aStorePort, std::string aFolder)
    : mName(std::move(aName))
    , mFolder(std::move(aFolder))
    , mFront(FreePort())
    , mReady(FreePort())
    , mMetrics(FreePort())
    , mPeer(FreePort())
    , mStore(aStorePort)
  {
  }
  ~Gateway() { Kill(); }

  int Front() const { return mFront; }
  pid_t Pid() const { return mPid; }
  std::string LogFile() const { return mFolder + "/" + mName + ".log"; }

  void Start()
  {
    const std::string settings = mFolder + "/" + mName + ".json";
    std::FILE* const file = std::fopen(settings.c_str(), "w");
    std::fprintf(
      file,
      "{\"vm\":\"%s\",\"dataCentre\":\"zone-a\","
      "\"regions\":{\"zone-a\":\"north\"},"
      "\"listen\":\"%s\",\"readyListen\":\"%s\",\"metricsListen\":\"%s\","
      "\"peerListen\":\"%s\",\"platform\":\"%s\",\"capacity\":0.25,"
      "\"linkMbps\":1000.0,\"bounds\":{\"keyFreshnessMs\":5000,"
      "\"homeFreshnessMs\":2500,\"retryRatio\":0.2,\"retryExtra\":54,"
      "\"retryWindowS\":10,\"coldFactor\":1.5,\"coldExtra\":5},"
      "\"unreadyMs\":2500,\"stopS\":8}\n",
      mName.c_str(),
      AddressOf(mFront).c_str(),
      AddressOf(mReady).c_str(),
      AddressOf(mMetrics).c_str(),
      AddressOf(mPeer).c_str(),
      AddressOf(mStore).c_str());
    std::fclose(file);
    const char* const override = std::getenv("GATEWAY");
    const std::string program =
      override == nullptr ? "target/platform/cactusgw-gateway" : override;
    const std::string log = LogFile();
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(program.c_str(),
            program.c_str(),
            "--settings",
            settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    mStatus.reset();
  }

  void Signal(int aSignal) const { kill(mPid, aSignal); }

  /// The status of the process if it has ended by now.
  std::optional<int> Ended()
  {
    int status = 0;
    if (!mStatus && mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      mStatus = status;
    }
    return mStatus;
  }

  bool WaitEnded(long aMs)
  {
    const long until = NowMs() + aMs;
    while (!Ended() && NowMs() < until) {
      SleepMs(5);
    }
    return Ended().has_value();
  }

  bool WaitReady(long aMs)
  {
    const long until = NowMs() + aMs;
    while (NowMs() < until && !Ended()) {
      const std::unique_ptr<Channel> channel = Channel::Connect(mReady);
      if (channel && channel->Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
        const std::optional<Message> answer = channel->Read(NowMs() + 1000);
        if (answer && answer->Status() == 200) {
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }

  void Kill()
  {
    if (mPid > 0 && !Ended()) {
      kill(mPid, SIGKILL);
      int status = 0;
      waitpid(mPid, &status, 0);
      mStatus = status;
    }
  }

private:
  std::string mName;
  std::string mFolder;
  int mFront;
  int mReady;
  int mMetrics;
  int mPeer;
  int mStore;
  pid_t mPid = -1;
  std::optional<int> mStatus;
};

inline std::string
DescribeEnd(int aStatus)
{
  if (WIFSIGNALED(aStatus)) {
    return "killed by signal " + std::to_string(WTERMSIG(aStatus));
  }
  return "exit code " + std::to_string(WEXITSTATUS(aStatus));
}

/// A folder that is removed at the end, unless KEEP is set.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    char name[] = "/tmp/cactusgw-review-XXXXXX";
    if (mkdtemp(name) == nullptr) {
      std::perror("mkdtemp");
      std::exit(kCouldNotRun);
    }
    mPath = name;
  }
  ~TemporaryFolder() { Remove(); }

  void Remove() const
  {
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + mPath + "'";
      static_cast<void>(!std::system(command.c_str()));
    }
  }
  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

/// A route of the configuration, as the operator writes it.
inline std::string
Route(const std::string& aName,
      const std::string& aPrefix,
      const std::string& aKind,
      const std::string& aService,
      int aTimeoutMs,
      int aTargetMs,
      int aAttempts,
      bool aCanResume,
      bool aIsPublic)
{
  return "{\"name\":\"" + aName +
         "\",\"host\":\"site.example\",\"pathPrefix\":\"" + aPrefix +
         "\",\"kind\":\"" + aKind +
         "\",\"timeoutMs\":" + std::to_string(aTimeoutMs) +
         ",\"targetLatencyMs\":" + std::to_string(aTargetMs) +
         ",\"priority\":1,\"service\":\"" + aService +
         "\",\"attempts\":" + std::to_string(aAttempts) +
         ",\"public\":" + (aIsPublic ? "true" : "false") +
         ",\"stickySessions\":false,\"streamResumption\":" +
         (aCanResume ? "true" : "false") +
         ",\"targetGapMs\":180,\"allowedRegions\":[]}";
}

/// A service without an engine, unless one is given.
inline std::string
Service(const std::string& aName, const std::string& aEngine = "")
{
  return "{\"name\":\"" + aName +
         "\",\"healthCheckPath\":\"/health\",\"maxConnections\":302,"
         "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,"
         "\"coldPerS\":0.0" +
         (aEngine.empty() ? "" : ",\"engine\":" + aEngine) + "}";
}

inline std::string
Config(int aVersion,
       const std::string& aRoutes,
       const std::string& aServices,
       const std::string& aTenants = "")
{
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" +
         aRoutes + "],\"services\":[" + aServices +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" +
         aTenants + "]}";
}

inline std::string
Request(const std::string& aMethod,
        const std::string& aPath,
        const std::string& aId,
        int aDeadlineMs,
        const std::string& aMore = "",
        const std::string& aBody = "")
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: site.example\r\nX-Cactusgw-Request-Id: " + aId +
         "\r\nX-Cactusgw-Deadline-Milliseconds: " +
         std::to_string(aDeadlineMs) + "\r\n" + aMore +
         (aMethod == "GET"
            ? ""
            : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

} // namespace review

#endif // CACTUSGW_REVIEW_HARNESS_HPP
