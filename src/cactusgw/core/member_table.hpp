#ifndef CACTUSGW_CORE_MEMBER_TABLE_HPP
#define CACTUSGW_CORE_MEMBER_TABLE_HPP

/// The lease holder's account of the VMs of its data centre: who was heard,
/// who may still act as owner, and who has promised not to take the lease.

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
  /// A VM unheard for this long is taken for dead.
  Milliseconds mDeadAfter{ 3000 };
  /// How long an owner may act on one reply.
  Milliseconds mOwnershipValidity{ 4000 };
  /// How long a VM promises not to take the lease.
  Milliseconds mPromise{ 8000 };
  Milliseconds mGuard{ 1000 };
};

/// Not thread-safe.
class MemberTable
{
public:
  static MemberTable Create(MemberTimes aTimes);

  /// New times, after the data centre's size changed.
  void SetTimes(MemberTimes aTimes) { mTimes = aTimes; }

  /// Starts anew after the lease was taken. Owners under the former holder may
  /// act until their validity has passed.
  void OnLeaseTaken(std::span<const OwnerAssignment> aOwners, Instant aNow);

  /// Takes a heartbeat. One of a former incarnation is ignored.
  /// @param aAcknowledged the last reply the VM acted on
  void OnHeartbeat(const VmIncarnation& aVm,
                   std::uint64_t aAcknowledged,
                   Instant aNow);
  /// The VM gave up what it owned and leaves.
  void OnStopping(const VmIncarnation& aVm);
  /// Notes that a reply is sent now and returns its number. The VM may own
  /// and is bound by its promise from this moment.
  std::uint64_t OnReplySent(const VmIncarnation& aVm, Instant aNow);

  OwnerCandidates Candidates(Instant aNow) const;
  bool IsAlive(std::string_view aVm, Instant aNow) const;
  /// Until when all the given VMs have promised not to take the lease; the
  /// earliest time when one has promised nothing.
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
