#include "cactusgw/core/permit_table.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Low bits of a permit id that count the permits of one incarnation.
constexpr unsigned kPermitBits = 24;

} // namespace

PermitTable
PermitTable::Create(std::uint64_t aIncarnation)
{
  return PermitTable{ aIncarnation };
}

PermitTable::PermitTable(std::uint64_t aIncarnation)
  : mLastId(aIncarnation << kPermitBits)
{
}

const Permit&
PermitTable::Add(std::string_view aUpstream,
                 std::string_view aWorkspace,
                 Instant aNow)
{
  ++mLastId;
  ++mInFlight[std::string{ aWorkspace }];
  Permit& permit = mPermits[mLastId];
  permit.mId = mLastId;
  permit.mUpstream = aUpstream;
  permit.mWorkspace = aWorkspace;
  permit.mGrantedAt = aNow;
  return permit;
}

std::optional<Permit>
PermitTable::Remove(std::uint64_t aId)
{
  const auto it = mPermits.find(aId);
  if (it == mPermits.end()) {
    return std::nullopt;
  }
  Permit permit = std::move(it->second);
  mPermits.erase(it);
  DecrementInFlight(permit);
  return permit;
}

std::vector<std::string>
PermitTable::Reconcile(std::span<const LivePermit> aLive,
                       bool aIsNewEntry,
                       Instant aNow)
{
  std::vector<std::string> adopted;
  for (const LivePermit& live : aLive) {
    if (mPermits.contains(live.mPermit)) {
      continue;
    }
    mPermits[live.mPermit] = {
      live.mPermit, live.mUpstream, {}, aNow, std::nullopt
    };
    // The entry doesn't report workspaces, so adopted permits count for none.
    ++mInFlight[""];
    adopted.push_back(live.mUpstream);
  }
  for (auto& [id, permit] : mPermits) {
    const std::uint64_t wanted = id;
    const bool isLive =
      std::any_of(aLive.begin(), aLive.end(), [&](const LivePermit& aPermit) {
        return aPermit.mPermit == wanted;
      });
    const bool isOld =
      aIsNewEntry || aNow >= permit.mGrantedAt + kPermitTransitTime;
    if (isLive) {
      permit.mAbandonedAt.reset();
    } else if (isOld && !permit.mAbandonedAt) {
      permit.mAbandonedAt = aNow;
    }
  }
  return adopted;
}

std::vector<Permit>
PermitTable::RemoveAbandoned(Milliseconds aFor, Instant aNow)
{
  std::vector<Permit> removed;
  std::erase_if(mPermits, [&](const auto& aItem) {
    const Permit& permit = aItem.second;
    const bool isOver =
      permit.mAbandonedAt && aNow >= *permit.mAbandonedAt + aFor;
    if (isOver) {
      DecrementInFlight(permit);
      removed.push_back(permit);
    }
    return isOver;
  });
  return removed;
}

std::uint32_t
PermitTable::InFlight(std::string_view aWorkspace) const
{
  const auto it = mInFlight.find(aWorkspace);
  return it == mInFlight.end() ? 0 : it->second;
}

void
PermitTable::DecrementInFlight(const Permit& aPermit)
{
  const auto it = mInFlight.find(aPermit.mWorkspace);
  if (it != mInFlight.end() && --it->second == 0) {
    mInFlight.erase(it);
  }
}

} // namespace cactusgw
