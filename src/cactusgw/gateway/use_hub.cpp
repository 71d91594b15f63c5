#include "cactusgw/gateway/use_hub.hpp"

#include <utility>

namespace cactusgw {

namespace {

void
AddUse(UseSums& aSums, const UseSums& aMore)
{
  for (const auto& [upstream, more] : aMore) {
    aSums[upstream].mUse += more.mUse;
  }
}

void
AddTurn(UseSums& aSums, const UseSums& aMore)
{
  for (const auto& [upstream, more] : aMore) {
    if (more.mTurn.mMovable > 0) {
      aSums[upstream].mTurn += more.mTurn;
    }
  }
}

} // namespace

UseHub::UseHub(std::string aSelf, std::string aDataCentre)
  : mSelf(std::move(aSelf))
  , mDataCentre(std::move(aDataCentre))
{
}

UseHub
UseHub::Create(std::string aSelf, std::string aDataCentre)
{
  return UseHub{ std::move(aSelf), std::move(aDataCentre) };
}

void
UseHub::SetBelow(std::string_view aName, UseSums aUse, Instant aNow)
{
  mBelow[std::string{ aName }] = Heard{ std::move(aUse), aNow, mDataCentre };
}

void
UseHub::SetBeside(std::string_view aName,
                  std::string_view aDataCentre,
                  UseSums aUse,
                  Instant aNow)
{
  mBeside[std::string{ aName }] =
    Heard{ std::move(aUse), aNow, std::string{ aDataCentre } };
}

void
UseHub::SetAbove(UseSums aRest, Instant aNow)
{
  mAbove = Heard{ std::move(aRest), aNow, mDataCentre };
}

void
UseHub::Expire(Instant aNow)
{
  const auto isOld = [&](const std::pair<const std::string, Heard>& aEntry) {
    return aNow - aEntry.second.mAt >= kValidity;
  };
  std::erase_if(mBelow, isOld);
  std::erase_if(mBeside, isOld);
  if (aNow - mAbove.mAt >= kValidity) {
    mAbove.mUse.clear();
  }
}

std::vector<std::string>
UseHub::Followers() const
{
  std::vector<std::string> names;
  names.reserve(mBelow.size());
  for (const auto& [name, heard] : mBelow) {
    names.push_back(name);
  }
  return names;
}

UseSums
UseHub::Subtree() const
{
  UseSums sums = mOwn;
  for (const auto& [name, heard] : mBelow) {
    AddTo(sums, heard.mUse);
  }
  return sums;
}

UseSums
UseHub::RestFor(std::string_view aName) const
{
  UseSums rest = mAbove.mUse;
  for (const auto& [name, heard] : mBeside) {
    AddUse(rest, heard.mUse);
    if (heard.mDataCentre < mDataCentre) {
      AddTurn(rest, heard.mUse);
    }
  }
  const auto add = [&](std::string_view aOther, const UseSums& aUse) {
    if (aOther == aName) {
      return;
    }
    AddUse(rest, aUse);
    if (aOther < aName) {
      AddTurn(rest, aUse);
    }
  };
  add(mSelf, mOwn);
  for (const auto& [name, heard] : mBelow) {
    add(name, heard.mUse);
  }
  return rest;
}

} // namespace cactusgw
