#include "cactusgw/gateway/upstream_use.hpp"

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

UpstreamUse&
UpstreamUse::operator+=(const UpstreamUse& aOther)
{
  mRequests += aOther.mRequests;
  mTokens += aOther.mTokens;
  mPromptTokens += aOther.mPromptTokens;
  mMovable += aOther.mMovable;
  return *this;
}

UpstreamUse&
UpstreamUse::operator-=(const UpstreamUse& aOther)
{
  SubtractDownToZero(mRequests, aOther.mRequests);
  SubtractDownToZero(mTokens, aOther.mTokens);
  SubtractDownToZero(mPromptTokens, aOther.mPromptTokens);
  SubtractDownToZero(mMovable, aOther.mMovable);
  return *this;
}

MoveTurn&
MoveTurn::operator+=(const MoveTurn& aOther)
{
  mTokens += aOther.mTokens;
  mMovable += aOther.mMovable;
  return *this;
}

UseSums
SumOf(const UseByUpstream& aUse)
{
  UseSums sums;
  for (const auto& [upstream, use] : aUse) {
    UseSum& sum = sums[upstream];
    sum.mUse = use;
    if (use.mMovable > 0) {
      sum.mTurn = MoveTurn{ use.mTokens, use.mMovable };
    }
  }
  return sums;
}

void
AddTo(UseSums& aSums, const UseSums& aMore)
{
  for (const auto& [upstream, more] : aMore) {
    UseSum& sum = aSums[upstream];
    sum.mUse += more.mUse;
    sum.mTurn += more.mTurn;
  }
}

} // namespace cactusgw
