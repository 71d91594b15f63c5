#include "cactusgw/messaging/message_socket.hpp"
#include "free_address.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

namespace cactusgw::test {

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

} // namespace cactusgw::test
