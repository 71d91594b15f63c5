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
LoadAggregator::SetChild(std::string_view aName,
                         AggregatedLoads aLoads,
                         Instant aNow)
{
  mChildren[std::string{ aName }] =
    Report{ std::move(aLoads), aNow, mDataCentre };
}

void
LoadAggregator::SetRemoteRoot(std::string_view aName,
                              std::string_view aDataCentre,
                              AggregatedLoads aLoads,
                              Instant aNow)
{
  mRemoteRoots[std::string{ aName }] =
    Report{ std::move(aLoads), aNow, std::string{ aDataCentre } };
}

void
LoadAggregator::SetFromParent(AggregatedLoads aRest, Instant aNow)
{
  mFromParent = Report{ std::move(aRest), aNow, mDataCentre };
}

void
LoadAggregator::Expire(Instant aNow)
{
  const auto isOld = [&](const std::pair<const std::string, Report>& aEntry) {
    return aNow - aEntry.second.mReceivedAt >= kValidity;
  };
  std::erase_if(mChildren, isOld);
  std::erase_if(mRemoteRoots, isOld);
  if (aNow - mFromParent.mReceivedAt >= kValidity) {
    mFromParent.mLoads.clear();
  }
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

AggregatedLoads
LoadAggregator::LoadExcluding(std::string_view aName) const
{
  AggregatedLoads rest = mFromParent.mLoads;
  for (const auto& [name, report] : mRemoteRoots) {
    AddLoads(rest, report.mLoads);
    if (report.mDataCentre < mDataCentre) {
      AddMigrations(rest, report.mLoads);
    }
  }
  const auto add = [&](std::string_view aOther, const AggregatedLoads& aLoads) {
    if (aOther == aName) {
      return;
    }
    AddLoads(rest, aLoads);
    if (aOther < aName) {
      AddMigrations(rest, aLoads);
    }
  };
  add(mSelf, mOwn);
  for (const auto& [name, report] : mChildren) {
    add(name, report.mLoads);
  }
  return rest;
}

} // namespace cactusgw
