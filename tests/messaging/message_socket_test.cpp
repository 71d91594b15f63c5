#include "cactusgw/messaging/message_socket.hpp"
#include "free_address.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <iomanip>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw::test {

namespace {

/// Ports of this machine from which a connection to a port of 127.0.0.1 is
/// being established.
std::vector<std::string>
ConnectingPorts(unsigned aPort)
{
  constexpr std::string_view kSynSent = "02";
  std::ostringstream target;
  target << "0100007F:" << std::hex << std::uppercase << std::setw(4)
         << std::setfill('0') << aPort;
  std::vector<std::string> ports;
  std::ifstream table{ "/proc/net/tcp" };
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields{ line };
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    fields >> slot >> local >> remote >> state;
    if (remote == target.str() && state == kSynSent) {
      ports.push_back(local);
    }
  }
  return ports;
}

} // namespace

// A faulty peer's message had any size, and was held in memory as a whole.
TEST(MessageSocketTest, AMessageBeyondTheLimitIsNotReceived)
{
  constexpr std::size_t kTooLarge = std::size_t{ 32 } << 20U;
  zmq::context_t zmq;
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  std::size_t received = 0;
  const Result<std::unique_ptr<MessageSocket>> listener = MessageSocket::Bind(
    zmq, context, address, [&](std::string_view, std::string_view aPayload) {
      received = aPayload.size();
      context.stop();
    });
  ASSERT_TRUE(listener);
  const auto connect = [&] {
    return MessageSocket::Connect(
      zmq, context, address, [](std::string_view, std::string_view) {});
  };
  const Result<std::unique_ptr<MessageSocket>> faulty = connect();
  ASSERT_TRUE(faulty);
  ASSERT_TRUE(faulty.value()->Send(std::string(kTooLarge, 'x')));
  // Another peer's messages arrive all the same, if the first one did not.
  const Result<std::unique_ptr<MessageSocket>> sound = connect();
  ASSERT_TRUE(sound);
  constexpr std::size_t kLargest = std::size_t{ 8 } << 20U;
  ASSERT_TRUE(sound.value()->Send(std::string(kLargest, 'x')));
  context.run_for(std::chrono::seconds{ 20 });
  EXPECT_EQ(received, kLargest);
}

// Senders on the listening socket are bound tightly, the responses they get
// aren't: the store's content is larger than what a sender may send.
TEST(MessageSocketTest, ATightlyBoundListenerSendsLargeResponses)
{
  constexpr std::int64_t kMaxReceivedBytes = std::int64_t{ 256 } * 1024;
  constexpr std::size_t kResponseBytes = std::size_t{ 2 } << 20U;
  zmq::context_t zmq;
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  std::unique_ptr<MessageSocket> listener;
  std::size_t requests = 0;
  Result<std::unique_ptr<MessageSocket>> bound = MessageSocket::Bind(
    zmq,
    context,
    address,
    [&](std::string_view aIdentity, std::string_view) {
      ++requests;
      listener->SendTo(aIdentity, std::string(kResponseBytes, 'x'));
    },
    { kMaxReceivedBytes, 4, 4 });
  ASSERT_TRUE(bound);
  listener = std::move(bound.value());
  std::size_t received = 0;
  const auto connect = [&] {
    return MessageSocket::Connect(
      zmq, context, address, [&](std::string_view, std::string_view aPayload) {
        received = aPayload.size();
        context.stop();
      });
  };
  const Result<std::unique_ptr<MessageSocket>> faulty = connect();
  ASSERT_TRUE(faulty);
  ASSERT_TRUE(faulty.value()->Send(std::string(kMaxReceivedBytes + 1, 'x')));
  const Result<std::unique_ptr<MessageSocket>> sound = connect();
  ASSERT_TRUE(sound);
  ASSERT_TRUE(sound.value()->Send("request"));
  context.run_for(std::chrono::seconds{ 20 });
  EXPECT_EQ(received, kResponseBytes);
  EXPECT_EQ(requests, 1U);
}

// After a partition a peer was connected to as late as the partition was long.
TEST(MessageSocketTest, GivesUpAttemptsToConnectThatHang)
{
  using Tcp = boost::asio::ip::tcp;
  zmq::context_t zmq;
  boost::asio::io_context context;
  // A queue of connections that is full leaves those that follow unanswered.
  Tcp::acceptor silent{ context };
  silent.open(Tcp::v4());
  silent.bind({ boost::asio::ip::address_v4::loopback(), 0 });
  silent.listen(0);
  Tcp::socket first{ context };
  first.connect(silent.local_endpoint());
  const std::string port = std::to_string(silent.local_endpoint().port());
  const Result<std::unique_ptr<MessageSocket>> socket = MessageSocket::Connect(
    zmq, context, "127.0.0.1:" + port, [](std::string_view, std::string_view) {
    });
  ASSERT_TRUE(socket);
  // Each attempt has a port of its own.
  std::set<std::string> attempts;
  for (int n = 0; n < 200 && attempts.size() < 2; ++n) {
    context.run_for(std::chrono::milliseconds{ 100 });
    const std::vector<std::string> ports =
      ConnectingPorts(silent.local_endpoint().port());
    attempts.insert(ports.begin(), ports.end());
  }
  EXPECT_EQ(attempts.size(), 2U);
}

} // namespace cactusgw::test
