#ifndef CACTUSGW_TESTS_STANDINS_ENGINE_STANDIN_HPP
#define CACTUSGW_TESTS_STANDINS_ENGINE_STANDIN_HPP

/// A stand-in for a model engine: batches continuously, has a memory limit,
/// starts cold and falls over when it is given more than it bears.

#include "cactusgw/net/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace cactusgw::standins {

/// What the engine is able to do.
struct EngineModel
{
  /// Time per token with one generation running.
  Milliseconds mStep{ 5 };
  /// Added to each step per further generation, in microseconds.
  std::int64_t mStepPerRunningUs = 100;
  std::uint64_t mMemoryLimitTokens = 20'000;
  /// Generations borne while cold; one more makes the engine fall over.
  std::uint32_t mColdLimit = 2;
  /// Generations borne when warm.
  std::uint32_t mWarmLimit = 32;
  /// Generations to complete before the engine is warm.
  std::uint32_t mWarmAfter = 8;
  /// How old load reports are.
  Milliseconds mLoadLag{ 200 };
  /// How long a generation without a reader is kept for resuming.
  Milliseconds mResumeTime{ 3000 };
  bool mHonoursFencing = true;
  std::uint64_t mSeed = 1;
};

/// Faults in force, as set through `POST /control`. A count applies to so many
/// of the next generations.
struct EngineFaults
{
  std::int64_t mDieBeforeHeaders = 0;
  std::int64_t mDieAfterHeaders = 0;
  std::int64_t mBreakMidStream = 0;
  std::int64_t mSilentMidStream = 0;
  std::int64_t mRepeatToken = 0;
  std::int64_t mSkipToken = 0;
  std::int64_t mForeignToken = 0;
  std::int64_t mRefuse = 0;
  /// The token at which the faults within a stream happen.
  std::uint64_t mAtToken = 3;
};

/// One generation.
struct Sequence
{
  std::string mGeneration;
  std::string mRequest;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mLength = 0;
  std::uint64_t mProduced = 0;
  std::uint32_t mPriority = 0;
  bool mPaused = false;
  bool mEnded = false;
  bool mCancelled = false;
  /// Connections that read this generation now.
  int mReaders = 0;
  std::chrono::steady_clock::time_point mUnreadSince;
};

struct EngineCounters
{
  std::uint64_t mStarted = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mPreemptions = 0;
  /// Times the engine was given more than it bears.
  std::uint64_t mOverloads = 0;
  std::uint32_t mPeakRunning = 0;
  std::uint64_t mProduced = 0;
};

class EngineStandin
{
public:
  static Result<std::unique_ptr<EngineStandin>> Listen(
    net::io_context& aContext,
    std::string_view aAddress,
    EngineModel aModel);

  EngineFaults& Faults() { return mFaults; }
  const EngineCounters& Counters() const { return mCounters; }
  /// Forgets everything, as a restart on the same address does.
  void Restart();

private:
  struct LoadSample
  {
    std::chrono::steady_clock::time_point mAt;
    std::uint32_t mRunning = 0;
    std::uint64_t mMemoryTokens = 0;
  };

  using SequencePointer = std::shared_ptr<Sequence>;

  EngineStandin(net::io_context& aContext, EngineModel aModel);
  Task<void> StepLoop();
  void StepOnce();
  void EnforceMemory();
  void DropUnread();
  void SampleLoad();
  std::uint32_t Running() const;
  std::uint64_t MemoryTokens() const;
  std::uint32_t Limit() const;
  bool IsWarm() const;
  bool IsMoreThanBorne() const;

  Task<void> Handle(HttpExchange& aExchange);
  Task<void> HandleGenerate(HttpExchange& aExchange);
  Task<void> HandleResume(HttpExchange& aExchange);
  Task<void> HandleCancel(HttpExchange& aExchange);
  Task<void> HandleLoad(HttpExchange& aExchange);
  Task<void> HandleOrder(HttpExchange& aExchange);
  Task<void> HandleControl(HttpExchange& aExchange);
  Task<void> HandleCounters(HttpExchange& aExchange);
  Task<void> HandlePlain(HttpExchange& aExchange);
  SequencePointer StartSequence(std::string_view aBody);
  Task<void> StreamFrom(HttpExchange& aExchange,
                        SequencePointer aSequence,
                        std::uint64_t aOffset,
                        bool aWithFaults);
  static void EndReading(Sequence& aSequence);
  Task<bool> InjectFault(HttpExchange& aExchange,
                         const Sequence& aSequence,
                         std::uint64_t& aOffset);
  SequencePointer FindByRequest(std::string_view aRequest) const;

  net::steady_timer mStepTimer;
  net::steady_timer mProgress;
  EngineModel mModel;
  std::unique_ptr<HttpServer> mServer;
  std::map<std::string, SequencePointer, std::less<>> mSequences;
  std::deque<LoadSample> mLoadSamples;
  std::mt19937_64 mRandom;
  std::uint64_t mIncarnation;
  std::uint64_t mNextGeneration = 1;
  std::uint64_t mHighestFence = 0;
  std::string mOrderedState;
  std::map<std::string, std::uint64_t, std::less<>> mPlainCalls;
  EngineFaults mFaults;
  EngineCounters mCounters;
};

/// The text of a token, a function of its generation's prompt length and its
/// offset only.
std::string TokenText(std::uint64_t aOffset);

} // namespace cactusgw::standins

#endif // CACTUSGW_TESTS_STANDINS_ENGINE_STANDIN_HPP
