#include "cactusgw/gateway/upstream_load.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

template<typename Number>
void
SubtractDownToZero(Number& aFrom, Number aWhat)
{
  aFrom -= std::min(aFrom, aWhat);
}

} // namespace

UpstreamLoad&
UpstreamLoad::operator+=(const UpstreamLoad& aOther)
{
  mRequests += aOther.mRequests;
  mTokens += aOther.mTokens;
  mPromptTokens += aOther.mPromptTokens;
  mMigratable += aOther.mMigratable;
  mRecent += aOther.mRecent;
  mRecentAnswers += aOther.mRecentAnswers;
  mRecentFailures += aOther.mRecentFailures;
  return *this;
}

UpstreamLoad&
UpstreamLoad::operator-=(const UpstreamLoad& aOther)
{
  SubtractDownToZero(mRequests, aOther.mRequests);
  SubtractDownToZero(mTokens, aOther.mTokens);
  SubtractDownToZero(mPromptTokens, aOther.mPromptTokens);
  SubtractDownToZero(mMigratable, aOther.mMigratable);
  SubtractDownToZero(mRecent, aOther.mRecent);
  SubtractDownToZero(mRecentAnswers, aOther.mRecentAnswers);
  SubtractDownToZero(mRecentFailures, aOther.mRecentFailures);
  return *this;
}

PendingMigrations&
PendingMigrations::operator+=(const PendingMigrations& aOther)
{
  mTokens += aOther.mTokens;
  mMigratable += aOther.mMigratable;
  return *this;
}

AggregatedLoads
Aggregate(const LoadByUpstream& aLoads)
{
  AggregatedLoads sums;
  for (const auto& [upstream, load] : aLoads) {
    AggregatedLoad& sum = sums[upstream];
    sum.mLoad = load;
    if (load.mMigratable > 0) {
      sum.mMigrations = PendingMigrations{ load.mTokens, load.mMigratable };
    }
  }
  return sums;
}

void
AddTo(AggregatedLoads& aSums, const AggregatedLoads& aMore)
{
  for (const auto& [upstream, more] : aMore) {
    AggregatedLoad& sum = aSums[upstream];
    sum.mLoad += more.mLoad;
    sum.mMigrations += more.mMigrations;
  }
}

} // namespace cactusgw
