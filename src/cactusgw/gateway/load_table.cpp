#include "cactusgw/gateway/load_table.hpp"

#include <utility>

namespace cactusgw {

void
LoadTable::Add(std::string_view aUpstream, const UpstreamUse& aUse)
{
  mOwn[std::string{ aUpstream }] += aUse;
  ++mOwnVersion;
}

void
LoadTable::Subtract(std::string_view aUpstream, const UpstreamUse& aUse)
{
  const auto it = mOwn.find(aUpstream);
  if (it == mOwn.end()) {
    return;
  }
  it->second -= aUse;
  ++mOwnVersion;
  if (it->second == UpstreamUse{}) {
    mOwn.erase(it);
  }
}

void
LoadTable::SetOthers(UseSums aOthers, Instant aHeard)
{
  mOthers = std::move(aOthers);
  mHeard = aHeard;
}

const UseSum*
LoadTable::FindOthers(std::string_view aUpstream, Instant aNow) const
{
  const auto it = mOthers.find(aUpstream);
  const bool isValid = it != mOthers.end() && aNow - mHeard < kValidity;
  return isValid ? &it->second : nullptr;
}

UpstreamUse
LoadTable::Total(std::string_view aUpstream, Instant aNow) const
{
  UpstreamUse total;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    total += own->second;
  }
  const UseSum* const others = FindOthers(aUpstream, aNow);
  if (others != nullptr) {
    total += others->mUse;
  }
  return total;
}

MoveTurn
LoadTable::MovedFirst(std::string_view aUpstream, Instant aNow) const
{
  const UseSum* const others = FindOthers(aUpstream, aNow);
  return others == nullptr ? MoveTurn{} : others->mTurn;
}

} // namespace cactusgw
