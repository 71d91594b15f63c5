#include "cactusgw/gateway/stream_origin_batches.hpp"

#include <utility>

namespace cactusgw {

std::optional<StreamOriginBatch>
StreamOriginBatches::Next(const StreamOrigins& aOrigins, Instant aNow)
{
  if (aNow - mWrittenAt < kWriteInterval) {
    return std::nullopt;
  }
  auto [added, completeTo] = aOrigins.ChangedSince(mVersion, kMaxInBatch);
  if (added.empty() && !mIsUnwritten) {
    return std::nullopt;
  }
  const bool isFull = mCurrent.size() + added.size() > kMaxInBatch;
  if (!mCurrent.empty() && (isFull || aNow - mBegunAt >= kBatchTime)) {
    mCurrent.clear();
    mNumber = (mNumber + 1) % kBatches;
  }
  if (mCurrent.empty()) {
    mBegunAt = aNow;
  }
  mVersion = completeTo;
  mCurrent.insert(mCurrent.end(), added.begin(), added.end());
  mWrittenAt = aNow;
  mIsUnwritten = false;
  return StreamOriginBatch{ mWriter + "-" + std::to_string(mNumber),
                            mCurrent,
                            0 };
}

} // namespace cactusgw
