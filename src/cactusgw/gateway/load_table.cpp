#include "cactusgw/gateway/load_table.hpp"

#include <utility>

namespace cactusgw {

void
LoadTable::Add(std::string_view aUpstream, const UpstreamLoad& aLoad)
{
  mOwn[std::string{ aUpstream }] += aLoad;
  ++mOwnVersion;
}

void
LoadTable::Subtract(std::string_view aUpstream, const UpstreamLoad& aLoad)
{
  const auto it = mOwn.find(aUpstream);
  if (it == mOwn.end()) {
    return;
  }
  it->second -= aLoad;
  ++mOwnVersion;
  if (it->second == UpstreamLoad{}) {
    mOwn.erase(it);
  }
}

void
LoadTable::SetOthers(AggregatedLoads aOthers, Instant aAsOf)
{
  mOthers = std::move(aOthers);
  mOthersAsOf = aAsOf;
}

const AggregatedLoad*
LoadTable::FindOthers(std::string_view aUpstream, Instant aNow) const
{
  const auto it = mOthers.find(aUpstream);
  const bool isValid = it != mOthers.end() && aNow - mOthersAsOf < kValidity;
  return isValid ? &it->second : nullptr;
}

UpstreamLoad
LoadTable::Total(std::string_view aUpstream, Instant aNow) const
{
  UpstreamLoad total;
  const auto own = mOwn.find(aUpstream);
  if (own != mOwn.end()) {
    total += own->second;
  }
  const AggregatedLoad* const others = FindOthers(aUpstream, aNow);
  if (others != nullptr) {
    total += others->mLoad;
  }
  return total;
}

PendingMigrations
LoadTable::MigrationsAhead(std::string_view aUpstream, Instant aNow) const
{
  const AggregatedLoad* const others = FindOthers(aUpstream, aNow);
  return others == nullptr ? PendingMigrations{} : others->mMigrations;
}

} // namespace cactusgw
