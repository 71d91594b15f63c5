#include "served_over_tcp.hpp"
#include "spawned_gateway.hpp"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr std::size_t kSenders = 30;
constexpr std::size_t kMiB = std::size_t{ 1024 } * 1024;
/// Nine tenths of a limit of 110 MB.
constexpr long kMaxPeakKiB = 99 * 1000 * 1000 / 1024;

/// The greeting of a ZMTP 3.0 peer without security, and its READY command.
std::string
Greeting()
{
  std::string text{ "\xff\0\0\0\0\0\0\0\0\x7f\3\0NULL", 16 };
  text.resize(64, '\0');
  const std::string ready =
    std::string{ "\5READY\xbSocket-Type\0\0\0\6DEALER", 28 };
  return text + '\4' + static_cast<char>(ready.size()) + ready;
}

/// A frame's head: the MORE flag, and the length in eight bytes.
std::string
FrameHead(std::uint64_t aBytes, bool aHasMore)
{
  std::string head{ aHasMore ? '\3' : '\2' };
  constexpr int kTopByte = 56;
  constexpr int kBitsPerByte = 8;
  for (int i = kTopByte; i >= 0; i -= kBitsPerByte) {
    head += static_cast<char>(aBytes >> static_cast<unsigned>(i));
  }
  return head;
}

/// Sends until all is sent, the peer closes or takes nothing for 5 s.
void
SendAll(int aSocket, const std::string& aText)
{
  ssize_t n = 0;
  for (std::size_t at = 0; n >= 0 && at < aText.size();
       at += static_cast<std::size_t>(n)) {
    n = send(aSocket, aText.data() + at, aText.size() - at, MSG_NOSIGNAL);
    if (n < 0) {
      return;
    }
  }
}

/// Frames before the READY of the other side would end the connection.
void
ShakeHands(int aSocket)
{
  SendAll(aSocket, Greeting());
  std::string received;
  std::array<char, 256> buf{};
  ssize_t n = 1;
  while (n > 0 && received.find("READY") == std::string::npos) {
    n = recv(aSocket, buf.data(), buf.size(), 0);
    received.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
  }
  EXPECT_GT(n, 0);
}

/// Sends the text on all connections, and asks for a response after each.
/// @return the peak of the gateway
long
PeakAfter(const std::string& aText, std::size_t aSenders)
{
  const SpawnSettings settings = SpawnSettings::Free();
  const ScratchFile file{ settings.Text() };
  Pipe output;
  SpawnedGateway gateway{ file.Path(), output.mWriter };
  output.CloseWriter();
  EXPECT_NE(output.ReadUntil("event=started"), "");
  std::vector<int> senders;
  for (std::size_t i = 0; i < aSenders; ++i) {
    senders.push_back(ConnectWhenListening(settings.mPeerListen));
    ShakeHands(senders.back());
    SendAll(senders.back(), aText);
    EXPECT_EQ(Get(settings.mReadyListen, "/healthz").substr(0, 9), "HTTP/1.1 ");
  }
  const long peak = gateway.PeakKiB();
  for (const int sender : senders) {
    close(sender);
  }
  gateway.Signal(SIGTERM);
  constexpr int kStopMs = 10000;
  EXPECT_EQ(gateway.WaitForExit(kStopMs), 0);
  return peak;
}

} // namespace

// The memory for a frame was taken by its declared length, on each connection.
TEST(PeerNoiseTest, FramesThatStayIncompleteTakeLittleMemory)
{
  constexpr std::size_t kDeclared = 16 * kMiB;
  const long peak = PeakAfter(
    FrameHead(kDeclared, false) + std::string(kDeclared - 1, 'x'), kSenders);
  EXPECT_GT(peak, 0);
  EXPECT_LT(peak, kMaxPeakKiB);
}

// Messages that are none were queued without a bound that fits the memory.
TEST(PeerNoiseTest, MessagesThatAreNoneTakeLittleMemory)
{
  constexpr std::size_t kBytes = kMiB / 4;
  constexpr std::size_t kMessages = 64;
  std::string text;
  for (std::size_t i = 0; i < kMessages; ++i) {
    text += FrameHead(kBytes, false) + std::string(kBytes, 'x');
  }
  const long peak = PeakAfter(text, kSenders);
  EXPECT_GT(peak, 0);
  EXPECT_LT(peak, kMaxPeakKiB);
}

// A message of very many frames is held until its last one arrives.
TEST(PeerNoiseTest, AMessageOfManyFramesTakesLittleMemory)
{
  constexpr std::size_t kBytes = kMiB / 16;
  constexpr std::size_t kFrames = 2560;
  std::string text;
  for (std::size_t i = 0; i < kFrames; ++i) {
    text += FrameHead(kBytes, true) + std::string(kBytes, 'x');
  }
  const long peak = PeakAfter(text, 1);
  EXPECT_GT(peak, 0);
  EXPECT_LT(peak, kMaxPeakKiB);
}

} // namespace cactusgw::test
