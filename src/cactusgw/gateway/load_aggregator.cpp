#include "cactusgw/gateway/load_aggregator.hpp"

#include <utility>

namespace cactusgw {

namespace {

void
AddLoads(AggregatedLoads& aSums, const AggregatedLoads& aMore)
{
  for (const auto& [upstream, more] : aMore) {
    aSums[upstream].mLoad += more.mLoad;
  }
}

/// Subtracts loads that are part of the sums.
void
SubtractLoads(AggregatedLoads& aSums, const AggregatedLoads& aPart)
{
  for (const auto& [upstream, part] : aPart) {
    aSums[upstream].mLoad -= part.mLoad;
  }
}

void
AddMigrations(AggregatedLoads& aSums, const AggregatedLoads& aMore)
{
  for (const auto& [upstream, more] : aMore) {
    if (more.mMigrations.mMigratable > 0) {
      aSums[upstream].mMigrations += more.mMigrations;
    }
  }
}

} // namespace

LoadAggregator::LoadAggregator(std::string aSelf, std::string aDataCentre)
  : mSelf(std::move(aSelf))
  , mDataCentre(std::move(aDataCentre))
{
}

LoadAggregator
LoadAggregator::Create(std::string aSelf, std::string aDataCentre)
{
  return LoadAggregator{ std::move(aSelf), std::move(aDataCentre) };
}

void
LoadAggregator::SetOwn(AggregatedLoads aOwn)
{
  mOwn = std::move(aOwn);
  mIsTotalValid = false;
}

void
LoadAggregator::SetChild(std::string_view aName,
                         AggregatedLoads aLoads,
                         Instant aNow)
{
  mIsTotalValid = false;
  mChildren[std::string{ aName }] =
    Report{ std::move(aLoads), aNow, mDataCentre };
}

void
LoadAggregator::SetRemoteRoot(std::string_view aName,
                              std::string_view aDataCentre,
                              AggregatedLoads aLoads,
                              Instant aNow)
{
  mIsTotalValid = false;
  mRemoteRoots[std::string{ aName }] =
    Report{ std::move(aLoads), aNow, std::string{ aDataCentre } };
}

void
LoadAggregator::SetFromParent(AggregatedLoads aRest, Instant aNow)
{
  mIsTotalValid = false;
  mFromParent = Report{ std::move(aRest), aNow, mDataCentre };
}

void
LoadAggregator::Expire(Instant aNow)
{
  const auto isOld = [&](const std::pair<const std::string, Report>& aEntry) {
    return aNow - aEntry.second.mReceivedAt >= kValidity;
  };
  std::size_t expired = std::erase_if(mChildren, isOld);
  expired += std::erase_if(mRemoteRoots, isOld);
  if (aNow - mFromParent.mReceivedAt >= kValidity) {
    expired += mFromParent.mLoads.size();
    mFromParent.mLoads.clear();
  }
  mIsTotalValid = mIsTotalValid && expired == 0;
}

std::vector<std::string>
LoadAggregator::Children() const
{
  std::vector<std::string> names;
  names.reserve(mChildren.size());
  for (const auto& [name, report] : mChildren) {
    names.push_back(name);
  }
  return names;
}

AggregatedLoads
LoadAggregator::Subtree() const
{
  AggregatedLoads sums = mOwn;
  for (const auto& [name, report] : mChildren) {
    AddTo(sums, report.mLoads);
  }
  return sums;
}

const AggregatedLoads&
LoadAggregator::Total() const
{
  if (!std::exchange(mIsTotalValid, true)) {
    mTotal.clear();
    AddLoads(mTotal, mFromParent.mLoads);
    AddLoads(mTotal, mOwn);
    for (const auto& [name, report] : mRemoteRoots) {
      AddLoads(mTotal, report.mLoads);
    }
    for (const auto& [name, report] : mChildren) {
      AddLoads(mTotal, report.mLoads);
    }
  }
  return mTotal;
}

void
LoadAggregator::AddMigrationsBefore(std::string_view aName,
                                    AggregatedLoads& aLoads) const
{
  AddMigrations(aLoads, mFromParent.mLoads);
  for (const auto& [name, report] : mRemoteRoots) {
    if (report.mDataCentre < mDataCentre) {
      AddMigrations(aLoads, report.mLoads);
    }
  }
  if (mSelf < aName) {
    AddMigrations(aLoads, mOwn);
  }
  for (const auto& [name, report] : mChildren) {
    if (name < aName) {
      AddMigrations(aLoads, report.mLoads);
    }
  }
}

AggregatedLoads
LoadAggregator::LoadExcluding(std::string_view aName) const
{
  AggregatedLoads rest = Total();
  const auto child = mChildren.find(aName);
  if (child != mChildren.end()) {
    SubtractLoads(rest, child->second.mLoads);
  } else if (aName == mSelf) {
    SubtractLoads(rest, mOwn);
  }
  AddMigrationsBefore(aName, rest);
  std::erase_if(
    rest, [](const auto& aEntry) { return aEntry.second == AggregatedLoad{}; });
  return rest;
}

} // namespace cactusgw
