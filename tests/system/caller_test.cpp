#include "cluster.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace cactusgw {
namespace {

namespace json = boost::json;
using testing_support::Answer;
using testing_support::Cluster;

/// One VM and one engine, started once for all tests.
class CallerTest : public testing::Test
{
protected:
  static void SetUpTestSuite()
  {
    sCluster = new Cluster;
    sCluster->AddEngine("engine-1", "dc-1");
    sCluster->AddEngine("plain-1", "dc-1");
    sCluster->AddVm("vm-1", "dc-1");
    sCluster->SetLimit("maxBodyBytes", 4096);
    sCluster->SetLimit("maxHeaderBytes", 2048);
    sCluster->SetLimit("readHeaderMs", 500);
    sCluster->SetLimit("readBodyMs", 500);
    sCluster->Start();
    sCluster->WaitForCredits("vm-1");
  }

  static void TearDownTestSuite()
  {
    delete sCluster;
    sCluster = nullptr;
  }

  static std::string Address() { return sCluster->Vm("vm-1").mListen; }

  static Answer Post(const std::string& aTarget, const std::string& aBody)
  {
    return sCluster->Call(Address(), http::verb::post, aTarget, aBody);
  }

  /// Sends bytes as they are and returns all that comes back.
  static std::string SendRaw(const std::string& aBytes)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{ context };
    const std::string address = Address();
    const std::string port = address.substr(address.find(':') + 1);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(std::stoi(port)) });
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(aBytes), ec);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
    return answer;
  }

  static Cluster* sCluster;
};

Cluster* CallerTest::sCluster = nullptr;

constexpr const char* kChat =
  R"({"model":"model-1","messages":[{"role":"user","content":"tokens:6"}]})";

TEST_F(CallerTest, AChatIsAnsweredWhole)
{
  const Answer answer = Post("/v1/chat/completions", kChat);
  ASSERT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mVerdict, "ran");
  const json::value body = json::parse(answer.mBody);
  const json::value& choice = body.at("choices").as_array()[0];
  EXPECT_EQ(choice.at("message").at("content").as_string(),
            "t0 t1 t2 t3 t4 t5 ");
  EXPECT_EQ(choice.at("finish_reason").as_string(), "stop");
  EXPECT_EQ(body.at("usage").at("completion_tokens").as_int64(), 6);
}

TEST_F(CallerTest, AStreamedChatEndsWithTheClosingMarker)
{
  const Answer answer = Post("/v1/chat/completions",
                             R"({"model":"model-1","stream":true,
        "messages":[{"role":"user","content":"tokens:3"}]})");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_THAT(answer.mBody, testing::EndsWith("data: [DONE]\n\n"));
}

TEST_F(CallerTest, ModelsAreListed)
{
  const Answer answer =
    sCluster->Call(Address(), http::verb::get, "/v1/models", "");
  const json::value body = json::parse(answer.mBody);
  EXPECT_EQ(body.at("data").as_array()[0].at("id").as_string(), "model-1");
}

TEST_F(CallerTest, APlainServiceIsReachedWithAnyMethod)
{
  const Answer answer = sCluster->Call(
    Address(), http::verb::put, "/v1/services/portal/plain/bench", "oak");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_THAT(answer.mBody, testing::HasSubstr("oak"));
}

TEST_F(CallerTest, AnUnknownKeyIsUnauthorized)
{
  const Answer answer = sCluster->Call(
    Address(), http::verb::post, "/v1/chat/completions", kChat, "wrong");
  EXPECT_EQ(answer.mStatus, 401U);
  EXPECT_EQ(answer.mVerdict, "not-run");
}

TEST_F(CallerTest, AnUnknownModelIsNotFound)
{
  const Answer answer =
    Post("/v1/completions", R"({"model":"none","prompt":"x"})");
  EXPECT_EQ(answer.mStatus, 404U);
  EXPECT_EQ(answer.mVerdict, "not-run");
}

TEST_F(CallerTest, AnUnknownServiceIsNotFound)
{
  EXPECT_EQ(Post("/v1/services/none/x", "").mStatus, 404U);
}

TEST_F(CallerTest, AMalformedBodyIsRefusedWithItsMember)
{
  const Answer answer =
    Post("/v1/completions", R"({"model":"model-1","prompt":7})");
  EXPECT_EQ(answer.mStatus, 400U);
  const json::value body = json::parse(answer.mBody);
  EXPECT_EQ(body.at("detail").as_string(), "/prompt: must be a string");
  EXPECT_EQ(body.at("verdict").as_string(), "not-run");
  EXPECT_EQ(body.at("status").as_int64(), 400);
}

TEST_F(CallerTest, ABodyThatIsNotJsonIsRefused)
{
  EXPECT_EQ(Post("/v1/completions", "{").mStatus, 400U);
}

TEST_F(CallerTest, AnOversizedBodyIsRefused)
{
  EXPECT_EQ(Post("/v1/completions", std::string(5000, 'x')).mStatus, 413U);
}

TEST_F(CallerTest, AnOversizedHeaderIsRefused)
{
  const std::string answer = SendRaw(
    "GET /v1/models HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
  EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 431 "));
}

TEST_F(CallerTest, AHeaderThatDoesNotCompleteTimesOut)
{
  EXPECT_THAT(SendRaw("GET /v1/models HTTP/1.1\r\nX: "),
              testing::StartsWith("HTTP/1.1 408 "));
}

TEST_F(CallerTest, ABodyThatDoesNotCompleteTimesOut)
{
  EXPECT_THAT(
    SendRaw("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"),
    testing::StartsWith("HTTP/1.1 408 "));
}

TEST_F(CallerTest, WhatIsNotHttpIsABadRequest)
{
  EXPECT_THAT(SendRaw("nonsense\r\n\r\n"),
              testing::StartsWith("HTTP/1.1 400 "));
}

TEST_F(CallerTest, MetricsNeedTheOperatorsToken)
{
  const std::string address = sCluster->Vm("vm-1").mEntryOperator;
  const Answer refused =
    sCluster->Call(address, http::verb::get, "/metrics", "");
  EXPECT_EQ(refused.mStatus, 401U);
  EXPECT_THAT(sCluster->Metrics(address),
              testing::HasSubstr("cactusgw_requests_total"));
}

TEST_F(CallerTest, ARepeatWithTheSameKeyGetsTheFirstAnswer)
{
  const std::string target = "/v1/services/portal/plain/order";
  const Answer first = sCluster->Call(
    Address(), http::verb::post, target, "one", "test-key", "order-1");
  Answer second;
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    second = sCluster->Call(
      Address(), http::verb::post, target, "one", "test-key", "order-1");
    return second.mStatus == 200;
  }));
  EXPECT_EQ(second.mBody, first.mBody);
}

TEST_F(CallerTest, AKeyUsedWithAnotherRequestIsRefused)
{
  const std::string target = "/v1/services/portal/plain/other";
  sCluster->Call(
    Address(), http::verb::post, target, "one", "test-key", "order-2");
  const Answer answer = sCluster->Call(
    Address(), http::verb::post, target, "two", "test-key", "order-2");
  EXPECT_EQ(answer.mStatus, 422U);
  EXPECT_EQ(answer.mVerdict, "not-run");
}

} // namespace
} // namespace cactusgw
