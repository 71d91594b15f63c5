#ifndef CACTUSGW_INTERFACES_ENGINE_CLIENT_HPP
#define CACTUSGW_INTERFACES_ENGINE_CLIENT_HPP

/// Interface of clients for model engines; see docs/contracts/engine.md.

#include "cactusgw/core/checked_address.hpp"
#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>

namespace cactusgw {

struct GenerationRequest
{
  std::string mRequestId;
  std::string mModel;
  std::string mPrompt;
  std::uint32_t mMaxTokens = 0;
  std::uint32_t mPriority = 0;
};

/// One frame of a generation. Owns its strings.
struct GenerationFrame
{
  std::string mGeneration;
  std::uint64_t mOffset = 0;
  std::string mText;
  bool mIsEnd = false;
  /// In the last frame: "stop", "length" or "cancelled".
  std::string mFinishReason;
};

/// Timeouts for an upstream.
struct EngineTimes
{
  Milliseconds mConnect{ 1000 };
  Milliseconds mFirstByte{ 30'000 };
  Milliseconds mSilence{ 5000 };
};

/// Load reported by an engine, mAge old.
struct EngineLoad
{
  /// Differs after each start of the engine.
  std::string mIncarnation;
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint64_t mMemoryTokens = 0;
  std::uint64_t mMemoryLimitTokens = 0;
  std::uint64_t mPreemptions = 0;
  std::uint64_t mOverloads = 0;
  /// Age of the sample.
  Milliseconds mAge{ 0 };
};

template<typename Stream>
concept GenerationStream = requires(Stream& aStream)
{
  /// Returns the next frame. Errors: UpstreamBroke, UpstreamSilent.
  {
    aStream.Next()
    } -> std::same_as<boost::asio::awaitable<Result<GenerationFrame>>>;
  /// Makes a pending Next() fail.
  aStream.Close();
};

template<typename Client>
concept EngineClient = GenerationStream<typename Client::Stream> &&
  requires(Client& aClient,
           std::string aText,
           CheckedAddress aAddress,
           GenerationRequest aRequest,
           EngineTimes aTimes,
           std::uint64_t aOffset)
{
  /// Starts a generation. Errors: NotRun when it provably did not start.
  {
    aClient.Start(aAddress, aRequest, aTimes)
    } -> std::same_as<
      boost::asio::awaitable<Result<std::unique_ptr<typename Client::Stream>>>>;
  /// Continues a running generation from an offset on a new connection.
  {
    aClient.Resume(aAddress, aText, aOffset, aTimes)
    } -> std::same_as<
      boost::asio::awaitable<Result<std::unique_ptr<typename Client::Stream>>>>;
  /// Cancels the generation of a request; on success it has stopped.
  {
    aClient.Cancel(aText, aText)
    } -> std::same_as<boost::asio::awaitable<Result<void>>>;
  {
    aClient.Load(aText)
    } -> std::same_as<boost::asio::awaitable<Result<EngineLoad>>>;
};

} // namespace cactusgw

#endif // CACTUSGW_INTERFACES_ENGINE_CLIENT_HPP
