#ifndef CACTUSGW_CORE_CREDIT_LEDGER_HPP
#define CACTUSGW_CORE_CREDIT_LEDGER_HPP

/// The credits of one upstream as its owner accounts for them.
///
/// For each VM, the ledger keeps an upper bound on the requests that the VM may
/// have in flight, and grants credits only while the sum of all bounds stays
/// within the limit. A VM is fresh from its acknowledgement of a grant until
/// the validity of that grant ends. During this time it is known not to use its
/// static share. For a VM that is not fresh, at least its static share is
/// reserved.

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

/// The number of running requests that an upstream reported.
struct RunningObservation
{
  std::uint32_t mRunning = 0;
  /// At or before the time at which the upstream counted its requests.
  Instant mSampledAt;
};

/// Not thread-safe; one instance per owned upstream and epoch.
class CreditLedger
{
public:
  /// @param aStartedAt when this ownership began; credits granted by a former
  ///        owner may be used until the grant validity and the guard time have
  ///        passed
  static CreditLedger Create(std::span<const CreditHolder> aHolders,
                             std::uint64_t aEpoch,
                             Instant aStartedAt,
                             CreditTimes aTimes);

  /// Adds VMs from a changed configuration. Within an epoch no VM is removed
  /// and no static share is lowered, because VMs may still act on the former
  /// configuration. A ledger of the next epoch starts with the new list only.
  void AddHolders(std::span<const CreditHolder> aHolders, Instant aNow);

  /// Applies a report and returns the grants to send: one to the reporting VM,
  /// and others to VMs waiting for credits that the report returned. Empty when
  /// the report is from another epoch, out of date, or from a VM that is not a
  /// holder.
  std::vector<CreditGrant> OnReport(std::string_view aVm,
                                    const CreditReport& aReport,
                                    std::uint32_t aLimit,
                                    Instant aNow);

  /// Grants credits that became available, because the limit rose or
  /// reservations expired, to the waiting VMs.
  std::vector<CreditGrant> GrantToWaiting(std::uint32_t aLimit, Instant aNow);

  /// Revokes the allotments of all VMs, so that none may start further requests
  /// until it has reported again. The allotment is reduced to zero, not to the
  /// use that the VM last reported, because that may be out of date.
  std::vector<CreditGrant> RevokeAll(Instant aNow);

  /// Records the upstream's own count of running requests. It bounds what VMs
  /// that no longer report may have in flight.
  void ObserveRunning(const RunningObservation& aObservation);

  /// Upper bound on the requests in flight now, over all VMs.
  std::uint32_t Reserved(Instant aNow) const;
  /// Requests in flight as last reported.
  std::uint32_t InUse() const;
  std::uint32_t WaitingVms() const;
  /// The state as one line for diagnostics, with times relative to aNow.
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
    /// False until the first report in this epoch; the VM's use is unknown
    /// before.
    bool mReported = false;
    /// Upper bound on the credits that the VM may use, from its reports and the
    /// grants sent to it.
    std::uint32_t mReserved = 0;
    std::uint32_t mInUse = 0;
    /// Credits that the VM requested in total.
    std::uint32_t mRequestedTotal = 0;
    /// Credits in the last grant.
    std::uint32_t mAllotted = 0;
    std::uint64_t mReportSequence = 0;
    std::uint64_t mGrantSequence = 0;
    Instant mFreshUntil;
    Instant mLastGrantSentAt;
    std::vector<SentGrant> mUnacknowledged;
  };

  /// Number of unacknowledged grants kept per VM. An acknowledgement of an
  /// older grant doesn't make the VM fresh.
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
  bool IsSampledAfterExpiry(const Account& aAccount) const;
  std::uint32_t BoundOf(const Account& aAccount, Instant aNow) const;
  std::uint32_t ReservedWithout(const Account* aExcluded, Instant aNow) const;
  std::uint32_t AllowedFor(const Account& aAccount,
                           std::uint32_t aLimit,
                           Instant aNow) const;
  CreditGrant GrantTo(Account& aAccount, std::uint32_t aLimit, Instant aNow);
  void AppendWaitingGrants(std::vector<CreditGrant>& aGrants,
                           std::uint32_t aLimit,
                           Instant aNow);

  std::vector<Account> mAccounts;
  /// Names of the VMs that have not received all credits they requested,
  /// ordered by their last report, oldest first.
  std::vector<std::string> mWaiting;
  std::uint64_t mEpoch;
  Instant mStartedAt;
  CreditTimes mTimes;
  std::optional<RunningObservation> mObserved;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_CREDIT_LEDGER_HPP
