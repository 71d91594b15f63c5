#include "cactusgw/entry/agent_link.hpp"
#include "cactusgw/entry/generation_call.hpp"
#include "cactusgw/entry/plain_call.hpp"
#include "free_address.hpp"
#include "scripted_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw::test {
namespace {

constexpr const char* kDocument = R"({
  "dataCentres": {
    "a": { "region": "r1", "vms": { "vm-1": { "peer": "127.0.0.1:1001" } } },
    "b": { "region": "r2", "vms": { "vm-2": { "peer": "127.0.0.1:1002" } } }
  },
  "services": {
    "plain": { "kind": "plain", "overflow": "any" },
    "model": { "overflow": "any" }
  },
  "models": { "m": { "service": "model" } },
  "upstreams": {
    "near": { "dataCentre": "a", "service": "plain", "address": "",
              "coldLimit": 1, "warmLimit": 1 },
    "far": { "dataCentre": "b", "service": "plain", "address": "",
             "coldLimit": 1, "warmLimit": 1 },
    "engine": { "dataCentre": "b", "service": "model", "models": ["m"],
                "address": "", "coldLimit": 1, "warmLimit": 1 }
  },
  "workspaces": {
    "w": { "keySha256":
      ["1111111111111111111111111111111111111111111111111111111111111111"] }
  }
})";

/// An entry's parts between a scripted agent and scripted upstreams.
class EntryHomesTest : public testing::Test
{
protected:
  EntryHomesTest()
  {
    EntrySettings settings;
    settings.mPlace = { "vm-1", "a" };
    settings.mAgent = FreeAddress();
    mAgent = MessageSocket::Bind(
               mZmq,
               mContext,
               settings.mAgent,
               [this](std::string_view aIdentity, std::string_view aPayload) {
                 mIdentity = aIdentity;
                 OnMessage(mCodec.Decode(aPayload).value());
               })
               .value();
    mLink = AgentLink::Connect(mZmq, mContext, settings, mRecorder).value();
    mShared = std::make_unique<EntryContext>(
      EntryContext{ mContext, *mLink, mMetrics, mRecorder });
    mLink->SendHello(false);
    RunUntil([this] { return !mIdentity.empty(); });
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mContext.run_one();
    }
  }

  /// Runs a coroutine to its end and returns its result.
  template<typename T>
  T Await(Task<T> aTask)
  {
    std::optional<T> result;
    net::co_spawn(
      mContext,
      [&]() -> Task<void> { result.emplace(co_await std::move(aTask)); },
      [](const std::exception_ptr& aError) { EXPECT_FALSE(aError); });
    RunUntil([&] { return result.has_value(); });
    return std::move(*result);
  }

  /// Sends a configuration to the entry.
  /// @param aHome the region of the workspace, or empty
  void SendConfig(std::uint64_t aVersion, std::string_view aHome)
  {
    boost::json::value document = boost::json::parse(kDocument);
    boost::json::value& upstreams = document.at("upstreams");
    upstreams.at("near").at("address") = mNear.Address();
    upstreams.at("far").at("address") = mFar.Address();
    upstreams.at("engine").at("address") = mEngine.Address();
    if (!aHome.empty()) {
      document.at("workspaces").at("w").get_object()["regions"] =
        boost::json::array{ aHome };
    }
    wire::Envelope envelope;
    wire::AgentState& state = *envelope.mutable_agent_state();
    state.set_config_version(aVersion);
    state.set_deployment(boost::json::serialize(document));
    Send(envelope);
  }

  void Configure(std::uint64_t aVersion, std::string_view aHome)
  {
    SendConfig(aVersion, aHome);
    RunUntil([&] { return mLink->ConfigRevision() == aVersion; });
  }

  void Grant(const wire::AdmitRequest& aRequest,
             const std::string& aUpstream,
             const ScriptedUpstream& aServer)
  {
    wire::Envelope envelope;
    wire::AdmitReply& reply = *envelope.mutable_admit_reply();
    reply.set_call(aRequest.call());
    reply.set_outcome(wire::ADMIT_GRANTED);
    reply.set_permit(++mPermits);
    reply.set_upstream(aUpstream);
    reply.set_address(aServer.Address());
    reply.set_valid_ms(10'000);
    Send(envelope);
  }

  RequestScope Scope() const
  {
    RequestScope scope;
    scope.mRequestId = "r-1";
    scope.mWorkspace = "w";
    scope.mDeployment = mLink->Current();
    return scope;
  }

  Result<HttpResponse> CallPlain()
  {
    PlainCall call{ *mShared,
                    Scope(),
                    { "plain", http::verb::post, "/x", "", "body" } };
    return Await(call.Run());
  }

  net::io_context mContext{ 1 };
  zmq::context_t mZmq{ 1 };
  EventRecorder mRecorder{ "test" };
  EnvelopeCodec mCodec{ "vm-1", 1, mRecorder };
  EntryMetrics mMetrics;
  std::unique_ptr<MessageSocket> mAgent;
  std::unique_ptr<AgentLink> mLink;
  std::unique_ptr<EntryContext> mShared;
  std::string mIdentity;
  std::uint64_t mPermits = 0;
  /// How the agent answers a request for a permit.
  std::function<void(const wire::AdmitRequest&)> mOnAdmit;
  std::vector<wire::ReleasePermit> mReleases;
  Script mEngineScript;
  ScriptedUpstream mNear{ mContext, &EntryHomesTest::AnswerOk };
  ScriptedUpstream mFar{ mContext, &EntryHomesTest::AnswerOk };
  ScriptedUpstream mEngine{ mContext, [this](ScriptedExchange& aExchange) {
                             return mEngineScript(aExchange);
                           } };

private:
  static Task<void> AnswerOk(ScriptedExchange& aExchange)
  {
    return aExchange.Answer(200, "", "ok");
  }

  void Send(wire::Envelope& aEnvelope)
  {
    mAgent->SendTo(mIdentity, mCodec.Encode(aEnvelope));
  }

  void OnMessage(const wire::Envelope& aEnvelope)
  {
    if (aEnvelope.has_admit_request()) {
      mOnAdmit(aEnvelope.admit_request());
    } else if (aEnvelope.has_release_permit()) {
      mReleases.push_back(aEnvelope.release_permit());
    }
  }
};

// A send outside the homes, because the agent that granted the permit has an
// older configuration.
TEST_F(EntryHomesTest, APermitOfAnOlderAgentIsNotUsedOutsideTheHomes)
{
  Configure(2, "r1");
  mOnAdmit = [this](const wire::AdmitRequest& aRequest) {
    Grant(aRequest, "far", mFar);
  };
  const Result<HttpResponse> result = CallPlain();
  EXPECT_EQ(mFar.Requests().size(), 0U);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().mCode, FailureCode::OutsideHomeRegions);
  EXPECT_EQ(result.error().mVerdict, Verdict::NotRun);
  RunUntil([&] { return mReleases.size() == mPermits; });
  for (const wire::ReleasePermit& release : mReleases) {
    EXPECT_EQ(release.outcome(), wire::OUTCOME_NOT_RUN);
    EXPECT_FALSE(release.unreachable());
  }
}

// A send under the configuration of the request's start, after the homes were
// added while it waited for its permit.
TEST_F(EntryHomesTest, HomesThatAreAddedWhileARequestWaitsBindItsSend)
{
  Configure(1, "");
  mOnAdmit = [this](const wire::AdmitRequest& aRequest) {
    SendConfig(2, "r1");
    const bool isRetry = aRequest.is_retry();
    Grant(aRequest, isRetry ? "near" : "far", isRetry ? mNear : mFar);
  };
  const Result<HttpResponse> result = CallPlain();
  EXPECT_EQ(mFar.Requests().size(), 0U);
  EXPECT_EQ(mNear.Requests().size(), 1U);
  EXPECT_TRUE(result);
}

// A refusal under the configuration of the request's start, after the homes
// were moved to the upstream's region.
TEST_F(EntryHomesTest, HomesThatMovedWhileARequestWaitsAllowItsSend)
{
  Configure(1, "r1");
  mOnAdmit = [this](const wire::AdmitRequest& aRequest) {
    SendConfig(2, "r2");
    Grant(aRequest, "far", mFar);
  };
  const Result<HttpResponse> result = CallPlain();
  EXPECT_EQ(mFar.Requests().size(), 1U);
  EXPECT_TRUE(result);
}

// A send to an upstream that the newest configuration doesn't contain, so that
// its region is unknown.
TEST_F(EntryHomesTest, AnUpstreamOfUnknownRegionGetsNoRestrictedRequest)
{
  Configure(1, "r1");
  mOnAdmit = [this](const wire::AdmitRequest& aRequest) {
    const bool isRetry = aRequest.is_retry();
    // The first permit names an upstream at an address that it has left.
    Grant(aRequest, "near", isRetry ? mNear : mFar);
  };
  const Result<HttpResponse> result = CallPlain();
  EXPECT_EQ(mFar.Requests().size(), 0U);
  EXPECT_EQ(mNear.Requests().size(), 1U);
  EXPECT_TRUE(result);
}

// A stream that is resumed outside the homes that were set while it ran.
TEST_F(EntryHomesTest, AStreamIsNotResumedOutsideTheHomes)
{
  Configure(1, "");
  mOnAdmit = [this](const wire::AdmitRequest& aRequest) {
    Grant(aRequest, "engine", mEngine);
  };
  std::vector<std::string> targets;
  mEngineScript = [&](ScriptedExchange& aExchange) -> Task<void> {
    targets.emplace_back(aExchange.Request().target());
    if (targets.back() != "/generate") {
      co_await aExchange.Answer(200, "", "{}");
      co_return;
    }
    co_await aExchange.BeginChunks("Content-Type: text/event-stream\r\n");
    co_await aExchange.Chunk(
      "data: {\"generation\":\"g\",\"offset\":0,\"text\":\"a\"}\n\n");
    SendConfig(2, "r1");
    while (mLink->ConfigRevision() != 2) {
      co_await net::post(mContext, net::use_awaitable);
    }
    aExchange.Close();
  };
  const std::shared_ptr<GenerationCall<HttpEngineClient>> call =
    GenerationCall<HttpEngineClient>::Create(
      *mShared, Scope(), { ModelApi::Completions, "m", "prompt", 0, true, {} });
  std::string text;
  const Result<GenerationResult> result =
    Await(call->Run([&](const AnswerToken& aToken) -> Task<Result<void>> {
      text += aToken.mText;
      co_return boost::outcome_v2::success();
    }));
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().mVerdict, Verdict::Ran);
  EXPECT_EQ(text, "a");
  // The upstream's work is still ended.
  RunUntil([&] { return !mReleases.empty(); });
  EXPECT_EQ(targets,
            (std::vector<std::string>{ "/generate", "/requests/r-1/cancel" }));
}

// A request under a check that passed before the connection was established.
TEST_F(EntryHomesTest, TheCheckIsMadeBetweenTheConnectionAndTheSend)
{
  int checks = 0;
  const auto refuse = [&]() -> Result<void> {
    ++checks;
    return NotRun(FailureCode::OutsideHomeRegions, "");
  };
  const HttpCallTimes times;
  const Result<HttpResponse> unreachable =
    Await(FetchHttp(CheckedAddress{ FreeAddress(), refuse },
                    HttpRequest{ http::verb::post, "/x", 11 },
                    times,
                    100));
  ASSERT_FALSE(unreachable);
  EXPECT_EQ(checks, 0);
  const Result<HttpResponse> refused =
    Await(FetchHttp(CheckedAddress{ mFar.Address(), refuse },
                    HttpRequest{ http::verb::post, "/x", 11 },
                    times,
                    100));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().mCode, FailureCode::OutsideHomeRegions);
  EXPECT_EQ(checks, 1);
  EXPECT_EQ(mFar.Requests().size(), 0U);
}

} // namespace
} // namespace cactusgw::test
