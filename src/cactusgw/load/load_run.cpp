#include "cactusgw/load/load_run.hpp"

#include "cactusgw/engine/http_engine_client.hpp"
#include "cactusgw/engine/sse_reader.hpp"
#include "cactusgw/net/http_client.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>
#include <utility>

namespace cactusgw {

namespace json = boost::json;
namespace net = boost::asio;

namespace {

/// The target between two tokens; longer gaps count as stalled.
constexpr std::chrono::milliseconds kGapTarget{ 29 };
constexpr HttpCallTimes kCallTimes{ Milliseconds{ 2000 },
                                    Milliseconds{ 120'000 },
                                    Milliseconds{ 120'000 } };
constexpr Milliseconds kPollPause{ 10 };

} // namespace

LoadRun::LoadRun(net::io_context& aContext, LoadSettings aSettings)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mDraws(mSettings.mLengths, mSettings.mSeed)
{
}

Task<LoadReport>
LoadRun::Run()
{
  const EngineTotals before = co_await ReadEngines();
  const Instant begun = SteadyNow();
  if (mSettings.mRate > 0) {
    co_await RunOpen();
  } else {
    co_await RunClosed();
  }
  net::steady_timer timer{ mContext };
  while (mRunning > 0) {
    timer.expires_after(kPollPause);
    co_await timer.async_wait(net::use_awaitable);
  }
  mReport.mElapsedSeconds =
    std::chrono::duration<double>(SteadyNow() - begun).count();
  const EngineTotals after = co_await ReadEngines();
  mReport.mPreemptions = after.mPreemptions - before.mPreemptions;
  mReport.mOverloads = after.mOverloads - before.mOverloads;
  co_return std::move(mReport);
}

Task<void>
LoadRun::RunClosed()
{
  for (std::uint32_t i = 0; i < mSettings.mConcurrency; ++i) {
    ++mRunning;
    net::co_spawn(mContext, Worker(), net::detached);
  }
  co_return;
}

Task<void>
LoadRun::Worker()
{
  while (mNextRequest < mSettings.mRequests) {
    co_await RunOne(mNextRequest++);
  }
  --mRunning;
}

Task<void>
LoadRun::RunOpen()
{
  net::steady_timer timer{ mContext, SteadyNow() };
  while (mNextRequest < mSettings.mRequests) {
    timer.expires_at(timer.expiry() + mDraws.NextPause(mSettings.mRate));
    co_await timer.async_wait(net::use_awaitable);
    ++mRunning;
    net::co_spawn(
      mContext,
      [this, index = mNextRequest++]() -> Task<void> {
        co_await RunOne(index);
        --mRunning;
      },
      net::detached);
  }
}

Task<void>
LoadRun::RunOne(std::uint64_t aIndex)
{
  ++mReport.mRequests;
  const std::uint32_t length = mDraws.NextLength();
  const std::string target =
    mSettings.mTargets[aIndex % mSettings.mTargets.size()];
  co_await ReadAnswer(target, MakeRequest(aIndex, length), length);
}

HttpRequest
LoadRun::MakeRequest(std::uint64_t aIndex, std::uint32_t aLength)
{
  const std::string prompt = "tokens:" + std::to_string(aLength) + " " +
                             std::string(mSettings.mPromptBytes, 'x');
  if (mSettings.mDirect) {
    HttpRequest request{ http::verb::post, "/generate", 11 };
    request.body() = json::serialize(
      json::object{ { "request", "load-" + std::to_string(aIndex) },
                    { "model", mSettings.mModel },
                    { "prompt", prompt },
                    { "maxTokens", aLength },
                    { "priority", 0 } });
    return request;
  }
  HttpRequest request{ http::verb::post, "/v1/completions", 11 };
  const std::string& key =
    mSettings.mKeys[mDraws.NextIndex(mSettings.mKeys.size())];
  request.set(http::field::authorization, "Bearer " + key);
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(json::object{ { "model", mSettings.mModel },
                                                 { "prompt", prompt },
                                                 { "max_tokens", aLength },
                                                 { "stream", true } });
  return request;
}

Task<void>
LoadRun::ReadAnswer(std::string aTarget,
                    HttpRequest aRequest,
                    std::uint32_t aLength)
{
  const Instant begun = SteadyNow();
  Result<std::unique_ptr<HttpExchangeClient>> opened =
    co_await HttpExchangeClient::Open(aTarget, std::move(aRequest), kCallTimes);
  if (!opened) {
    ++mReport.mConnectionFailures;
    co_return;
  }
  HttpExchangeClient& client = *opened.value();
  if (client.Status() != 200) {
    CountRefusal(client.Status(), client.Header("Cactusgw-Verdict"));
    co_return;
  }
  StreamCheck check{ aLength };
  SseReader reader;
  Instant last = begun;
  bool wasCut = false;
  while (true) {
    const Result<std::string> bytes = co_await client.ReadSome();
    wasCut = !bytes;
    if (!bytes || bytes.value().empty()) {
      break;
    }
    reader.Feed(bytes.value());
    const Instant now = SteadyNow();
    for (std::optional<std::string> event = reader.Next(); event;
         event = reader.Next()) {
      if (check.Accept(*event) != EventKindSeen::Token) {
        continue;
      }
      ++mReport.mTokens;
      if (check.Tokens() == 1) {
        mReport.mFirstToken.Add(now - begun);
      } else {
        mReport.mTokenGap.Add(now - last);
        if (now - last > kGapTarget) {
          mReport.mStallSeconds +=
            std::chrono::duration<double>(now - last - kGapTarget).count();
        }
      }
      last = now;
      if (mSettings.mPrint) {
        std::printf("%s", check.LastText().c_str());
        std::fflush(stdout);
      }
    }
  }
  CountEnd(check, wasCut);
}

void
LoadRun::CountRefusal(unsigned aStatus, const std::string& aVerdict)
{
  if (aVerdict == ToString(Verdict::NotRun)) {
    ++mReport.mRefusedNotRun;
  } else if (aVerdict == ToString(Verdict::Ran)) {
    ++mReport.mRefusedRan;
  } else {
    ++mReport.mRefusedMayHaveRun;
  }
  if (mSettings.mPrint) {
    std::printf("refused with status %u, %s\n", aStatus, aVerdict.c_str());
  }
}

void
LoadRun::CountEnd(const StreamCheck& aCheck, bool aWasCut)
{
  mReport.mViolations += aCheck.Violations();
  if (aCheck.IsWhole() || (mSettings.mDirect && !aWasCut)) {
    ++mReport.mWhole;
  } else if (aCheck.HasFailed()) {
    ++mReport.mBroken;
  } else if (aWasCut) {
    // The transfer itself says that it was cut: not a silent end.
    ++mReport.mConnectionFailures;
  } else {
    ++mReport.mViolations;
  }
}

Task<LoadRun::EngineTotals>
LoadRun::ReadEngines()
{
  EngineTotals totals;
  HttpEngineClient client;
  for (const std::string& engine : mSettings.mEngines) {
    const Result<EngineLoad> load = co_await client.Load(engine);
    if (load) {
      totals.mPreemptions += load.value().mPreemptions;
      totals.mOverloads += load.value().mOverloads;
    }
  }
  co_return totals;
}

} // namespace cactusgw
