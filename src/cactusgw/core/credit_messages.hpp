#ifndef CACTUSGW_CORE_CREDIT_MESSAGES_HPP
#define CACTUSGW_CORE_CREDIT_MESSAGES_HPP

/// Messages of the credit protocol between a VM and the owner of an upstream.
/// One credit permits one request in flight on the upstream.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <string>

namespace cactusgw {

/// The limit of an upstream as its owner states it. VMs report it to the next
/// owner, so that a new owner of a warm upstream doesn't have to start from the
/// cold limit.
struct LimitStatement
{
  /// Zero when the limit is unknown.
  std::uint32_t mLimit = 0;
  /// Stable hash of the upstream incarnation to which the limit applies.
  std::uint64_t mIncarnation = 0;

  bool operator==(const LimitStatement&) const = default;
};

/// Sent by a VM to the owner.
struct CreditReport
{
  /// The ownership epoch known to the VM.
  std::uint64_t mEpoch = 0;
  /// Increases with each report of this VM; the owner ignores older reports.
  std::uint64_t mReportSequence = 0;
  /// Sequence number of the last grant the VM applied.
  std::uint64_t mAcknowledgedGrant = 0;
  /// Requests the VM may have in flight; at least mInUse.
  std::uint32_t mCap = 0;
  std::uint32_t mInUse = 0;
  /// Credits the VM could use now in addition to those in use.
  std::uint32_t mWanted = 0;
  /// The limit from the former owner's last grant, sent once to a new owner
  /// while that grant is valid.
  LimitStatement mKnownLimit;
};

/// Sent by the owner to a VM.
struct CreditGrant
{
  std::string mVm;
  std::uint64_t mEpoch = 0;
  std::uint64_t mGrantSequence = 0;
  /// Sequence number of the report that this grant answers. The validity of
  /// the grant starts when that report was sent.
  std::uint64_t mAnswersReport = 0;
  /// The VM's total allotment, not an increment, so that grants are idempotent.
  std::uint32_t mAllotment = 0;
  /// Other VMs are waiting for credits; idle ones are to be returned at once.
  bool mScarce = false;
  LimitStatement mLimit;
};

/// Time limits of the protocol. VMs and owners must use the same values.
struct CreditTimes
{
  /// How long a grant is valid after the report that it answers was sent.
  Milliseconds mGrantValidity{ 3000 };
  /// Added where one side waits for a time limit of the other to expire. Covers
  /// clock drift and the delay between a permit being granted and the request
  /// arriving at the upstream.
  Milliseconds mGuard{ 2000 };
  /// Maximum duration of a request. The requests of a VM that stopped reporting
  /// have ended after this time.
  Milliseconds mMaxRequestTime{ 600'000 };
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_CREDIT_MESSAGES_HPP
