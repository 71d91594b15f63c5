#include "channel.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cactusgw::soak {

namespace {

using Clock = std::chrono::steady_clock;
constexpr int kBacklog = 1024;
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Listens on the port, or on a free one; negative if it is in use.
int
Listen(int& aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return fd;
}

void
SendAtOnce(int aFd)
{
  const int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

long
NowMs()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
    .count();
}

void
SleepMs(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aMs });
}

std::string
AddressOf(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

int
FreePort()
{
  // Below the ports that outgoing connections take, which would otherwise hold
  // a gateway's port while it restarts.
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  static std::atomic<int> next = static_cast<int>(getpid()) * 97;
  while (true) {
    int port = kFirst + next++ % kCount;
    const int fd = Listen(port);
    if (fd >= 0) {
      close(fd);
      return port;
    }
  }
}

std::string
Message::Header(std::string_view aName) const
{
  const auto it =
    std::find_if(mHeaders.begin(), mHeaders.end(), [&](const auto& aHeader) {
      return aHeader.first.size() == aName.size() &&
             strncasecmp(aHeader.first.data(), aName.data(), aName.size()) == 0;
    });
  return it == mHeaders.end() ? std::string{} : it->second;
}

std::string
Message::Method() const
{
  return mLine.substr(0, mLine.find(' '));
}

std::string
Message::Target() const
{
  const std::size_t begin = mLine.find(' ') + 1;
  return mLine.substr(begin, mLine.find(' ', begin) - begin);
}

int
Message::Status() const
{
  const std::size_t space = mLine.find(' ');
  return space == std::string::npos ? 0 : std::atoi(&mLine[space + 1]);
}

std::unique_ptr<Channel>
Channel::Connect(int aPort, int aReceiveBuffer)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(int));
  }
  sockaddr_in address = Loopback(aPort);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  SendAtOnce(fd);
  return std::make_unique<Channel>(fd);
}

bool
Channel::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t n = send(mFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

void
Channel::HalfClose() const
{
  shutdown(mFd, SHUT_WR);
}

void
Channel::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

void
Channel::Close()
{
  if (mFd >= 0) {
    close(mFd);
    mFd = -1;
  }
}

bool
Channel::Fill(long aUntilMs)
{
  pollfd entry{ mFd, POLLIN, 0 };
  const long left = aUntilMs - NowMs();
  if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  const std::size_t held = mBuffer.size();
  mBuffer.resize(held + kReadBytes);
  const ssize_t n = recv(mFd, mBuffer.data() + held, kReadBytes, 0);
  mBuffer.resize(held + (n > 0 ? static_cast<std::size_t>(n) : 0));
  mIsClosedWell = n == 0;
  if (n > 0 && mPauseMs > 0) {
    SleepMs(mPauseMs);
  }
  return n > 0;
}

std::optional<Message>
Channel::ReadHeader(long aUntilMs)
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
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::size_t value =
      std::min(line.find_first_not_of(": ", colon), line.size());
    message.mHeaders.emplace_back(line.substr(0, colon), line.substr(value));
    at = lineEnd;
  }
  mBuffer.erase(0, end + 4);
  return message;
}

void
Channel::ReadBody(Message& aMessage, long aUntilMs, bool aIsAnswer)
{
  const std::string length = aMessage.Header("Content-Length");
  if (aMessage.Header("Transfer-Encoding") == "chunked") {
    aMessage.mIsWhole = ReadChunks(aMessage.mBody, aUntilMs);
  } else if (length.empty() && aIsAnswer) {
    while (Fill(aUntilMs)) {
    }
    aMessage.mIsWhole = mIsClosedWell;
    aMessage.mBody = std::exchange(mBuffer, {});
  } else {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (mBuffer.size() < size && Fill(aUntilMs)) {
    }
    aMessage.mIsWhole = mBuffer.size() >= size;
    aMessage.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
  }
}

std::optional<Message>
Channel::Read(long aUntilMs, bool aIsAnswer)
{
  std::optional<Message> message = ReadHeader(aUntilMs);
  if (message) {
    ReadBody(*message, aUntilMs, aIsAnswer);
  }
  return message;
}

bool
Channel::ReadChunks(std::string& aBody, long aUntilMs)
{
  while (true) {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n")) == std::string::npos) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    const std::size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
    while (mBuffer.size() < end + 2 + size + 2) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    aBody.append(mBuffer, end + 2, size);
    mBuffer.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

Listener::Listener(Handler aHandler)
  : mHandler(std::move(aHandler))
  , mFd(Listen(mPort))
{
  if (mFd < 0) {
    std::perror("soak: listen");
    std::exit(2);
  }
  std::thread{ [this] { Accept(); } }.detach();
}

void
Listener::SetHeld(bool aIsHeld)
{
  // The thread that accepts takes one more, and the backlog the others.
  constexpr int kFillers = 3;
  if (aIsHeld == mIsHeld) {
    return;
  }
  listen(mFd, aIsHeld ? 0 : kBacklog);
  mIsHeld = aIsHeld;
  mFillers.clear();
  for (int i = 0; aIsHeld && i < kFillers; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in address = Loopback(mPort);
    // Those beyond the backlog stay pending.
    static_cast<void>(
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    mFillers.push_back(std::make_unique<Channel>(fd));
    SleepMs(1);
  }
}

void
Listener::Accept()
{
  while (true) {
    const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
    while (mIsHeld) {
      SleepMs(1);
    }
    if (fd < 0) {
      SleepMs(1);
      continue;
    }
    SendAtOnce(fd);
    std::thread{
      [this, fd] {
        Channel channel{ fd };
        mHandler(channel);
      }
    }.detach();
  }
}

} // namespace cactusgw::soak
