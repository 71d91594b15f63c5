#ifndef CACTUSGW_CORE_CREDIT_LEDGER_HPP
#define CACTUSGW_CORE_CREDIT_LEDGER_HPP

/// The owner's account of the credits of one upstream.
///
/// The ledger keeps, for every VM, a bound on the requests that VM may have in
/// flight, and grants only while the sum of all bounds stays within the limit.
/// A VM counts as fresh while it is known not to use its static share: from
/// its acknowledgement of a grant until the validity of that grant ends. A VM
/// that is not fresh is reserved its static share at least.

#include "cactusgw/core/credit_messages.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// A VM that may send to the upstream, with its static share.
struct CreditHolder
{
  std::string mVm;
  std::uint32_t mStaticShare = 0;
};

/// Requests an upstream said it was running.
struct RunningObservation
{
  std::uint32_t mRunning = 0;
  /// A time at or before the one the upstream counted at.
  Instant mSampledAt;
};

/// Not thread-safe; one instance per owned upstream and epoch.
class CreditLedger
{
public:
  /// @param aStartedAt when this ownership began; credits of a former owner
  ///        may be in use until the validity and guard have passed
  static CreditLedger Create(std::span<const CreditHolder> aHolders,
                             std::uint64_t aEpoch,
                             Instant aStartedAt,
                             CreditTimes aTimes);

  /// Takes a changed list of VMs. Shares only rise and VMs only come, since
  /// others may act on the former list still; the next epoch starts anew.
  void AddHolders(std::span<const CreditHolder> aHolders, Instant aNow);

  /// Takes a report and returns the grants to send: one to the reporting VM
  /// and others to VMs that were waiting for what it gave back. Empty when the
  /// report is of another epoch, old, or from a VM that is no holder.
  std::vector<CreditGrant> OnReport(std::string_view aVm,
                                    const CreditReport& aReport,
                                    std::uint32_t aLimit,
                                    Instant aNow);

  /// Offers credits that a raised limit or passed time has freed to waiters.
  std::vector<CreditGrant> GrantWaiting(std::uint32_t aLimit, Instant aNow);

  /// Allows no VM to start more until it has reported anew. What a VM last said
  /// of its use may be old, so nothing is left to it on that account.
  std::vector<CreditGrant> RevokeAll(Instant aNow);

  /// Takes a load report of the upstream as evidence about silent VMs.
  void ObserveRunning(const RunningObservation& aObservation);

  /// The most requests that may be in flight now, over all VMs.
  std::uint32_t Reserved(Instant aNow) const;
  /// Requests in flight as last reported.
  std::uint32_t InUse() const;
  std::uint32_t WaitingVms() const;
  /// The state as one line, for diagnosis: times count from aNow.
  std::string Describe(Instant aNow) const;
  std::uint64_t Epoch() const { return mEpoch; }

private:
  struct SentGrant
  {
    std::uint64_t mSequence = 0;
    Instant mSentAt;
  };

  struct Account
  {
    CreditHolder mHolder;
    /// False until the VM reported in this epoch: its use is unknown.
    bool mReported = false;
    std::uint32_t mReserved = 0;
    std::uint32_t mInUse = 0;
    /// What the VM asked to hold, and what the last grant gave.
    std::uint32_t mWished = 0;
    std::uint32_t mAllotted = 0;
    std::uint64_t mReportSequence = 0;
    std::uint64_t mGrantSequence = 0;
    Instant mFreshUntil;
    Instant mLastGrantSentAt;
    std::vector<SentGrant> mUnacknowledged;
  };

  /// Grants remembered per VM until acknowledged; older ones no longer prove
  /// freshness.
  static constexpr std::size_t kMaxUnacknowledged = 8;
  static constexpr std::uint32_t kUnknown = UINT32_MAX;

  CreditLedger(std::span<const CreditHolder> aHolders,
               std::uint64_t aEpoch,
               Instant aStartedAt,
               CreditTimes aTimes);

  Account* Find(std::string_view aVm);
  bool AcceptReport(const Account* aAccount, const CreditReport& aReport) const;
  void ApplyReport(Account& aAccount, const CreditReport& aReport);
  void ApplyAcknowledgement(Account& aAccount, std::uint64_t aGrant);
  bool IsFresh(const Account& aAccount, Instant aNow) const;
  bool HasEvidence(const Account& aAccount) const;
  std::uint32_t BoundOf(const Account& aAccount, Instant aNow) const;
  std::uint32_t ReservedWithout(const Account* aExcluded, Instant aNow) const;
  std::uint32_t AllowedFor(const Account& aAccount,
                           std::uint32_t aLimit,
                           Instant aNow) const;
  CreditGrant GrantTo(Account& aAccount, std::uint32_t aLimit, Instant aNow);
  void AppendWaiting(std::vector<CreditGrant>& aGrants,
                     std::uint32_t aLimit,
                     Instant aNow);

  std::vector<Account> mAccounts;
  /// Names of VMs whose last report was not fully met, oldest first.
  std::vector<std::string> mWaiting;
  std::uint64_t mEpoch;
  Instant mStartedAt;
  CreditTimes mTimes;
  std::optional<RunningObservation> mObserved;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_CREDIT_LEDGER_HPP
