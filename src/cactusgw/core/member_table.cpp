#include "cactusgw/core/member_table.hpp"

#include <algorithm>

namespace cactusgw {

MemberTable
MemberTable::Create(MemberTimes aTimes)
{
  return MemberTable{ aTimes };
}

MemberTable::MemberTable(MemberTimes aTimes)
  : mTimes(aTimes)
{
}

void
MemberTable::OnLeaseTaken(std::span<const OwnerAssignment> aOwners,
                          Instant aNow)
{
  mMembers.clear();
  for (const OwnerAssignment& owner : aOwners) {
    Member* member = Find(owner.mOwner);
    if (member == nullptr) {
      mMembers.push_back({});
      member = &mMembers.back();
      member->mVm = owner.mOwner;
    }
    member->mOwnershipUntil = aNow + mTimes.mOwnershipValidity;
  }
}

void
MemberTable::OnHeartbeat(const VmIncarnation& aVm,
                         std::uint64_t aAcknowledged,
                         Instant aNow)
{
  const Member* latest = FindLatest(aVm.mVm);
  if (latest != nullptr && latest->mVm.mIncarnation > aVm.mIncarnation) {
    return;
  }
  std::erase_if(mMembers, [&](const Member& aMember) {
    const bool isFormer = aMember.mVm.mVm == aVm.mVm && aMember.mVm != aVm;
    return isFormer && aNow >= aMember.mOwnershipUntil + mTimes.mGuard;
  });
  Member* member = Find(aVm);
  if (member == nullptr) {
    mMembers.push_back({});
    member = &mMembers.back();
    member->mVm = aVm;
  }
  member->mHasHeartbeat = true;
  member->mLastHeartbeatAt = aNow;
  if (aAcknowledged != 0 && aAcknowledged == member->mLastReply) {
    // Counting from the sending is safe: the VM counts its promise from the
    // receipt of the reply, which is later.
    member->mPromisedUntil = member->mLastReplyAt + mTimes.mPromise;
  }
}

void
MemberTable::OnStopping(const VmIncarnation& aVm)
{
  if (Member* member = Find(aVm)) {
    member->mStopping = true;
    member->mOwnershipUntil = Instant{};
  }
}

std::uint64_t
MemberTable::OnReplySent(const VmIncarnation& aVm, Instant aNow)
{
  Member* member = Find(aVm);
  if (member == nullptr) {
    return 0;
  }
  member->mOwnershipUntil = aNow + mTimes.mOwnershipValidity;
  member->mLastReplyAt = aNow;
  return ++member->mLastReply;
}

OwnerCandidates
MemberTable::Candidates(Instant aNow) const
{
  OwnerCandidates candidates;
  for (const Member& member : mMembers) {
    const bool alive = IsAlive(member, aNow);
    const bool mayAct = aNow < member.mOwnershipUntil + mTimes.mGuard;
    if (member.mStopping) {
      continue;
    }
    if (alive) {
      candidates.mAlive.push_back(member.mVm);
    }
    if (alive || mayAct) {
      candidates.mKeep.push_back(member.mVm);
    }
  }
  return candidates;
}

bool
MemberTable::IsAlive(std::string_view aVm, Instant aNow) const
{
  const Member* member = FindLatest(aVm);
  return member != nullptr && IsAlive(*member, aNow);
}

Instant
MemberTable::PromisedUntil(std::span<const std::string> aVms) const
{
  Instant earliest = Instant::max();
  for (const std::string& vm : aVms) {
    const Member* member = FindLatest(vm);
    earliest = std::min(earliest,
                        member == nullptr ? Instant{} : member->mPromisedUntil);
  }
  return aVms.empty() ? Instant{} : earliest;
}

MemberTable::Member*
MemberTable::Find(const VmIncarnation& aVm)
{
  const auto it =
    std::find_if(mMembers.begin(), mMembers.end(), [&](const Member& aMember) {
      return aMember.mVm == aVm;
    });
  return it == mMembers.end() ? nullptr : &*it;
}

const MemberTable::Member*
MemberTable::FindLatest(std::string_view aVm) const
{
  const Member* latest = nullptr;
  for (const Member& member : mMembers) {
    const bool isNewer =
      latest == nullptr || member.mVm.mIncarnation > latest->mVm.mIncarnation;
    if (member.mVm.mVm == aVm && isNewer) {
      latest = &member;
    }
  }
  return latest;
}

bool
MemberTable::IsAlive(const Member& aMember, Instant aNow) const
{
  const Member* latest = FindLatest(aMember.mVm.mVm);
  const bool isLatest =
    latest != nullptr && latest->mVm.mIncarnation == aMember.mVm.mIncarnation;
  return isLatest && aMember.mHasHeartbeat && !aMember.mStopping &&
         aNow < aMember.mLastHeartbeatAt + mTimes.mDeadAfter;
}

} // namespace cactusgw
