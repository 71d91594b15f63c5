#include "ledger.hpp"

#include "channel.hpp"

namespace cactusgw::soak {

bool
RunsAtMostOnce(RequestKind aKind)
{
  return aKind == RequestKind::AtMostOnce || aKind == RequestKind::Stream;
}

void
Ledger::Begin(const Sent& aSent)
{
  const std::lock_guard lock{ mMutex };
  mRecords.mSent.insert_or_assign(aSent.mId, aSent);
}

void
Ledger::End(const Sent& aSent)
{
  const std::lock_guard lock{ mMutex };
  Sent& sent = mRecords.mSent[aSent.mId];
  std::vector<Run> runs = std::move(sent.mRuns);
  sent = aSent;
  sent.mRuns = std::move(runs);
}

std::size_t
Ledger::BeginRun(const std::string& aId, const Run& aRun)
{
  const std::lock_guard lock{ mMutex };
  const auto it = mRecords.mSent.find(aId);
  if (it == mRecords.mSent.end()) {
    mRecords.mUnasked.push_back(aId);
    return 0;
  }
  it->second.mRuns.push_back(aRun);
  return it->second.mRuns.size() - 1;
}

void
Ledger::EndRun(const std::string& aId, std::size_t aRun, bool aHasBrokenOff)
{
  const std::lock_guard lock{ mMutex };
  const auto it = mRecords.mSent.find(aId);
  if (it != mRecords.mSent.end() && aRun < it->second.mRuns.size()) {
    it->second.mRuns[aRun].mEndedMs = NowMs();
    it->second.mRuns[aRun].mHasBrokenOff = aHasBrokenOff;
  }
}

void
Ledger::Add(const Disturbance& aDisturbance)
{
  const std::lock_guard lock{ mMutex };
  mRecords.mDisturbances.push_back(aDisturbance);
}

void
Ledger::Add(const Ending& aEnding)
{
  const std::lock_guard lock{ mMutex };
  mRecords.mEndings.push_back(aEnding);
}

void
Ledger::Add(const Peak& aPeak)
{
  const std::lock_guard lock{ mMutex };
  mRecords.mPeaks.push_back(aPeak);
}

void
Ledger::Add(const Start& aStart)
{
  const std::lock_guard lock{ mMutex };
  mRecords.mStarts.push_back(aStart);
}

Records
Ledger::Copy()
{
  const std::lock_guard lock{ mMutex };
  return mRecords;
}

} // namespace cactusgw::soak
