#include "failure_fixture.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace cactusgw {
namespace {

namespace json = boost::json;

TEST_F(FailureTest, OneKeyOnTwoVmsRunsOnce)
{
  StartOneEngine("plain-1");
  const std::string target = "/v1/services/portal/plain/reserve";
  std::vector<Answer> answers(8);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    threads.emplace_back([&, i] {
      const std::string vm = i % 2 == 0 ? "vm-1" : "vm-2";
      answers[i] = mCluster.Call(mCluster.Vm(vm).mListen,
                                 http::verb::post,
                                 target,
                                 "bench 7",
                                 "test-key",
                                 "key-1");
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const json::value counters = mCluster.Counters("plain-1");
  EXPECT_EQ(counters.at("plainCalls").at("/plain/reserve").as_int64(), 1);
  for (const Answer& answer : answers) {
    const bool isAnswer = answer.mStatus == 200 && answer.mVerdict == "ran";
    const bool isInProgress =
      answer.mStatus == 409 && answer.mVerdict == "may-have-run";
    EXPECT_TRUE(isAnswer || isInProgress) << answer.mStatus;
  }
}

TEST_F(FailureTest, AKeyRunsOnceThoughThePlatformLosesItsAnswers)
{
  StartOneEngine("plain-1");
  mCluster.Control(mCluster.Platform(), R"({"loseAnswers":3})");
  const std::string target = "/v1/services/portal/plain/pay";
  for (const std::string vm : { "vm-1", "vm-2", "vm-1", "vm-2" }) {
    mCluster.Call(mCluster.Vm(vm).mListen,
                  http::verb::post,
                  target,
                  "12 euro",
                  "test-key",
                  "key-2");
  }
  const json::value counters = mCluster.Counters("plain-1");
  EXPECT_EQ(counters.at("plainCalls").at("/plain/pay").as_int64(), 1);
}

TEST_F(FailureTest, AKeyIsRefusedAsNotRunWhileThePlatformIsOut)
{
  StartOneEngine("plain-1");
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  const Answer answer = mCluster.Call(mCluster.Vm("vm-1").mListen,
                                      http::verb::post,
                                      "/v1/services/portal/plain/pay",
                                      "12 euro",
                                      "test-key",
                                      "key-3");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_EQ(answer.mVerdict, "not-run");
  EXPECT_NE(answer.mRetryAfter, "");
  EXPECT_TRUE(
    mCluster.Counters("plain-1").at("plainCalls").as_object().empty());
}

TEST_F(FailureTest, APostThatMayHaveRunIsNotSentAgain)
{
  StartOneEngine("plain-1");
  mCluster.Control(mCluster.Engine("plain-1").mAddress,
                   R"({"dieBeforeHeaders":1})");
  const Answer answer = mCluster.Call(mCluster.Vm("vm-1").mListen,
                                      http::verb::post,
                                      "/v1/services/portal/plain/notify",
                                      "hello");
  EXPECT_EQ(answer.mStatus, 502U);
  EXPECT_EQ(answer.mVerdict, "may-have-run");
  const json::value counters = mCluster.Counters("plain-1");
  EXPECT_EQ(counters.at("plainCalls").at("/plain/notify").as_int64(), 1);
}

TEST_F(FailureTest, AKeyWhoseVmDiedAfterSendingRunsNoSecondTime)
{
  StartOneEngine("plain-1");
  const std::string target = "/v1/services/portal/plain/reserve";
  mCluster.Signal("plain-1", SIGSTOP);
  std::thread first{ [&] {
    mCluster.Call(mCluster.Vm("vm-1").mListen,
                  http::verb::post,
                  target,
                  "bench 7",
                  "test-key",
                  "key-4");
  } };
  const bool wasSent = Cluster::WaitUntil([&] {
    const Answer answer = mCluster.Call(mCluster.Vm("vm-1").mEntryOperator,
                                        http::verb::get,
                                        "/status",
                                        "",
                                        "operator-token");
    return json::parse(answer.mBody).at("permitsInUse").as_int64() == 1;
  });
  EXPECT_TRUE(wasSent);
  mCluster.Signal("entry/vm-1", SIGKILL);
  mCluster.Signal("plain-1", SIGCONT);
  first.join();
  const Answer repeat = mCluster.Call(mCluster.Vm("vm-2").mListen,
                                      http::verb::post,
                                      target,
                                      "bench 7",
                                      "test-key",
                                      "key-4");
  EXPECT_EQ(repeat.mStatus, 409U);
  EXPECT_EQ(repeat.mVerdict, "may-have-run");
  const json::value counters = mCluster.Counters("plain-1");
  const json::object& calls = counters.at("plainCalls").as_object();
  const json::value* count = calls.if_contains("/plain/reserve");
  EXPECT_TRUE(count == nullptr || count->as_int64() <= 1);
}

} // namespace
} // namespace cactusgw
