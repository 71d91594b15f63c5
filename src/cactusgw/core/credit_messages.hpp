#ifndef CACTUSGW_CORE_CREDIT_MESSAGES_HPP
#define CACTUSGW_CORE_CREDIT_MESSAGES_HPP

/// What a VM and the owner of an upstream say to each other about credits.
/// One credit allows one request in flight on the upstream.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <string>

namespace cactusgw {

/// An upstream's limit as its owner sees it. VMs say it back, so that a new
/// owner of a warm upstream need not start from the cold limit.
struct LimitStatement
{
  /// Zero when nothing is known.
  std::uint32_t mLimit = 0;
  /// Stable hash of the upstream's incarnation that the limit is for.
  std::uint64_t mIncarnation = 0;

  bool operator==(const LimitStatement&) const = default;
};

/// VM to owner.
struct CreditReport
{
  /// The ownership epoch the VM believes in.
  std::uint64_t mEpoch = 0;
  /// Rises with each report of this VM; older reports are ignored.
  std::uint64_t mReportSequence = 0;
  /// The last grant the VM applied.
  std::uint64_t mAcknowledgedGrant = 0;
  /// Requests the VM may have in flight; at least mInUse.
  std::uint32_t mCap = 0;
  std::uint32_t mInUse = 0;
  /// Further credits the VM could use now.
  std::uint32_t mWanted = 0;
  /// What the last grant said, while it is valid.
  LimitStatement mKnownLimit;
};

/// Owner to VM.
struct CreditGrant
{
  std::string mVm;
  std::uint64_t mEpoch = 0;
  std::uint64_t mGrantSequence = 0;
  /// The report whose sending time starts the validity.
  std::uint64_t mAnswersReport = 0;
  /// The VM's whole allotment, so that a repeated grant changes nothing.
  std::uint32_t mAllotment = 0;
  /// Other VMs wait for credits: give idle ones back at once.
  bool mScarce = false;
  LimitStatement mLimit;
};

/// Times both sides must share.
struct CreditTimes
{
  /// How long a grant may be used, from the sending of the report it answers.
  Milliseconds mGrantValidity{ 3000 };
  /// Added where one side waits for the other's time to run out: covers clock
  /// drift and the delay between a permit and the request's arrival.
  Milliseconds mGuard{ 2000 };
  /// The longest a request may run; after this, requests of a VM that was
  /// never heard again have ended.
  Milliseconds mMaxRequestTime{ 600'000 };
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_CREDIT_MESSAGES_HPP
