#include "engine_standin.hpp"

#include "cactusgw/core/hash.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace cactusgw::standins {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view kGenerationPrefix = "/generations/";
constexpr std::string_view kRequestPrefix = "/requests/";
constexpr std::string_view kPlainPrefix = "/plain/";
/// A prompt may name the length of its answer with this prefix.
constexpr std::string_view kLengthPrefix = "tokens:";
constexpr std::uint64_t kBytesPerPromptToken = 4;

HttpResponse
JsonResponse(http::status aStatus, const json::object& aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(aBody);
  return response;
}

std::uint64_t
ParseNumber(std::string_view aText)
{
  std::uint64_t n = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return n;
}

/// The length a prompt asks for, or one drawn from the prompt's own hash.
std::uint64_t
LengthOf(std::string_view aPrompt, std::uint64_t aMaxTokens)
{
  constexpr std::uint64_t kDefaultSpread = 60;
  constexpr std::uint64_t kDefaultLeast = 20;
  const std::size_t at = aPrompt.find(kLengthPrefix);
  const std::uint64_t length =
    at == std::string_view::npos
      ? kDefaultLeast + StableHash(aPrompt) % kDefaultSpread
      : ParseNumber(aPrompt.substr(at + kLengthPrefix.size()));
  return std::min(std::max<std::uint64_t>(length, 1), aMaxTokens);
}

std::string
FrameText(std::string_view aGeneration, std::uint64_t aOffset)
{
  const json::object frame{ { "generation", std::string{ aGeneration } },
                            { "offset", aOffset },
                            { "text", TokenText(aOffset) } };
  return "data: " + json::serialize(frame) + "\n\n";
}

std::string
EndText(const Sequence& aSequence)
{
  const json::object frame{ { "generation", aSequence.mGeneration },
                            { "offset", aSequence.mProduced },
                            { "done", true },
                            { "finish",
                              aSequence.mCancelled ? "cancelled" : "stop" } };
  return "data: " + json::serialize(frame) + "\n\n";
}

bool
TakeOne(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

} // namespace

std::string
TokenText(std::uint64_t aOffset)
{
  return "t" + std::to_string(aOffset) + " ";
}

EngineStandin::EngineStandin(net::io_context& aContext, EngineModel aModel)
  : mStepTimer(aContext)
  , mProgress(aContext)
  , mModel(aModel)
  , mRandom(aModel.mSeed)
  , mIncarnation(static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count()))
{
  mProgress.expires_at(net::steady_timer::time_point::max());
}

Result<std::unique_ptr<EngineStandin>>
EngineStandin::Listen(net::io_context& aContext,
                      std::string_view aAddress,
                      EngineModel aModel)
{
  std::unique_ptr<EngineStandin> engine{ new EngineStandin{ aContext,
                                                            aModel } };
  EngineStandin* self = engine.get();
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    aContext,
    aAddress,
    [] {
      HttpServerLimits limits;
      // Engines leave idle connections open.
      limits.mReadHeaderTime = Milliseconds{ 24 * 3'600'000 };
      return limits;
    },
    [self](HttpExchange& aExchange) { return self->Handle(aExchange); });
  if (!server) {
    return server.error();
  }
  engine->mServer = std::move(server.value());
  net::co_spawn(aContext, engine->StepLoop(), net::detached);
  return engine;
}

void
EngineStandin::Restart()
{
  ++mIncarnation;
  mCounters.mCompleted = 0;
  for (const auto& [name, sequence] : mSequences) {
    sequence->mCancelled = true;
    sequence->mReaders = -1;
  }
  mSequences.clear();
  mProgress.cancel();
}

Task<void>
EngineStandin::StepLoop()
{
  while (true) {
    const std::uint32_t running = Running();
    const std::int64_t extra =
      running > 1 ? (running - 1) * mModel.mStepPerRunningUs : 0;
    mStepTimer.expires_after(mModel.mStep + std::chrono::microseconds{ extra });
    boost::system::error_code ec;
    co_await mStepTimer.async_wait(net::redirect_error(net::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    StepOnce();
  }
}

void
EngineStandin::StepOnce()
{
  EnforceMemory();
  for (const auto& [name, sequence] : mSequences) {
    if (sequence->mPaused || sequence->mEnded) {
      continue;
    }
    ++sequence->mProduced;
    ++mCounters.mProduced;
    if (sequence->mProduced >= sequence->mLength) {
      sequence->mEnded = true;
      ++mCounters.mCompleted;
    }
  }
  DropUnread();
  SampleLoad();
  mProgress.cancel();
}

void
EngineStandin::EnforceMemory()
{
  std::vector<Sequence*> running;
  for (const auto& [name, sequence] : mSequences) {
    if (!sequence->mEnded && !sequence->mPaused) {
      running.push_back(sequence.get());
    }
  }
  // Out of memory: the engine preempts at random, as real ones may.
  while (MemoryTokens() > mModel.mMemoryLimitTokens && running.size() > 1) {
    const std::size_t at = mRandom() % running.size();
    running[at]->mPaused = true;
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
    ++mCounters.mPreemptions;
  }
  const std::uint64_t kResumeBelow = mModel.mMemoryLimitTokens * 8 / 10;
  for (const auto& [name, sequence] : mSequences) {
    const std::uint64_t needed = sequence->mPromptTokens + sequence->mProduced;
    if (sequence->mPaused && MemoryTokens() + needed < kResumeBelow) {
      sequence->mPaused = false;
    }
  }
}

void
EngineStandin::DropUnread()
{
  const Clock::time_point now = Clock::now();
  std::erase_if(mSequences, [&](const auto& aItem) {
    Sequence& sequence = *aItem.second;
    const bool isStale = sequence.mReaders == 0 &&
                         now - sequence.mUnreadSince > mModel.mResumeTime;
    if (isStale && !sequence.mEnded) {
      sequence.mEnded = true;
      sequence.mCancelled = true;
      ++mCounters.mCancelled;
    }
    return isStale;
  });
}

void
EngineStandin::SampleLoad()
{
  const Clock::time_point now = Clock::now();
  mLoadSamples.push_back({ now, Running(), MemoryTokens() });
  while (mLoadSamples.size() > 1 &&
         now - mLoadSamples[1].mAt >= mModel.mLoadLag) {
    mLoadSamples.pop_front();
  }
}

std::uint32_t
EngineStandin::Running() const
{
  return static_cast<std::uint32_t>(
    std::count_if(mSequences.begin(), mSequences.end(), [](const auto& aItem) {
      return !aItem.second->mEnded;
    }));
}

std::uint64_t
EngineStandin::MemoryTokens() const
{
  std::uint64_t n = 0;
  for (const auto& [name, sequence] : mSequences) {
    if (!sequence->mEnded && !sequence->mPaused) {
      n += sequence->mPromptTokens + sequence->mProduced;
    }
  }
  return n;
}

bool
EngineStandin::IsWarm() const
{
  return mCounters.mCompleted >= mModel.mWarmAfter;
}

std::uint32_t
EngineStandin::Limit() const
{
  if (IsWarm()) {
    return mModel.mWarmLimit;
  }
  // Warms up in proportion to the work completed.
  const std::uint64_t grown = mCounters.mCompleted *
                              (mModel.mWarmLimit - mModel.mColdLimit) /
                              std::max(1U, mModel.mWarmAfter);
  return mModel.mColdLimit + static_cast<std::uint32_t>(grown);
}

bool
EngineStandin::IsMoreThanBorne() const
{
  return Running() > Limit();
}

Task<void>
EngineStandin::Handle(HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Path();
  if (path == "/generate") {
    co_await HandleGenerate(aExchange);
  } else if (path.starts_with(kGenerationPrefix)) {
    co_await HandleResume(aExchange);
  } else if (path.starts_with(kRequestPrefix)) {
    co_await HandleCancel(aExchange);
  } else if (path == "/load") {
    co_await HandleLoad(aExchange);
  } else if (path == "/orders") {
    co_await HandleOrder(aExchange);
  } else if (path == "/control") {
    co_await HandleControl(aExchange);
  } else if (path == "/counters") {
    co_await HandleCounters(aExchange);
  } else if (path.starts_with(kPlainPrefix)) {
    co_await HandlePlain(aExchange);
  } else {
    co_await aExchange.Reply(JsonResponse(http::status::not_found, {}));
  }
}

Task<void>
EngineStandin::HandleGenerate(HttpExchange& aExchange)
{
  if (TakeOne(mFaults.mDieBeforeHeaders)) {
    aExchange.Abort();
    co_return;
  }
  if (TakeOne(mFaults.mRefuse)) {
    HttpResponse response = JsonResponse(http::status::service_unavailable, {});
    response.set("Engine-Not-Started", "true");
    co_await aExchange.Reply(std::move(response));
    co_return;
  }
  const SequencePointer sequence = StartSequence(aExchange.Request().body());
  if (IsMoreThanBorne()) {
    ++mCounters.mOverloads;
    Restart();
    aExchange.Abort();
    co_return;
  }
  co_await StreamFrom(aExchange, sequence, 0, true);
}

EngineStandin::SequencePointer
EngineStandin::StartSequence(std::string_view aBody)
{
  const json::value body = json::parse({ aBody.data(), aBody.size() });
  const json::object& fields = body.as_object();
  const std::string prompt{ fields.at("prompt").as_string() };
  SequencePointer sequence = std::make_shared<Sequence>();
  sequence->mGeneration = "g" + std::to_string(mModel.mSeed) + "-" +
                          std::to_string(mIncarnation) + "-" +
                          std::to_string(mNextGeneration++);
  sequence->mRequest = std::string{ fields.at("request").as_string() };
  sequence->mPromptTokens = prompt.size() / kBytesPerPromptToken;
  sequence->mLength =
    LengthOf(prompt, fields.at("maxTokens").to_number<std::uint64_t>());
  sequence->mPriority =
    static_cast<std::uint32_t>(fields.at("priority").as_int64());
  mSequences[sequence->mGeneration] = sequence;
  ++mCounters.mStarted;
  mCounters.mPeakRunning = std::max(mCounters.mPeakRunning, Running());
  return sequence;
}

Task<void>
EngineStandin::StreamFrom(HttpExchange& aExchange,
                          SequencePointer aSequence,
                          std::uint64_t aOffset,
                          bool aWithFaults)
{
  ++aSequence->mReaders;
  HttpResponse header;
  header.set(http::field::content_type, "text/event-stream");
  Result<void> sent = co_await aExchange.Begin(std::move(header));
  bool isCut = aWithFaults && TakeOne(mFaults.mDieAfterHeaders);
  std::uint64_t offset = aOffset;
  while (sent && !isCut && aSequence->mReaders >= 0) {
    if (offset < aSequence->mProduced) {
      if (aWithFaults && offset == mFaults.mAtToken) {
        isCut = co_await InjectFault(aExchange, *aSequence, offset);
        if (isCut) {
          break;
        }
      }
      sent =
        co_await aExchange.Write(FrameText(aSequence->mGeneration, offset));
      ++offset;
      continue;
    }
    if (aSequence->mEnded) {
      static_cast<void>(co_await aExchange.Write(EndText(*aSequence)));
      static_cast<void>(co_await aExchange.Finish());
      // Kept for a while: what was written may not have arrived.
      EndReading(*aSequence);
      co_return;
    }
    boost::system::error_code ec;
    co_await mProgress.async_wait(net::redirect_error(net::use_awaitable, ec));
  }
  aExchange.Abort();
  EndReading(*aSequence);
}

void
EngineStandin::EndReading(Sequence& aSequence)
{
  if (aSequence.mReaders > 0) {
    --aSequence.mReaders;
    aSequence.mUnreadSince = Clock::now();
  }
}

Task<bool>
EngineStandin::InjectFault(HttpExchange& aExchange,
                           const Sequence& aSequence,
                           std::uint64_t& aOffset)
{
  if (TakeOne(mFaults.mBreakMidStream)) {
    co_return true;
  }
  if (TakeOne(mFaults.mRepeatToken) && aOffset > 0) {
    static_cast<void>(
      co_await aExchange.Write(FrameText(aSequence.mGeneration, aOffset - 1)));
  }
  if (TakeOne(mFaults.mSkipToken)) {
    ++aOffset;
  }
  if (TakeOne(mFaults.mForeignToken)) {
    static_cast<void>(co_await aExchange.Write(FrameText("foreign", aOffset)));
  }
  if (TakeOne(mFaults.mSilentMidStream)) {
    bool left = false;
    const ClientWatch watch = aExchange.WatchClient([&left] { left = true; });
    while (!left && aSequence.mReaders >= 0) {
      boost::system::error_code ec;
      co_await mProgress.async_wait(
        net::redirect_error(net::use_awaitable, ec));
    }
    co_return true;
  }
  co_return false;
}

Task<void>
EngineStandin::HandleResume(HttpExchange& aExchange)
{
  const std::string_view generation =
    aExchange.Path().substr(kGenerationPrefix.size());
  const auto it = mSequences.find(generation);
  if (it == mSequences.end()) {
    co_await aExchange.Reply(JsonResponse(http::status::not_found, {}));
    co_return;
  }
  const std::string target{ aExchange.Request().target() };
  const std::size_t at = target.find("offset=");
  constexpr std::size_t kOffsetLength = 7;
  const std::uint64_t offset =
    at == std::string::npos
      ? 0
      : ParseNumber(std::string_view{ target }.substr(at + kOffsetLength));
  co_await StreamFrom(aExchange, it->second, offset, false);
}

EngineStandin::SequencePointer
EngineStandin::FindByRequest(std::string_view aRequest) const
{
  const auto it =
    std::find_if(mSequences.begin(), mSequences.end(), [&](const auto& aItem) {
      return aItem.second->mRequest == aRequest;
    });
  return it == mSequences.end() ? nullptr : it->second;
}

Task<void>
EngineStandin::HandleCancel(HttpExchange& aExchange)
{
  const std::string_view rest = aExchange.Path().substr(kRequestPrefix.size());
  const std::string_view request = rest.substr(0, rest.find('/'));
  const SequencePointer sequence = FindByRequest(request);
  if (sequence != nullptr && !sequence->mEnded) {
    sequence->mEnded = true;
    sequence->mCancelled = true;
    ++mCounters.mCancelled;
  }
  co_await aExchange.Reply(JsonResponse(http::status::ok, {}));
}

Task<void>
EngineStandin::HandleLoad(HttpExchange& aExchange)
{
  const LoadSample sample = mLoadSamples.empty()
                              ? LoadSample{ Clock::now(), 0, 0 }
                              : mLoadSamples.front();
  const Milliseconds age =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - sample.mAt);
  const json::object load{ { "incarnation", std::to_string(mIncarnation) },
                           { "running", sample.mRunning },
                           { "memoryTokens", sample.mMemoryTokens },
                           { "memoryLimitTokens", mModel.mMemoryLimitTokens },
                           { "preemptions", mCounters.mPreemptions },
                           { "overloads", mCounters.mOverloads },
                           { "ageMs", age.count() } };
  co_await aExchange.Reply(JsonResponse(http::status::ok, load));
}

Task<void>
EngineStandin::HandleOrder(HttpExchange& aExchange)
{
  const json::value body = json::parse(aExchange.Request().body());
  const std::uint64_t fence =
    body.as_object().at("fence").to_number<std::uint64_t>();
  if (mModel.mHonoursFencing && fence < mHighestFence) {
    co_await aExchange.Reply(JsonResponse(http::status::conflict, {}));
    co_return;
  }
  mHighestFence = std::max(mHighestFence, fence);
  mOrderedState = std::string{ body.as_object().at("state").as_string() };
  co_await aExchange.Reply(JsonResponse(http::status::ok, {}));
}

Task<void>
EngineStandin::HandleControl(HttpExchange& aExchange)
{
  const json::value body = json::parse(aExchange.Request().body());
  const json::object& fields = body.as_object();
  const auto set = [&](std::string_view aName, std::int64_t& aCount) {
    if (const json::value* value = fields.if_contains(aName)) {
      aCount = value->as_int64();
    }
  };
  set("dieBeforeHeaders", mFaults.mDieBeforeHeaders);
  set("dieAfterHeaders", mFaults.mDieAfterHeaders);
  set("breakMidStream", mFaults.mBreakMidStream);
  set("silentMidStream", mFaults.mSilentMidStream);
  set("repeatToken", mFaults.mRepeatToken);
  set("skipToken", mFaults.mSkipToken);
  set("foreignToken", mFaults.mForeignToken);
  set("refuse", mFaults.mRefuse);
  if (fields.if_contains("restart") != nullptr) {
    Restart();
  }
  co_await aExchange.Reply(JsonResponse(http::status::ok, {}));
}

Task<void>
EngineStandin::HandleCounters(HttpExchange& aExchange)
{
  json::object plain;
  for (const auto& [id, count] : mPlainCalls) {
    plain[id] = count;
  }
  const json::object counters{ { "started", mCounters.mStarted },
                               { "completed", mCounters.mCompleted },
                               { "cancelled", mCounters.mCancelled },
                               { "preemptions", mCounters.mPreemptions },
                               { "overloads", mCounters.mOverloads },
                               { "peakRunning", mCounters.mPeakRunning },
                               { "produced", mCounters.mProduced },
                               { "running", Running() },
                               { "limit", Limit() },
                               { "plainCalls", plain } };
  co_await aExchange.Reply(JsonResponse(http::status::ok, counters));
}

Task<void>
EngineStandin::HandlePlain(HttpExchange& aExchange)
{
  // Counts each call by its path, so that tests can see repeated ones.
  const std::uint64_t count = ++mPlainCalls[std::string{ aExchange.Path() }];
  if (TakeOne(mFaults.mDieBeforeHeaders)) {
    aExchange.Abort();
    co_return;
  }
  const json::object answer{ { "call", count },
                             { "echo", aExchange.Request().body() } };
  co_await aExchange.Reply(JsonResponse(http::status::ok, answer));
}

} // namespace cactusgw::standins
