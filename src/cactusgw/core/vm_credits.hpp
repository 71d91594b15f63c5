#ifndef CACTUSGW_CORE_VM_CREDITS_HPP
#define CACTUSGW_CORE_VM_CREDITS_HPP

/// A VM's credits for one upstream: the VM's side of the credit protocol, of
/// which CreditLedger is the owner's side.

#include "cactusgw/core/credit_messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusgw {

/// What the VM's current cap for an upstream is based on.
enum class CreditSource
{
  /// A valid grant of the owner.
  Grant,
  /// The static share, because no grant arrived for the grant validity plus the
  /// guard time.
  StaticShare,
  /// Nothing: the last grant has expired, but the owner may still rely on the
  /// VM not using its static share.
  None,
};

/// Not thread-safe; one instance per VM and upstream.
class VmCredits
{
public:
  /// @param aIncarnation increases with each start of the agent, so that
  ///        reports of a former incarnation have lower sequence numbers
  /// @param aStartedAt when the VM's agent started; the static share isn't used
  ///        until the owner can no longer rely on a former incarnation not
  ///        using it
  static VmCredits Create(std::uint32_t aStaticShare,
                          std::uint64_t aIncarnation,
                          Instant aStartedAt,
                          CreditTimes aTimes);

  /// Takes one credit for a request about to be sent. Returns false when none
  /// is free.
  bool TryAcquire(Instant aNow);
  /// Returns the credit of a request that ended.
  void Release();
  /// Counts a request that was already in flight when the agent restarted.
  void Adopt();

  /// Returns the report to send to the owner of the given epoch. The first
  /// report in a new epoch drops the idle credits of the former one.
  CreditReport MakeReport(std::uint64_t aEpoch,
                          std::uint32_t aWanted,
                          Instant aNow);
  /// Applies a grant. Returns false when it is out of date, has expired or is
  /// from another epoch.
  bool OnGrant(const CreditGrant& aGrant, Instant aNow);

  /// Drops the idle credits after a failure of the upstream.
  void DropIdle();
  void SetStaticShare(std::uint32_t aShare) { mStaticShare = aShare; }

  bool HasStaticShare() const { return mStaticShare > 0; }
  CreditSource Source(Instant aNow) const;
  /// Whether the last grant said that other VMs are waiting for credits.
  bool IsScarce() const { return mScarce; }
  /// When the last report was made; a default-constructed time before the
  /// first.
  Instant LastReportAt() const { return mLastReportAt; }
  /// Maximum number of requests that may be in flight at the given time.
  std::uint32_t Cap(Instant aNow) const;
  std::uint32_t InUse() const { return mInUse; }
  std::uint32_t Free(Instant aNow) const;
  /// The state as one line for diagnostics, with times relative to aNow.
  std::string Describe(Instant aNow) const;

private:
  struct SentReport
  {
    std::uint64_t mSequence = 0;
    Instant mSentAt;
  };

  /// Number of sent reports kept to match grants to them.
  static constexpr std::size_t kMaxUnanswered = 16;

  /// Low bits of the sequence number that count the reports of one incarnation.
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
