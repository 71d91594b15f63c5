#include "cactusgw/gateway/load_changes.hpp"

#include <utility>

namespace cactusgw {

namespace {

/// The entries of the second map that differ from the first, and an entry
/// without load for each that the second lacks.
AggregatedLoads
Difference(const AggregatedLoads& aBefore, const AggregatedLoads& aAfter)
{
  AggregatedLoads changes;
  auto before = aBefore.begin();
  auto after = aAfter.begin();
  while (before != aBefore.end() || after != aAfter.end()) {
    const bool isRemoved =
      after == aAfter.end() ||
      (before != aBefore.end() && before->first < after->first);
    if (isRemoved) {
      changes.emplace_hint(changes.end(), before->first, AggregatedLoad{});
      ++before;
      continue;
    }
    const bool isAdded =
      before == aBefore.end() || after->first < before->first;
    if (isAdded || before->second != after->second) {
      changes.emplace_hint(changes.end(), *after);
    }
    before = isAdded ? before : std::next(before);
    ++after;
  }
  return changes;
}

} // namespace

std::optional<LoadUpdate>
LoadSender::Next(const AggregatedLoads& aLoads, Instant aNow)
{
  LoadUpdate update;
  update.mIsWhole = !mWholeAt || aNow - *mWholeAt >= mWholeInterval;
  if (update.mIsWhole) {
    mWholeAt = aNow;
    update.mEntries = aLoads;
  } else {
    update.mEntries = Difference(mSent, aLoads);
    if (update.mEntries.empty()) {
      return std::nullopt;
    }
  }
  mSent = aLoads;
  update.mSequence = ++mSequence;
  return update;
}

bool
LoadReceiver::Apply(LoadUpdate aUpdate, std::uint64_t aIncarnation)
{
  if (aUpdate.mIsWhole) {
    mLoads = std::move(aUpdate.mEntries);
    mIsCurrent = true;
  } else {
    mIsCurrent = mIsCurrent && mIncarnation == aIncarnation &&
                 aUpdate.mSequence == mSequence + 1;
    if (!mIsCurrent) {
      return false;
    }
    for (auto& [upstream, load] : aUpdate.mEntries) {
      if (load == AggregatedLoad{}) {
        mLoads.erase(upstream);
      } else {
        mLoads.insert_or_assign(upstream, load);
      }
    }
  }
  mIncarnation = aIncarnation;
  mSequence = aUpdate.mSequence;
  return true;
}

} // namespace cactusgw
