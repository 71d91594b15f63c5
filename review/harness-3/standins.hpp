#ifndef CACTUSGW_REVIEW_HARNESS_3_STANDINS_HPP
#define CACTUSGW_REVIEW_HARNESS_3_STANDINS_HPP

/// Stand-ins of the platform's store, of replicas and of consumers for the
/// cases of the third review, and a gateway as a process of its own. All
/// sockets are on loopback addresses.

#include <boost/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

inline const TimePoint gStart = Clock::now();

/// Milliseconds since the start of the scenario.
inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               gStart)
    .count();
}

inline std::int64_t
WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline void
SleepUntilMs(std::int64_t aMs)
{
  std::this_thread::sleep_until(gStart + std::chrono::milliseconds(aMs));
}

/// Writes lines with the time to record.txt.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
  {
    if (mFile == nullptr) {
      throw std::runtime_error("can't write " + aPath);
    }
  }
  ~Record() { std::fclose(mFile); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::fprintf(mFile, "%8.3f ", static_cast<double>(NowMs()) / 1000.0);
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::FILE* mFile;
  std::mutex mMutex;
};

/// An HTTP message without its first line's meaning.
struct Message
{
  std::string mFirst;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  std::string Target() const
  {
    const std::size_t begin = mFirst.find(' ') + 1;
    return mFirst.substr(begin, mFirst.find(' ', begin) - begin);
  }
  std::string Path() const
  {
    const std::string target = Target();
    return target.substr(0, target.find('?'));
  }
  /// A parameter of the query; empty if it is missing.
  std::string Parameter(const std::string& aName) const
  {
    const std::string target = Target();
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = std::min(target.find('&', at + 1), target.size());
      const std::string pair = target.substr(at + 1, end - at - 1);
      if (pair.compare(0, aName.size() + 1, aName + "=") == 0) {
        return pair.substr(aName.size() + 1);
      }
      at = end == target.size() ? std::string::npos : end;
    }
    return {};
  }
  int Status() const
  {
    const std::size_t at = mFirst.find(' ');
    return at == std::string::npos ? 0 : std::atoi(mFirst.c_str() + at + 1);
  }
};

/// A socket with a buffer of what was read.
class Channel
{
public:
  explicit Channel(int aFd)
    : mFd(aFd)
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Channel() { Close(false); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void Close(bool aReset)
  {
    const int fd = mFd.exchange(-1);
    if (fd < 0) {
      return;
    }
    if (aReset) {
      const linger option{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    close(fd);
  }
  /// Wakes a thread that reads or writes; it then sees the end.
  void Shutdown() { shutdown(mFd, SHUT_RDWR); }
  int Fd() const { return mFd; }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n =
        send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Reads more bytes. Returns 0 at the end, -1 on an error, -2 if nothing came
  /// in time.
  int Fill(std::int64_t aTimeoutMs)
  {
    pollfd input{ mFd, POLLIN, 0 };
    const int ready = poll(&input, 1, static_cast<int>(aTimeoutMs));
    if (ready == 0) {
      return -2;
    }
    char buf[16384];
    const ssize_t n = recv(mFd, buf, sizeof buf, 0);
    if (n > 0) {
      mBuffer.append(buf, static_cast<std::size_t>(n));
    }
    return n > 0 ? 1 : (n == 0 ? 0 : -1);
  }
  /// Whether the peer has closed the connection.
  bool IsClosed()
  {
    char c = 0;
    const ssize_t n = recv(mFd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  std::optional<Message> ReadHeader(std::int64_t aTimeoutMs)
  {
    std::size_t end = mBuffer.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (Fill(aTimeoutMs) <= 0) {
        return std::nullopt;
      }
      end = mBuffer.find("\r\n\r\n");
    }
    Message message;
    std::size_t at = mBuffer.find("\r\n");
    message.mFirst = mBuffer.substr(0, at);
    while (at < end) {
      const std::size_t next = mBuffer.find("\r\n", at + 2);
      const std::string line = mBuffer.substr(at + 2, next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.mHeaders.emplace_back(line.substr(0, colon), value);
      }
      at = next;
    }
    mBuffer.erase(0, end + 4);
    return message;
  }
  bool ReadBytes(std::size_t aCount, std::string& aTo, std::int64_t aTimeoutMs)
  {
    while (mBuffer.size() < aCount) {
      if (Fill(aTimeoutMs) <= 0) {
        return false;
      }
    }
    aTo += mBuffer.substr(0, aCount);
    mBuffer.erase(0, aCount);
    return true;
  }
  std::optional<std::string> ReadLine(std::int64_t aTimeoutMs)
  {
    std::size_t end = mBuffer.find("\r\n");
    while (end == std::string::npos) {
      if (Fill(aTimeoutMs) <= 0) {
        return std::nullopt;
      }
      end = mBuffer.find("\r\n");
    }
    std::string line = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 2);
    return line;
  }
  /// A request with its body.
  std::optional<Message> ReadRequest(std::int64_t aTimeoutMs)
  {
    std::optional<Message> message = ReadHeader(aTimeoutMs);
    if (!message) {
      return std::nullopt;
    }
    const std::string length = message->Header("Content-Length");
    if (!length.empty() && !ReadBytes(std::strtoul(length.c_str(), nullptr, 10),
                                      message->mBody,
                                      aTimeoutMs)) {
      return std::nullopt;
    }
    return message;
  }

private:
  std::atomic<int> mFd;
  std::string mBuffer;
};

inline sockaddr_in
AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline int
ListenOn(const std::string& aIp, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int
PortOf(int aFd)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A free port of a loopback address, no two the same.
inline int
FreePort(const std::string& aIp)
{
  static std::set<int> taken;
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  while (true) {
    const int fd = ListenOn(aIp, 0);
    if (fd < 0) {
      throw std::runtime_error("no free port");
    }
    const int port = PortOf(fd);
    close(fd);
    if (taken.insert(port).second) {
      return port;
    }
  }
}

inline int
ConnectTo(const std::string& aIp, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Accepts connections and serves each with a thread of its own.
class Listener
{
public:
  using Serve = std::function<void(Channel&)>;

  Listener(std::string aIp, int aPort, Serve aServe)
    : mIp(std::move(aIp))
    , mPort(aPort)
    , mServe(std::move(aServe))
  {
  }
  ~Listener()
  {
    Stop(true);
    std::unique_lock<std::mutex> lock(mMutex);
    mIdle.wait_for(
      lock, std::chrono::seconds(10), [this] { return mThreads == 0; });
  }

  void Open()
  {
    const int fd = ListenOn(mIp, mPort);
    if (fd < 0) {
      throw std::runtime_error("can't listen on port " + std::to_string(mPort));
    }
    mFd = fd;
    mAccepting = std::thread([this, fd] { Accept(fd); });
  }
  /// Closes the port and all connections.
  void Stop(bool aReset)
  {
    const int fd = mFd.exchange(-1);
    if (fd >= 0) {
      shutdown(fd, SHUT_RDWR);
      mAccepting.join();
      close(fd);
    }
    CloseAll(aReset);
  }
  void CloseAll(bool aReset)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (Channel* const channel : mChannels) {
      if (aReset) {
        const linger option{ 1, 0 };
        setsockopt(
          channel->Fd(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
      }
      channel->Shutdown();
    }
  }

private:
  void Accept(int aFd)
  {
    while (true) {
      const int fd = accept4(aFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (mFd < 0) {
          return;
        }
        continue;
      }
      const std::lock_guard<std::mutex> lock(mMutex);
      ++mThreads;
      std::thread([this, fd] { Run(fd); }).detach();
    }
  }
  void Run(int aFd)
  {
    {
      Channel channel(aFd);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mChannels.insert(&channel);
      }
      mServe(channel);
      const std::lock_guard<std::mutex> lock(mMutex);
      mChannels.erase(&channel);
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    --mThreads;
    mIdle.notify_all();
  }

  std::string mIp;
  int mPort;
  Serve mServe;
  std::atomic<int> mFd{ -1 };
  std::thread mAccepting;
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::set<Channel*> mChannels;
  int mThreads = 0;
};

/// The platform's store, form "objects".
class Store
{
public:
  struct Object
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    json::value mSpecification;
    json::value mStatus;
  };
  using Objects = std::map<std::pair<std::string, std::string>, Object>;
  struct Copy
  {
    Objects mObjects;
    std::uint64_t mRevision = 0;
  };

  explicit Store(std::string aIp)
    : mIp(std::move(aIp))
    , mPort(FreePort(mIp))
    , mListener(mIp, mPort, [this](Channel& aChannel) { Serve(aChannel); })
  {
    mListener.Open();
  }
  ~Store()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mIsEnding = true;
    }
    mChanged.notify_all();
  }

  std::string Address() const { return mIp + ":" + std::to_string(mPort); }

  /// Writes for the operator or a replica. Returns when it is acknowledged.
  void Put(const std::string& aKind,
           const std::string& aName,
           json::value aSpecification)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Object& object = mObjects[{ aKind, aName }];
    if (object.mRevision != 0 && object.mSpecification == aSpecification) {
      return;
    }
    object.mRevision = ++mRevision;
    object.mCreated = object.mCreated == 0 ? mRevision : object.mCreated;
    object.mSpecification = std::move(aSpecification);
    AddEvent(aKind, aName, object, false);
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Erase(aKind, aName);
  }
  bool Holds(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mObjects.contains({ aKind, aName });
  }

  /// The store is down: calls get no answer until it is back.
  void SetDown(bool aIsDown)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mIsDown = aIsDown;
    }
    mChanged.notify_all();
  }
  bool IsDown()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mIsDown;
  }
  /// All channels that are open now go silent for good; new ones work.
  void SilenceOpenChannels()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mSilentBefore = mNextChannel;
  }

  /// When the last watch of a kind began; -1 if there was none.
  std::int64_t LastWatchMs(const std::string& aKind)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto it = mWatchedMs.find(aKind);
    return it == mWatchedMs.end() ? -1 : it->second;
  }

  Copy Save()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return { mObjects, mRevision };
  }
  /// Comes back from a copy: revisions are given out again, and the era rises.
  void Restore(const Copy& aCopy)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mObjects = aCopy.mObjects;
    mRevision = aCopy.mRevision;
    std::erase_if(mEvents, [this](const Event& aEvent) {
      return aEvent.mRevision > mRevision;
    });
    ++mEra;
    mListener.CloseAll(true);
    mChanged.notify_all();
  }

private:
  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    std::string mName;
    json::value mValue;
  };

  static json::value Encode(const std::string& aName, const Object& aObject)
  {
    return json::object{ { "metadata",
                           json::object{ { "name", aName },
                                         { "revision", aObject.mRevision },
                                         { "created", aObject.mCreated },
                                         { "finalizers", json::array{} },
                                         { "deleting", false } } },
                         { "specification", aObject.mSpecification },
                         { "status", aObject.mStatus } };
  }
  void AddEvent(const std::string& aKind,
                const std::string& aName,
                const Object& aObject,
                bool aIsTombstone)
  {
    mEvents.push_back({ mRevision,
                        aKind,
                        aName,
                        json::object{ { "tombstone", aIsTombstone },
                                      { "object", Encode(aName, aObject) } } });
    mChanged.notify_all();
  }
  void Erase(const std::string& aKind, const std::string& aName)
  {
    const auto it = mObjects.find({ aKind, aName });
    if (it == mObjects.end()) {
      return;
    }
    Object object = it->second;
    mObjects.erase(it);
    object.mRevision = ++mRevision;
    AddEvent(aKind, aName, object, true);
  }

  void Serve(Channel& aChannel)
  {
    std::uint64_t number = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      number = mNextChannel++;
    }
    while (const std::optional<Message> request = aChannel.ReadRequest(-1)) {
      const std::optional<std::string> answer =
        Answer(*request, number, aChannel);
      if (!answer || !aChannel.Send(*answer)) {
        return;
      }
    }
  }
  bool IsSilent(std::uint64_t aNumber) const
  {
    return mIsDown || aNumber < mSilentBefore;
  }
  static std::string Response(int aStatus,
                              const json::value& aBody,
                              std::uint64_t aEra)
  {
    const std::string body = json::serialize(aBody);
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " X\r\nContent-Type: application/json\r\nStore-Era: " +
           std::to_string(aEra) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  /// Returns nullopt once the channel is to be closed.
  std::optional<std::string> Answer(const Message& aRequest,
                                    std::uint64_t aNumber,
                                    Channel& aChannel)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    const std::string watch = aRequest.Parameter("watch");
    const TimePoint end =
      Clock::now() + std::chrono::milliseconds(std::strtol(
                       aRequest.Parameter("waitMs").c_str(), nullptr, 10));
    if (!watch.empty()) {
      mWatchedMs[KindOf(aRequest)] = NowMs();
    }
    SleepLocked(lock, 4);
    while (true) {
      if (mIsEnding || aChannel.IsClosed()) {
        return std::nullopt;
      }
      if (IsSilent(aNumber)) {
        mChanged.wait_for(lock, std::chrono::milliseconds(50));
        continue;
      }
      if (watch.empty()) {
        return Handle(aRequest);
      }
      const std::uint64_t from = std::strtoull(watch.c_str(), nullptr, 10);
      if (from > mRevision) {
        return Response(410, json::object{}, mEra);
      }
      json::array events;
      for (const Event& event : mEvents) {
        if (event.mRevision > from && event.mKind == KindOf(aRequest)) {
          events.push_back(event.mValue);
        }
      }
      if (!events.empty() || Clock::now() >= end) {
        return Response(200,
                        json::object{ { "events", std::move(events) },
                                      { "storeRevision", mRevision } },
                        mEra);
      }
      mChanged.wait_for(lock, std::chrono::milliseconds(50));
    }
  }
  static void SleepLocked(std::unique_lock<std::mutex>& aLock, int aMs)
  {
    aLock.unlock();
    SleepMs(aMs);
    aLock.lock();
  }
  static std::vector<std::string> PartsOf(const Message& aRequest)
  {
    std::vector<std::string> parts;
    const std::string path = aRequest.Path();
    std::size_t at = std::strlen("/v1/objects");
    while (at < path.size()) {
      const std::size_t end = std::min(path.find('/', at + 1), path.size());
      parts.push_back(path.substr(at + 1, end - at - 1));
      at = end;
    }
    return parts;
  }
  static std::string KindOf(const Message& aRequest)
  {
    const std::vector<std::string> parts = PartsOf(aRequest);
    return parts.empty() ? "" : parts.front();
  }
  std::string Handle(const Message& aRequest)
  {
    const std::vector<std::string> parts = PartsOf(aRequest);
    const std::string method = aRequest.Method();
    if (parts.empty()) {
      return Response(404, json::object{}, mEra);
    }
    const std::string& kind = parts[0];
    if (method == "GET" && parts.size() == 1) {
      json::array items;
      for (const auto& [key, object] : mObjects) {
        if (key.first == kind) {
          items.push_back(Encode(key.second, object));
        }
      }
      return Response(200,
                      json::object{ { "items", std::move(items) },
                                    { "more", false },
                                    { "storeRevision", mRevision } },
                      mEra);
    }
    json::error_code ec;
    const json::value body =
      aRequest.mBody.empty() ? json::value{} : json::parse(aRequest.mBody, ec);
    const json::object* const fields = body.if_object();
    std::string name = parts.size() > 1 ? parts[1] : "";
    std::uint64_t condition =
      std::strtoull(aRequest.Parameter("revision").c_str(), nullptr, 10);
    if (fields != nullptr && fields->contains("metadata")) {
      const json::object& metadata = fields->at("metadata").as_object();
      if (name.empty()) {
        name = std::string{ metadata.at("name").as_string() };
      }
      if (metadata.contains("revision")) {
        condition = metadata.at("revision").to_number<std::uint64_t>();
      }
    }
    const auto it = mObjects.find({ kind, name });
    if (method == "GET") {
      return it == mObjects.end()
               ? Response(404, json::object{}, mEra)
               : Response(200, Encode(name, it->second), mEra);
    }
    if (method == "POST") {
      if (it != mObjects.end()) {
        return Response(409, Encode(name, it->second), mEra);
      }
      Object& object = mObjects[{ kind, name }];
      object.mRevision = object.mCreated = ++mRevision;
      object.mSpecification = fields->at("specification");
      AddEvent(kind, name, object, false);
      return Response(200, Encode(name, object), mEra);
    }
    if (it == mObjects.end()) {
      return Response(404, json::object{}, mEra);
    }
    if (condition != 0 && condition != it->second.mRevision) {
      return Response(409, Encode(name, it->second), mEra);
    }
    if (method == "DELETE") {
      const json::value last = Encode(name, it->second);
      Erase(kind, name);
      return Response(200, last, mEra);
    }
    const bool isStatus = parts.size() > 2;
    json::value& part =
      isStatus ? it->second.mStatus : it->second.mSpecification;
    const json::value& wanted =
      fields->at(isStatus ? "status" : "specification");
    if (part != wanted) {
      part = wanted;
      it->second.mRevision = ++mRevision;
      AddEvent(kind, name, it->second, false);
    }
    return Response(200, Encode(name, it->second), mEra);
  }

  std::string mIp;
  int mPort;
  std::mutex mMutex;
  std::condition_variable mChanged;
  Objects mObjects;
  std::deque<Event> mEvents;
  std::uint64_t mRevision = 100;
  std::uint64_t mEra = 1;
  std::uint64_t mNextChannel = 0;
  std::uint64_t mSilentBefore = 0;
  std::map<std::string, std::int64_t> mWatchedMs;
  bool mIsDown = false;
  bool mIsEnding = false;
  Listener mListener;
};

/// A request that a replica has begun to run.
struct Run
{
  std::string mRequestId;
  std::int64_t mAtMs = 0;
  std::int64_t mBorn = 0;
  bool mIsDone = false;
};

/// A replica. Its settings may be changed between Crash() and Start().
class Replica
{
public:
  std::string mId;
  std::string mService;
  std::string mZone = "gent-a";
  std::string mVersion = "v1";
  int mSlots = 32;
  /// Requests that wait for a slot.
  int mQueue = 0;
  /// Time of an answer that is no stream.
  int mWorkMs = 30;
  int mEvents = 20;
  int mEventGapMs = 100;
  /// How long it stays cold after Start(), and what it does not bear while it
  /// is: it crashes when it gets so many requests in a second. 0 is none.
  int mColdMs = 0;
  int mUnbearablePerS = 0;
  /// Called once it has crashed under its load.
  std::function<void()> mOnOverload;

  Replica(std::string aId, std::string aService, const std::string& aIp)
    : mId(std::move(aId))
    , mService(std::move(aService))
    , mIp(aIp)
    , mPort(FreePort(aIp))
    , mListener(aIp, mPort, [this](Channel& aChannel) { Serve(aChannel); })
  {
  }

  std::string Address() const { return mIp + ":" + std::to_string(mPort); }
  void Start()
  {
    mBorn = WallMs();
    mRunning = 0;
    mIsUp = true;
    mListener.Open();
  }
  /// All connections are reset, and the port is closed.
  void Crash()
  {
    mIsUp = false;
    mListener.Stop(true);
  }
  std::int64_t Born() const { return mBorn; }
  json::value Entry(const char* aState = "ready") const
  {
    return json::object{ { "service", mService },
                         { "address", Address() },
                         { "zone", mZone },
                         { "version", mVersion },
                         { "slots", mSlots },
                         { "state", aState },
                         { "coldRemainingMs", mColdMs },
                         { "stage", "combined" },
                         { "models", json::array{} },
                         { "sequence", 1 },
                         { "born", mBorn.load() } };
  }
  std::vector<Run> Runs()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  static std::string Plain(int aStatus,
                           const std::string& aHeaders,
                           const std::string& aBody)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }
  void Serve(Channel& aChannel)
  {
    const std::int64_t born = mBorn;
    while (const std::optional<Message> request = aChannel.ReadRequest(-1)) {
      if (!mIsUp || !ServeRequest(*request, born, aChannel)) {
        return;
      }
    }
  }
  bool ServeRequest(const Message& aRequest,
                    std::int64_t aBorn,
                    Channel& aChannel)
  {
    const std::string path = aRequest.Path();
    if (path == "/v1/report") {
      return aChannel.Send(
        Plain(200,
              "Content-Type: application/json\r\n",
              json::serialize(json::object{ { "stage", "combined" },
                                            { "state", "ready" },
                                            { "born", aBorn },
                                            { "runs", json::array{} } })));
    }
    if (path.rfind("/v1/", 0) == 0) {
      return aChannel.Send(Plain(404, "", ""));
    }
    const std::string id = aRequest.Header("X-Cactusgw-Request-Id");
    const std::string echo = "X-Cactusgw-Request-Id: " + id + "\r\n";
    if (aRequest.Header("X-Cactusgw-Expected-Replica") != mId) {
      return aChannel.Send(
        Plain(421, echo + "X-Cactusgw-Replica-Id: " + mId + "\r\n", ""));
    }
    if (mRunning >= mSlots + mQueue) {
      return aChannel.Send(
        Plain(503, echo + "X-Cactusgw-Not-Executed: 1\r\n", ""));
    }
    ++mRunning;
    std::size_t at = 0;
    bool isOverloaded = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      at = mRuns.size();
      mRuns.push_back({ id, NowMs(), aBorn, false });
      const auto lately =
        std::count_if(mRuns.begin(), mRuns.end(), [&](const Run& aRun) {
          return aRun.mBorn == aBorn && aRun.mAtMs > NowMs() - 1000;
        });
      isOverloaded = mUnbearablePerS > 0 && lately >= mUnbearablePerS &&
                     WallMs() < aBorn + mColdMs && mIsUp.exchange(false);
    }
    if (isOverloaded) {
      mOnOverload();
      return false;
    }
    const std::string seal = "X-Cactusgw-Response-Seal: seal-" + id + "\r\n";
    const bool sent = path.rfind("/draft/", 0) == 0
                        ? Stream(aRequest, echo + seal, aBorn, aChannel)
                        : Work(echo + seal, aBorn, aChannel);
    if (aBorn == mBorn) {
      --mRunning;
    }
    if (sent) {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRuns[at].mIsDone = true;
    }
    return sent;
  }
  bool Work(const std::string& aHeaders, std::int64_t aBorn, Channel& aChannel)
  {
    SleepMs(mWorkMs);
    if (!mIsUp || aBorn != mBorn) {
      return false;
    }
    return aChannel.Send(Plain(
      200, aHeaders + "Content-Type: text/plain\r\n", "done by " + mId + "\n"));
  }
  bool Stream(const Message& aRequest,
              const std::string& aHeaders,
              std::int64_t aBorn,
              Channel& aChannel)
  {
    const std::string version = mVersion;
    if (!aChannel.Send("HTTP/1.1 200 OK\r\n" + aHeaders +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    const std::string last = aRequest.Header("Last-Event-Id");
    int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    for (; event <= mEvents; ++event) {
      SleepMs(mEventGapMs);
      if (!mIsUp || aBorn != mBorn || aChannel.IsClosed()) {
        return false;
      }
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + version + " " + mId + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!aChannel.Send(size + text + "\r\n")) {
        return false;
      }
    }
    return aChannel.Send("0\r\n\r\n");
  }

  std::string mIp;
  int mPort;
  std::atomic<std::int64_t> mBorn{ 0 };
  std::atomic<int> mRunning{ 0 };
  std::atomic<bool> mIsUp{ false };
  std::mutex mMutex;
  std::vector<Run> mRuns;
  Listener mListener;
};

/// A gateway, started with the command of the deploy file.
class GatewayProcess
{
public:
  std::string mName;
  std::string mIp;
  int mFrontPort = 0;
  int mReadyPort = 0;
  /// Limit of its descriptors; 0 leaves the one of this process.
  rlim_t mDescriptors = 0;

  GatewayProcess(std::string aName,
                 std::string aIp,
                 std::string aZone,
                 std::string aStore,
                 std::string aFolder)
    : mName(std::move(aName))
    , mIp(std::move(aIp))
    , mFrontPort(FreePort(mIp))
    , mReadyPort(FreePort(mIp))
    , mZone(std::move(aZone))
    , mFolder(std::move(aFolder))
  {
    const auto listen = [&](int aPort) {
      return mIp + ":" + std::to_string(aPort);
    };
    const json::object settings{ { "vm", mName },
                                 { "dataCentre", mZone },
                                 { "regions",
                                   json::object{ { "gent-a", "be-north" },
                                                 { "namur-a", "be-south" },
                                                 { "gent-b", "be-north" } } },
                                 { "listen", listen(mFrontPort) },
                                 { "readyListen", listen(mReadyPort) },
                                 { "metricsListen", listen(FreePort(mIp)) },
                                 { "peerListen", listen(FreePort(mIp)) },
                                 { "tunnelListen", listen(FreePort(mIp)) },
                                 { "platform", aStore },
                                 { "capacity", 0.25 },
                                 { "linkMbps", 1000.0 },
                                 { "memoryMb", 110 },
                                 { "features",
                                   json::array{ "base",
                                                "drain",
                                                "config",
                                                "cost",
                                                "retry",
                                                "recover",
                                                "engine",
                                                "stream",
                                                "tenants",
                                                "places",
                                                "platform" } },
                                 { "bounds",
                                   json::object{ { "keyFreshnessMs", 5000 },
                                                 { "homeFreshnessMs", 2500 },
                                                 { "retryRatio", 0.2 },
                                                 { "retryExtra", 54 },
                                                 { "retryWindowS", 10 },
                                                 { "coldFactor", 1.5 },
                                                 { "coldExtra", 5 } } },
                                 { "unreadyMs", 2500 },
                                 { "stopS", 8 } };
    mSettingsPath = mFolder + "/" + mName + ".json";
    std::FILE* const file = std::fopen(mSettingsPath.c_str(), "w");
    const std::string text = json::serialize(settings);
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }
  ~GatewayProcess() { End(SIGKILL); }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void Start()
  {
    const std::string log = mFolder + "/" + mName + ".log";
    const std::string program = "target/platform/cactusgw-gateway";
    const pid_t pid = fork();
    if (pid == 0) {
      // Ends with the scenario, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (mDescriptors > 0) {
        const rlimit limit{ mDescriptors, mDescriptors };
        setrlimit(RLIMIT_NOFILE, &limit);
      }
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(program.c_str(),
            program.c_str(),
            "--settings",
            mSettingsPath.c_str(),
            nullptr);
      _exit(127);
    }
    if (pid < 0) {
      throw std::runtime_error("fork failed");
    }
    mPid = pid;
  }
  /// Sends a signal to the process, if it is still the one that was started.
  bool Signal(int aSignal)
  {
    if (mPid <= 0 || waitpid(mPid, nullptr, WNOHANG) != 0) {
      mPid = -1;
      return false;
    }
    return kill(mPid, aSignal) == 0;
  }
  void End(int aSignal)
  {
    if (Signal(aSignal)) {
      waitpid(mPid, nullptr, 0);
    }
    mPid = -1;
  }
  /// A figure of the process's status, in kB; -1 if it can't be read.
  long StatusKb(const std::string& aName) const
  {
    std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.compare(0, aName.size() + 1, aName + ":") == 0) {
        return std::strtol(line.c_str() + aName.size() + 1, nullptr, 10);
      }
    }
    return -1;
  }
  bool IsRunning()
  {
    if (mPid > 0 && waitpid(mPid, &mEnd, WNOHANG) != 0) {
      mPid = -1;
    }
    return mPid > 0;
  }
  /// How the process ended that IsRunning() found ended.
  std::string EndText() const
  {
    return WIFSIGNALED(mEnd) ? "signal " + std::to_string(WTERMSIG(mEnd))
                             : "code " + std::to_string(WEXITSTATUS(mEnd));
  }
  bool IsReady() const
  {
    const int fd = ConnectTo(mIp, mReadyPort);
    if (fd < 0) {
      return false;
    }
    Channel channel(fd);
    channel.Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::optional<Message> answer = channel.ReadHeader(1000);
    return answer && answer->Status() == 200;
  }
  bool WaitUntilReady(std::int64_t aTimeoutMs) const
  {
    const std::int64_t end = NowMs() + aTimeoutMs;
    while (NowMs() < end) {
      if (IsReady()) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }

private:
  std::string mZone;
  std::string mFolder;
  std::string mSettingsPath;
  pid_t mPid = -1;
  int mEnd = 0;
};

/// What a consumer saw of one attempt.
struct Answer
{
  std::string mRequestId;
  std::int64_t mSentMs = 0;
  std::int64_t mEndMs = 0;
  /// 0 if the channel ended without a status.
  int mStatus = 0;
  bool mIsComplete = false;
  std::string mBody;
};

/// Sends one request on a new channel and reads the answer. Returns early with
/// what there is when the consumer's time is over.
inline Answer
Ask(const GatewayProcess& aGateway,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aRequestId,
    std::int64_t aTimeMs,
    const std::string& aHeaders,
    const std::string& aBody)
{
  Answer answer;
  answer.mRequestId = aRequestId;
  answer.mSentMs = NowMs();
  const int fd = ConnectTo(aGateway.mIp, aGateway.mFrontPort);
  if (fd < 0) {
    answer.mEndMs = NowMs();
    return answer;
  }
  Channel channel(fd);
  channel.Send(
    aMethod + " " + aPath + " HTTP/1.1\r\nHost: dossier.example\r\n" +
    "X-Cactusgw-Request-Id: " + aRequestId + "\r\n" +
    "X-Cactusgw-Deadline-Milliseconds: " + std::to_string(aTimeMs) +
    "\r\nAuthorization: Bearer key-one\r\n" + aHeaders +
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  const auto left = [&] {
    return std::max<std::int64_t>(1, answer.mSentMs + aTimeMs - NowMs());
  };
  const std::optional<Message> header = channel.ReadHeader(left());
  if (header) {
    answer.mStatus = header->Status();
    const std::string length = header->Header("Content-Length");
    if (!length.empty()) {
      answer.mIsComplete = channel.ReadBytes(
        std::strtoul(length.c_str(), nullptr, 10), answer.mBody, left());
    } else {
      while (const std::optional<std::string> line = channel.ReadLine(left())) {
        const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
        std::string chunk;
        if (!channel.ReadBytes(size + 2, chunk, left())) {
          break;
        }
        answer.mBody += chunk.substr(0, size);
        if (size == 0) {
          answer.mIsComplete = true;
          break;
        }
      }
    }
  }
  answer.mEndMs = NowMs();
  return answer;
}

/// Sends requests at a steady rate, each with a thread of its own.
class Traffic
{
public:
  using Send = std::function<Answer(std::uint64_t)>;

  Traffic(double aPerSecond, Send aSend)
    : mInterval(1000.0 / aPerSecond)
    , mSend(std::move(aSend))
    , mThread([this] { Run(); })
  {
  }
  ~Traffic() { Stop(); }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Ends the sending and waits for the answers.
  void Stop()
  {
    mIsStopping = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    std::unique_lock<std::mutex> lock(mMutex);
    mIdle.wait(lock, [this] { return mOpen == 0; });
  }
  std::vector<Answer> Answers()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mAnswers;
  }

private:
  void Run()
  {
    const double begin = static_cast<double>(NowMs());
    for (std::uint64_t n = 0; !mIsStopping; ++n) {
      SleepUntilMs(
        static_cast<std::int64_t>(begin + static_cast<double>(n) * mInterval));
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        ++mOpen;
      }
      std::thread([this, n] {
        Answer answer = mSend(n);
        const std::lock_guard<std::mutex> lock(mMutex);
        mAnswers.push_back(std::move(answer));
        --mOpen;
        mIdle.notify_all();
      }).detach();
    }
  }

  double mInterval;
  Send mSend;
  std::atomic<bool> mIsStopping{ false };
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::vector<Answer> mAnswers;
  int mOpen = 0;
  std::thread mThread;
};

/// One version of the configuration: a plain service, and one of engines.
inline json::value
Configuration(int aVersion, double aColdPerSecond)
{
  const auto route = [](const char* aName,
                        const char* aPrefix,
                        const char* aKind,
                        const char* aService,
                        int aTimeoutMs,
                        int aTargetMs,
                        int aAttempts,
                        bool aResumes) {
    return json::object{ { "name", aName },
                         { "host", "dossier.example" },
                         { "pathPrefix", aPrefix },
                         { "kind", aKind },
                         { "timeoutMs", aTimeoutMs },
                         { "targetLatencyMs", aTargetMs },
                         { "priority", 1 },
                         { "service", aService },
                         { "attempts", aAttempts },
                         { "public", false },
                         { "stickySessions", aResumes },
                         { "streamResumption", aResumes },
                         { "targetGapMs", 180 },
                         { "allowedRegions", json::array{} } };
  };
  const json::object engine{ { "slots", 32 },       { "cacheTokens", 34297 },
                             { "kvBytes", 262144 }, { "linkMbps", 38000.0 },
                             { "moves", false },    { "backups", false } };
  return json::object{
    { "version", aVersion },
    { "routes",
      json::array{
        route(
          "draft", "/draft/", "streaming", "assessor-llm", 6000, 1500, 2, true),
        route(
          "submit", "/submit/", "unsafe", "dossier-app", 4000, 250, 1, false),
        route(
          "lookup", "/lookup/", "safe", "dossier-app", 4000, 250, 2, false) } },
    { "services",
      json::array{ json::object{ { "name", "assessor-llm" },
                                 { "healthCheckPath", "/health" },
                                 { "maxConnections", 302 },
                                 { "coldStartS", 3.0 },
                                 { "coldPerS", aColdPerSecond },
                                 { "engine", engine } },
                   json::object{ { "name", "dossier-app" },
                                 { "healthCheckPath", "/health" },
                                 { "maxConnections", 302 },
                                 { "coldStartS", 3.0 },
                                 { "coldPerS", aColdPerSecond } } } },
    { "tenants",
      json::array{ json::object{ { "name", "tenant-one" },
                                 { "apiKeys", json::array{ "key-one" } } } } },
    { "limits",
      json::object{ { "maxHeaderBytes", 16384 },
                    { "maxBodyBytes", 1048576 },
                    { "headerTimeoutMs", 3000 },
                    { "idleTimeoutMs", 15000 } } }
  };
}

/// A temporary folder; kept for a look at the logs if KEEP is set.
class Folder
{
public:
  Folder()
  {
    char path[] = "/tmp/cactusgw-review-XXXXXX";
    if (mkdtemp(path) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    mPath = path;
  }
  ~Folder()
  {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(mPath, ec);
    } else {
      std::printf("%s\n", mPath.c_str());
    }
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string{ value } != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

} // namespace review

#endif // CACTUSGW_REVIEW_HARNESS_3_STANDINS_HPP
