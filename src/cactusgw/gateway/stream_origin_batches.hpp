#ifndef CACTUSGW_GATEWAY_STREAM_ORIGIN_BATCHES_HPP
#define CACTUSGW_GATEWAY_STREAM_ORIGIN_BATCHES_HPP

/// Keeps the versions that began streams in the platform's store, so that they
/// outlast the gateways that know them. Only while they can't be told by other
/// means, and many in one object.

#include "cactusgw/gateway/stream_origins.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw {

/// Streams as the store holds them in one object.
struct StreamOriginBatch
{
  std::string mName;
  /// The time of their begin isn't stored.
  std::vector<StreamOrigin> mOrigins;
  /// Revision of the object when it was read.
  std::uint64_t mRevision = 0;
};

/// Functions that read and change the batches. Empty where the platform has no
/// place for them.
struct StreamOriginRecords
{
  /// Writes a batch, whether it is there or not. Errors: StoreUnavailable.
  std::function<boost::asio::awaitable<Result<void>>(StreamOriginBatch)> mWrite;
  /// Returns all batches. Errors: StoreUnavailable.
  std::function<
    boost::asio::awaitable<Result<std::vector<StreamOriginBatch>>>()>
    mRead;
  /// Removes a batch that was read, if it has not been written since. Errors:
  /// Conflict, StoreUnavailable.
  std::function<boost::asio::awaitable<Result<void>>(StreamOriginBatch)>
    mRemove;
};

/// Decides what to write. Not thread-safe. Time is passed in.
class StreamOriginBatches
{
public:
  /// Minimum time between two writes. Streams that began later than this before
  /// the end of all gateways are unknown.
  static constexpr Milliseconds kWriteInterval{ 500 };
  /// How long streams are added to one batch. The next batch replaces the
  /// oldest one, whose streams are older than StreamOrigins::kLifetime.
  static constexpr Milliseconds kBatchTime{ 10'000 };
  static constexpr std::size_t kBatches = 8;
  /// A batch is begun sooner when it holds as many.
  static constexpr std::size_t kMaxInBatch = 8192;

  static_assert(kBatchTime * (kBatches - 1) > StreamOrigins::kLifetime);

  /// @param aWriter names the batches; unique among gateways
  static StreamOriginBatches Create(std::string aWriter)
  {
    return StreamOriginBatches{ std::move(aWriter) };
  }

  /// The batch to write, if any stream is to be added.
  std::optional<StreamOriginBatch> Next(const StreamOrigins& aOrigins,
                                        Instant aNow);
  /// The last batch was not written.
  void OnFailed() { mIsUnwritten = true; }

private:
  explicit StreamOriginBatches(std::string aWriter)
    : mWriter(std::move(aWriter))
  {
  }

  std::string mWriter;
  std::vector<StreamOrigin> mCurrent;
  std::size_t mNumber = 0;
  Instant mBegunAt;
  Instant mWrittenAt;
  /// Version of the streams up to which they are in a batch.
  std::uint64_t mVersion = 0;
  bool mIsUnwritten = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STREAM_ORIGIN_BATCHES_HPP
