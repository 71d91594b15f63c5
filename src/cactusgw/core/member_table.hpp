#ifndef CACTUSGW_CORE_MEMBER_TABLE_HPP
#define CACTUSGW_CORE_MEMBER_TABLE_HPP

/// The lease holder's membership table of the VMs of its data centre: which
/// VMs are alive, which may still act as owner, and which have promised not to
/// take the lease.

#include "cactusgw/core/ownership.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

struct MemberTimes
{
  /// A VM without a heartbeat for this long is considered dead.
  Milliseconds mDeadAfter{ 3000 };
  /// How long an owner may act as one after each heartbeat reply.
  Milliseconds mOwnershipValidity{ 4000 };
  /// How long a VM promises not to take the lease after each heartbeat reply.
  Milliseconds mPromise{ 8000 };
  Milliseconds mGuard{ 1000 };
};

/// Not thread-safe.
class MemberTable
{
public:
  static MemberTable Create(MemberTimes aTimes);

  /// Changes the times. The agent derives them from the heartbeat interval,
  /// which grows with the number of VMs in the data centre.
  void SetTimes(MemberTimes aTimes) { mTimes = aTimes; }

  /// Clears the table after this VM took the lease. Owners assigned by the
  /// previous holder may still act until their validity has passed.
  void OnLeaseTaken(std::span<const OwnerAssignment> aOwners, Instant aNow);

  /// Records a heartbeat. Ignores it if a later incarnation is known.
  /// @param aAcknowledged number of the last reply that the VM acted on
  void OnHeartbeat(const VmIncarnation& aVm,
                   std::uint64_t aAcknowledged,
                   Instant aNow);
  /// The VM has given up its ownership and is shutting down.
  void OnStopping(const VmIncarnation& aVm);
  /// Records that a reply is being sent. From now on, the VM may act as owner
  /// and is bound by its promise.
  /// @return the number of the reply; zero if the VM is unknown
  std::uint64_t OnReplySent(const VmIncarnation& aVm, Instant aNow);

  OwnerCandidates Candidates(Instant aNow) const;
  bool IsAlive(std::string_view aVm, Instant aNow) const;
  /// The time until which all given VMs have promised not to take the lease;
  /// Instant{} if one of them has made no promise.
  Instant PromisedUntil(std::span<const std::string> aVms) const;

private:
  struct Member
  {
    VmIncarnation mVm;
    Instant mLastHeartbeatAt;
    bool mHasHeartbeat = false;
    bool mStopping = false;
    Instant mOwnershipUntil;
    std::uint64_t mLastReply = 0;
    Instant mLastReplyAt;
    Instant mPromisedUntil;
  };

  explicit MemberTable(MemberTimes aTimes);
  Member* Find(const VmIncarnation& aVm);
  const Member* FindLatest(std::string_view aVm) const;
  bool IsAlive(const Member& aMember, Instant aNow) const;

  MemberTimes mTimes;
  std::vector<Member> mMembers;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_MEMBER_TABLE_HPP
