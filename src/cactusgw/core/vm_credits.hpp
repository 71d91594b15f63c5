#ifndef CACTUSGW_CORE_VM_CREDITS_HPP
#define CACTUSGW_CORE_VM_CREDITS_HPP

/// A VM's credits for one upstream: the other side of CreditLedger.

#include "cactusgw/core/credit_messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusgw {

/// Where the wallet's present cap comes from.
enum class CreditSource
{
  /// A grant of the owner that is still valid.
  Grant,
  /// The static share, because no owner was heard for long enough.
  StaticShare,
  /// Neither: a grant ran out, and the owner may still count on it.
  None,
};

/// Not thread-safe; one instance per VM and upstream.
class VmCredits
{
public:
  /// @param aStartedAt when the VM's agent started; the static share is not
  ///        used until a former incarnation's promises have run out
  /// @param aIncarnation rises with each start of the agent, so that reports
  ///        of a former incarnation count as older
  static VmCredits Create(std::uint32_t aStaticShare,
                          std::uint64_t aIncarnation,
                          Instant aStartedAt,
                          CreditTimes aTimes);

  /// Takes one credit for a request about to be sent.
  bool TryAcquire(Instant aNow);
  /// Gives back one credit of a request that ended.
  void Release();
  /// Counts a request that is in flight already, found after a restart.
  void Adopt();

  /// The report to send to the owner of the given epoch. Entering a new epoch
  /// drops idle credits of the former one.
  CreditReport MakeReport(std::uint64_t aEpoch,
                          std::uint32_t aWanted,
                          Instant aNow);
  /// Applies a grant. Returns false when it is old, late or of another epoch.
  bool OnGrant(const CreditGrant& aGrant, Instant aNow);

  /// Drops idle credits, because the upstream showed trouble.
  void DropIdle();
  void SetStaticShare(std::uint32_t aShare) { mStaticShare = aShare; }

  bool HasStaticShare() const { return mStaticShare > 0; }
  CreditSource Source(Instant aNow) const;
  /// The owner said that other VMs wait.
  bool IsScarce() const { return mScarce; }
  /// When the last report was made; unset before the first.
  Instant LastReportAt() const { return mLastReportAt; }
  /// Requests that may be in flight now.
  std::uint32_t Cap(Instant aNow) const;
  std::uint32_t InUse() const { return mInUse; }
  std::uint32_t Free(Instant aNow) const;
  /// The state as one line, for diagnosis: times count from aNow.
  std::string Describe(Instant aNow) const;

private:
  struct SentReport
  {
    std::uint64_t mSequence = 0;
    Instant mSentAt;
  };

  /// Reports remembered until answered.
  static constexpr std::size_t kMaxUnanswered = 16;

  /// Room for the reports of one incarnation, in bits.
  static constexpr unsigned kSequenceBits = 20;

  VmCredits(std::uint32_t aStaticShare,
            std::uint64_t aIncarnation,
            Instant aStartedAt,
            CreditTimes aTimes);
  const SentReport* FindReport(std::uint64_t aSequence) const;

  std::uint32_t mStaticShare;
  CreditTimes mTimes;
  std::uint64_t mEpoch = 0;
  std::uint64_t mReportSequence = 0;
  std::uint64_t mGrantSequence = 0;
  std::uint32_t mAllotment = 0;
  std::uint32_t mInUse = 0;
  Instant mUsableUntil;
  Instant mStaticFrom;
  Instant mLastReportAt;
  LimitStatement mKnownLimit;
  bool mScarce = false;
  std::vector<SentReport> mReports;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_VM_CREDITS_HPP
