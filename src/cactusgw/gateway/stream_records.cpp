#include "cactusgw/gateway/stream_records.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Interval of the checks whether a record is due. Streams wait for it at a new
/// version.
constexpr Milliseconds kVersionInterval{ 25 };
constexpr Milliseconds kRetryDelay{ 500 };
/// Interval of the checks whether streams are to be written or removed.
constexpr Milliseconds kOriginInterval{ 100 };
/// Pauses between two reads. All batches together may take some hundred
/// kilobytes.
constexpr Milliseconds kVersionReadPause{ 50 };
constexpr Milliseconds kOriginReadPause{ 500 };

} // namespace

StreamRecords::StreamRecords(net::io_context& aContext,
                             GatewayState& aState,
                             StoreView& aView,
                             StreamVersionRecords aVersions,
                             StreamOriginRecords aOrigins)
  : mContext(aContext)
  , mState(aState)
  , mView(aView)
  , mVersions(std::move(aVersions))
  , mOrigins(std::move(aOrigins))
  , mBatches(StreamOriginBatches::Create(aState.mSettings.mPlace.mVm))
  , mVersionRead(aContext, kVersionReadPause, [this] { return ReadVersions(); })
  , mOriginRead(aContext, kOriginReadPause, [this] { return ReadOrigins(); })
{
  const auto whileUnknown = [&aState](JoinedRead& aRead, std::string aStream) {
    return aRead.Run([&aState, stream = std::move(aStream)] {
      return !aState.mStreamOrigins.VersionOf(stream);
    });
  };
  mState.mReadStreamVersions = [this, whileUnknown](std::string aStream) {
    return whileUnknown(mVersionRead, std::move(aStream));
  };
  mState.mReadStreamOrigins = [this, whileUnknown](std::string aStream) {
    return whileUnknown(mOriginRead, std::move(aStream));
  };
}

void
StreamRecords::OnOriginsHeard()
{
  mVersionRead.Wake();
  mOriginRead.Wake();
}

void
StreamRecords::Start(StreamWriterRole aRole)
{
  mRole = std::move(aRole);
  if (mVersions.mWrite) {
    SpawnLoop(mContext.get_executor(), "stream-version-store", [this] {
      return WriteVersions();
    });
  }
  if (mOrigins.mWrite) {
    SpawnLoop(mContext.get_executor(), "stream-origin-store", [this] {
      return WriteOrigins();
    });
  }
}

Task<bool>
StreamRecords::ReadVersions()
{
  if (!mVersions.mRead) {
    co_return false;
  }
  const StoreVersions versions = mView.Versions();
  const StoreVersion known =
    *std::max_element(versions.begin(), versions.end());
  const Instant start = SteadyNow();
  mState.mMetrics.mStoreCalls.Add();
  Result<CollectionUpdate> update = co_await mVersions.mRead();
  const Instant now = SteadyNow();
  const bool isCurrent = update && update.value().Version() >= known;
  mState.mLog.Write(
    "stream-versions-read",
    { { "outcome",
        isCurrent ? "done" : (update ? "outdated" : update.error().mDetail) },
      { "revision",
        update ? static_cast<std::int64_t>(update.value().mRevision) : 0 },
      { "knownRevision", static_cast<std::int64_t>(known.mRevision) },
      { "tookMs",
        std::chrono::duration_cast<Milliseconds>(now - start).count() } },
    now);
  if (update) {
    mView.Apply(
      StoreCollection::StreamVersions, std::move(update.value()), now);
  }
  co_return isCurrent;
}

std::optional<StreamVersionEdit>
StreamRecords::NextEdit() const
{
  return mState.mStreamVersions.IsListed() && mRole.mMayWriteVersions()
           ? mState.mStreamVersions.NextEdit(SteadyNow())
           : std::nullopt;
}

Task<void>
StreamRecords::WriteVersions()
{
  net::steady_timer timer{ mContext };
  std::optional<Instant> dueSince;
  while (true) {
    timer.expires_after(kVersionInterval);
    co_await timer.async_wait(net::use_awaitable);
    std::optional<StreamVersionEdit> edit = NextEdit();
    if (!edit) {
      dueSince.reset();
      continue;
    }
    const Instant now = SteadyNow();
    dueSince = dueSince.value_or(now);
    if (now - *dueSince >= mRole.mWriteDelay()) {
      co_await Write(std::move(*edit));
      dueSince.reset();
    }
  }
}

Task<void>
StreamRecords::Write(StreamVersionEdit aEdit)
{
  const StoredStreamVersion record = aEdit.mRecord;
  const bool isRemoved = aEdit.mKind == StreamVersionEdit::Kind::Remove;
  const Result<void> done = co_await mVersions.mWrite(std::move(aEdit));
  mState.mLog.Write(
    "stream-version-stored",
    { { "service", record.mService },
      { "version", record.mVersion },
      { "state",
        isRemoved ? "removed" : (record.mIsServing ? "serving" : "left") },
      { "revision", static_cast<std::int64_t>(record.mRevision) },
      { "outcome", done ? std::string{ "done" } : done.error().mDetail } },
    SteadyNow());
  // Shows what was written, here or by another gateway, at once.
  const bool isKnown = co_await mVersionRead.Run();
  if (!isKnown) {
    net::steady_timer timer{ mContext };
    timer.expires_after(kRetryDelay);
    co_await timer.async_wait(net::use_awaitable);
  }
}

Task<void>
StreamRecords::WriteOrigins()
{
  net::steady_timer timer{ mContext };
  // Batches may be left of an earlier start, or of another gateway.
  bool hasBatches = true;
  while (true) {
    timer.expires_after(kOriginInterval);
    co_await timer.async_wait(net::use_awaitable);
    if (!mRole.mWritesStreams()) {
      hasBatches = true;
    } else if (mState.mStreamOrigins.IsAnyShared()) {
      hasBatches = true;
      co_await WriteNextBatch();
    } else if (std::exchange(hasBatches, false)) {
      co_await RemoveBatches();
    }
  }
}

Task<void>
StreamRecords::WriteNextBatch()
{
  std::optional<StreamOriginBatch> batch =
    mBatches.Next(mState.mStreamOrigins, SteadyNow());
  if (!batch) {
    co_return;
  }
  const std::string name = batch->mName;
  const std::size_t streams = batch->mOrigins.size();
  const Result<void> done = co_await mOrigins.mWrite(std::move(*batch));
  if (!done) {
    mBatches.OnFailed();
  }
  mState.mLog.Write(
    "streams-stored",
    { { "name", name },
      { "streams", static_cast<std::int64_t>(streams) },
      { "outcome", done ? std::string{ "done" } : done.error().mDetail } },
    SteadyNow());
}

Task<bool>
StreamRecords::ReadOrigins()
{
  if (!mOrigins.mRead) {
    co_return false;
  }
  mState.mMetrics.mStoreCalls.Add();
  const Result<std::vector<StreamOriginBatch>> batches =
    co_await mOrigins.mRead();
  const Instant now = SteadyNow();
  std::size_t streams = 0;
  if (batches) {
    for (const StreamOriginBatch& batch : batches.value()) {
      streams += batch.mOrigins.size();
      for (const StreamOrigin& origin : batch.mOrigins) {
        mState.mStreamOrigins.AddStored(origin, now);
      }
    }
  }
  mState.mLog.Write(
    "streams-read",
    { { "streams", static_cast<std::int64_t>(streams) },
      { "outcome",
        batches ? std::string{ "done" } : batches.error().mDetail } },
    now);
  co_return batches.has_value();
}

Task<void>
StreamRecords::RemoveBatches()
{
  const Result<std::vector<StreamOriginBatch>> batches =
    co_await mOrigins.mRead();
  // A version may have joined, and streams been written, that this gateway has
  // not heard of.
  const bool isUnneeded = batches && !batches.value().empty() &&
                          co_await mVersionRead.Run() &&
                          !mState.mStreamOrigins.IsAnyShared();
  if (!isUnneeded) {
    co_return; // They are removed after the next time they are used.
  }
  for (const StreamOriginBatch& batch : batches.value()) {
    const Result<void> done = co_await mOrigins.mRemove(batch);
    if (!done) {
      mState.mLog.Write(
        "streams-not-removed",
        { { "name", batch.mName }, { "reason", done.error().mDetail } },
        SteadyNow());
    }
  }
}

} // namespace cactusgw
