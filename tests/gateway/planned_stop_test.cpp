/// A planned stop answers each request that it has read: with the upstream's
/// response while there is time, as not run while that is true, and otherwise
/// with an error before the process exits.

#include "cactusgw/gateway/stop_schedule.hpp"
#include "cactusgw/net/address.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

namespace cactusgw::test {

TEST(StopScheduleTest, AcceptsAnswersAndEndsInThisOrder)
{
  const Instant begun{ Milliseconds{ 1000 } };
  for (const int stopMs : { 10, 100, 500, 750, 1000, 2000, 8000, 60'000 }) {
    for (const int unreadyMs : { 10, 2500, 60'000 }) {
      const StopSchedule schedule = StopSchedule::Create(
        begun, Milliseconds{ unreadyMs }, Milliseconds{ stopMs });
      EXPECT_GE(schedule.AcceptUntil(), begun);
      EXPECT_GE(schedule.AnswerAt(), begun);
      EXPECT_LE(schedule.AcceptUntil(), schedule.End());
      EXPECT_LT(schedule.AnswerAt(), schedule.End());
      if (stopMs >= 1000) {
        EXPECT_LE(schedule.AcceptUntil(), schedule.AnswerAt());
        EXPECT_LE(schedule.End() + StopSchedule::kExitMargin,
                  begun + Milliseconds{ stopMs });
      }
    }
  }
}

TEST(StopScheduleTest, CoversDeadlinesUpToTheAnswers)
{
  const Instant begun{ Milliseconds{ 1000 } };
  const StopSchedule schedule =
    StopSchedule::Create(begun, Milliseconds{ 2500 }, Milliseconds{ 8000 });
  EXPECT_TRUE(schedule.Covers(begun + Milliseconds{ 7250 }));
  EXPECT_FALSE(schedule.Covers(begun + Milliseconds{ 7251 }));
  EXPECT_FALSE(schedule.Covers(schedule.End()));
}

/// What a request is doing when the time of the stop is used up.
enum class CallState
{
  WaitingForRoom,
  SentWithoutResponse,
  HeaderReceived,
};

struct StoppedCall
{
  const char* mName;
  const char* mTarget;
  CallState mState;
  unsigned mStatus;
};

std::ostream&
operator<<(std::ostream& aOut, const StoppedCall& aCall)
{
  return aOut << aCall.mName;
}

class PlannedStopTest
  : public GatewayTest
  , public ::testing::WithParamInterface<StoppedCall>
{
protected:
  static constexpr Milliseconds kStopTime{ 1500 };

  PlannedStopTest()
  {
    mSettings.mStopTime = kStopTime;
    mSettings.mUnreadyTime = Milliseconds{ 100 };
  }

  static Task<void> Pause(Milliseconds aTime)
  {
    net::steady_timer timer{ co_await net::this_coro::executor, aTime };
    co_await timer.async_wait(net::use_awaitable);
  }

  /// Sends the request, stops the gateway once the request is under way, and
  /// returns the response.
  /// @param aStall how long the process is held up after the signal
  ClientResponse CallAndStop(HttpRequest aRequest,
                             Milliseconds aStall = Milliseconds{ 0 })
  {
    ClientResponse response;
    bool isStopped = false;
    bool isAnsweredBeforeStop = false;
    Run([&]() -> Task<void> {
      bool isDone = false;
      const auto call = [&]() -> Task<void> {
        response = co_await Call(std::move(aRequest));
        isAnsweredBeforeStop = !isStopped;
        isDone = true;
      };
      net::co_spawn(mContext, call(), net::detached);
      while (mGateway->State().mCalls->empty()) {
        co_await net::post(net::use_awaitable);
      }
      mGateway->Stop([&] { isStopped = true; });
      // Long enough that the request is sent when the process is held up.
      co_await Pause(Milliseconds{ 300 });
      std::this_thread::sleep_for(aStall);
      while (!isStopped || !isDone) {
        co_await net::post(net::use_awaitable);
      }
    });
    EXPECT_TRUE(isAnsweredBeforeStop);
    return response;
  }
};

TEST_P(PlannedStopTest, AnswersWhatItCanNotFinish)
{
  const Script silent = [](ScriptedExchange& aExchange) -> Task<void> {
    if (GetParam().mState == CallState::HeaderReceived) {
      co_await aExchange.Write("HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: " +
                               aExchange.Header("Request-Id") +
                               "\r\nContent-Length: 10\r\n\r\nabc");
    }
    co_await aExchange.WaitForClose();
  };
  const bool isWaiting = GetParam().mState == CallState::WaitingForRoom;
  if (!isWaiting) {
    AddUpstream("a", "app", silent);
    AddUpstream("e", "engine", silent);
  }
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    for (GatewayRoute& route : aConfig.mRoutes) {
      route.mTimeout = Milliseconds{ 20'000 };
      // Long enough that nothing but the stop ends the wait for an upstream.
      route.mLatencyObjective = Milliseconds{ 10'000 };
    }
  });
  const Instant begun = SteadyNow();
  const ClientResponse response =
    CallAndStop(MakeRequest(http::verb::post, GetParam().mTarget));
  EXPECT_EQ(response.mStatus, GetParam().mStatus);
  EXPECT_TRUE(response.mIsWhole);
  EXPECT_LE(SteadyNow() - begun, kStopTime);
  EXPECT_EQ(response.mRetryAfter.empty(), GetParam().mStatus != 503);
  EXPECT_TRUE(mGateway->State().mCrashes.Quarantines().empty());
}

INSTANTIATE_TEST_SUITE_P(
  AllStates,
  PlannedStopTest,
  ::testing::Values(
    StoppedCall{ "SafeWaits", "/read/x", CallState::WaitingForRoom, 503 },
    StoppedCall{ "UnsafeWaits", "/write/x", CallState::WaitingForRoom, 503 },
    StoppedCall{ "StreamWaits", "/stream/x", CallState::WaitingForRoom, 503 },
    StoppedCall{ "ResumableWaits",
                 "/resumable/x",
                 CallState::WaitingForRoom,
                 503 },
    StoppedCall{ "SafeSent", "/read/x", CallState::SentWithoutResponse, 502 },
    StoppedCall{ "UnsafeSent",
                 "/write/x",
                 CallState::SentWithoutResponse,
                 502 },
    StoppedCall{ "StreamSent",
                 "/stream/x",
                 CallState::SentWithoutResponse,
                 502 },
    StoppedCall{ "ResumableSent",
                 "/resumable/x",
                 CallState::SentWithoutResponse,
                 502 },
    StoppedCall{ "SafeBuffered", "/read/x", CallState::HeaderReceived, 502 }),
  [](const ::testing::TestParamInfo<StoppedCall>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

class StalledStopTest : public PlannedStopTest
{};

// A process that was held up while it should have answered ended without.
TEST_F(StalledStopTest, AnswersBeforeItEnds)
{
  AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.WaitForClose();
  });
  StartGateway();
  const ClientResponse response =
    CallAndStop(MakeRequest(http::verb::post, "/write/x"), kStopTime);
  EXPECT_EQ(response.mStatus, 502U);
  EXPECT_TRUE(response.mIsWhole);
}

class LateRequestTest : public PlannedStopTest
{
protected:
  /// Serves a request of each target of aTargets, stops the gateway, and sends
  /// the same again with the given time. Returns the later responses.
  std::vector<ClientResponse> CallLate(const std::vector<std::string>& aTargets,
                                       Milliseconds aTime)
  {
    std::vector<ClientResponse> late;
    bool isStopped = false;
    Run([&]() -> Task<void> {
      for (const std::string& target : aTargets) {
        const ClientResponse early =
          co_await Call(MakeRequest(http::verb::post, target));
        EXPECT_EQ(early.mStatus, 200U);
      }
      mGateway->Stop([&] { isStopped = true; });
      for (const std::string& target : aTargets) {
        HttpRequest request = MakeRequest(http::verb::post, target);
        request.set("Time-Left", std::to_string(aTime.count()));
        late.push_back(co_await Call(std::move(request)));
      }
      while (!isStopped) {
        co_await net::post(net::use_awaitable);
      }
    });
    return late;
  }

  static Task<void> AnswerAtOnce(ScriptedExchange& aExchange)
  {
    const std::string headers =
      std::string{ kSealed } + "Request-Id: " + aExchange.Header("Request-Id") +
      "\r\n";
    co_await aExchange.Answer(200, headers, "id: 1\ndata: x\n\n");
  }

  const std::vector<std::string> mTargets{ "/read/x", "/write/x", "/stream/x" };
};

// Streams that were longer than most of their route were taken late in a stop,
// and cut at its end. The client may send a request elsewhere while it has not
// run.
TEST_F(LateRequestTest, IsRefusedAsNotRunHoweverShortEarlierOnesWere)
{
  ScriptedUpstream& app = AddUpstream("a", "app", AnswerAtOnce);
  ScriptedUpstream& engine = AddUpstream("e", "engine", AnswerAtOnce);
  StartGateway();
  for (const ClientResponse& response : CallLate(mTargets, kStopTime)) {
    EXPECT_EQ(response.mStatus, 503U);
    EXPECT_NE(response.mRetryAfter, "");
  }
  EXPECT_EQ(app.Requests().size(), 2U);
  EXPECT_EQ(engine.Requests().size(), 1U);
}

TEST_F(LateRequestTest, IsServedWhenItEndsBeforeTheStop)
{
  AddUpstream("a", "app", AnswerAtOnce);
  AddUpstream("e", "engine", AnswerAtOnce);
  StartGateway();
  for (const ClientResponse& response : CallLate(mTargets, kStopTime / 4)) {
    EXPECT_EQ(response.mStatus, 200U);
    EXPECT_TRUE(response.mIsWhole);
  }
}

// The header arrives in time, the body at the end of the stop.
TEST_F(LateRequestTest, IsRefusedWhenItsBodyIsLate)
{
  ScriptedUpstream& upstream =
    AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.WaitForClose();
    });
  StartGateway();
  bool isStopped = false;
  Run([&]() -> Task<void> {
    net::ip::tcp::socket socket{ mContext };
    const Result<net::ip::tcp::endpoint> address =
      ParseEndpoint(GatewayAddress());
    co_await socket.async_connect(address.value(), net::use_awaitable);
    const std::string header =
      "POST /write/x HTTP/1.1\r\nHost: host.test\r\nRequest-Id: r1\r\n"
      "Time-Left: 500\r\n"
      "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\na";
    co_await net::async_write(socket, net::buffer(header), net::use_awaitable);
    mGateway->Stop([&] { isStopped = true; });
    co_await Pause(Milliseconds{ 500 });
    co_await net::async_write(socket, net::buffer("b", 1), net::use_awaitable);
    std::string text(64, '\0');
    const std::size_t n =
      co_await socket.async_read_some(net::buffer(text), net::use_awaitable);
    EXPECT_THAT(text.substr(0, n), ::testing::StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(upstream.Requests(), ::testing::IsEmpty());
    while (!isStopped) {
      co_await net::post(net::use_awaitable);
    }
  });
}

class HalfSentRequestTest : public LateRequestTest
{
protected:
  /// Sends these bytes, stops the gateway once it has read them, and returns
  /// what it sent before the end of the stop.
  std::string SendAndStop(const std::string& aBytes)
  {
    AddUpstream("a", "app", AnswerAtOnce);
    StartGateway();
    bool isStopped = false;
    std::string received;
    Run([&]() -> Task<void> {
      net::ip::tcp::socket socket{ mContext };
      const Result<net::ip::tcp::endpoint> address =
        ParseEndpoint(GatewayAddress());
      co_await socket.async_connect(address.value(), net::use_awaitable);
      co_await net::async_write(
        socket, net::buffer(aBytes), net::use_awaitable);
      // The gateway reads its connections in the order of their requests.
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
      socket.non_blocking(true);
      mGateway->Stop([&] { isStopped = true; });
      std::string text(1024, '\0');
      while (!isStopped) {
        beast::error_code ec;
        const std::size_t n = socket.read_some(net::buffer(text), ec);
        received += text.substr(0, ec ? 0 : n);
        co_await net::post(net::use_awaitable);
      }
    });
    return received;
  }
};

// A client that was still sending when the process ended got no answer.
TEST_F(HalfSentRequestTest, IsAnsweredBeforeTheEndWhenItsBodyIsNotWhole)
{
  const std::string received =
    SendAndStop("POST /write/x HTTP/1.1\r\nHost: host.test\r\n"
                "Request-Id: r1\r\nContent-Length: 2\r\n\r\na");
  EXPECT_THAT(received, ::testing::StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(received, ::testing::HasSubstr("Retry-After: "));
}

TEST_F(HalfSentRequestTest, IsAnsweredBeforeTheEndWhenItsHeaderIsNotWhole)
{
  const std::string received =
    SendAndStop("POST /write/x HTTP/1.1\r\nHost: ho");
  EXPECT_THAT(received, ::testing::StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(received, ::testing::HasSubstr("Retry-After: "));
}

} // namespace cactusgw::test
