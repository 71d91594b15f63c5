#ifndef CACTUSGW_CORE_UPSTREAM_OWNER_HPP
#define CACTUSGW_CORE_UPSTREAM_OWNER_HPP

/// The owner of an upstream: maintains its concurrency limit and grants its
/// credits to VMs.

#include "cactusgw/core/credit_ledger.hpp"
#include "cactusgw/core/warmup_limit.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Requests that a VM completed on the upstream since its last report.
struct WorkReport
{
  std::uint32_t mCompleted = 0;
  std::uint32_t mSlow = 0;
  /// The VM saw the upstream fail, become unreachable or restart.
  bool mTrouble = false;
};

/// A load report of the upstream as received by the owner.
struct LoadObservation
{
  std::string mIncarnation;
  std::uint32_t mRunning = 0;
  std::uint64_t mOverloads = 0;
  /// At or before the time at which the upstream counted its requests.
  Instant mSampledAt;
};

/// Not thread-safe; one instance per owned upstream and epoch.
class UpstreamOwner
{
public:
  /// Consecutive failed load reports after which the upstream counts as down.
  static constexpr std::uint32_t kFailuresUntilDown = 2;
  /// How long a new owner collects the former limit from the VMs' reports.
  static constexpr Milliseconds kInheritTime{ 1500 };

  static UpstreamOwner Create(LimitBounds aBounds,
                              std::span<const CreditHolder> aHolders,
                              std::uint64_t aEpoch,
                              Instant aNow,
                              CreditTimes aTimes);

  std::vector<CreditGrant> OnReport(std::string_view aVm,
                                    const CreditReport& aReport,
                                    const WorkReport& aWork,
                                    Instant aNow);
  std::vector<CreditGrant> OnLoad(const LoadObservation& aLoad, Instant aNow);
  void OnLoadFailed();
  /// Called when a connection that the owner keeps open to the upstream is
  /// lost, as the upstream may have restarted. Revokes all allotments and
  /// grants none until the next load report.
  std::vector<CreditGrant> OnConnectionLost(Instant aNow);
  /// Stops or resumes new requests because the data centre is drained or
  /// returned to service.
  void SetDrained(bool aDrained);
  void SetBounds(LimitBounds aBounds) { mWarmup.SetBounds(aBounds); }
  void AddHolders(std::span<const CreditHolder> aHolders, Instant aNow)
  {
    mLedger.AddHolders(aHolders, aNow);
  }
  std::vector<CreditGrant> OnTick(Instant aNow);

  /// Maximum number of concurrent requests; zero while the upstream is down or
  /// drained, or until the next load report after a lost connection.
  std::uint32_t Limit() const;
  bool IsDown() const { return mFailedLoadReports >= kFailuresUntilDown; }
  bool AwaitsLoad() const { return mAwaitsLoad; }
  bool IsWarm() const { return mWarmup.IsWarm(); }
  const CreditLedger& Ledger() const { return mLedger; }
  std::uint64_t TimesCold() const { return mTimesCold; }

private:
  UpstreamOwner(LimitBounds aBounds, CreditLedger aLedger, Instant aNow);
  void ResetToCold();
  void CollectKnownLimit(const LimitStatement& aKnown);
  void InheritLimit(Instant aNow);
  std::vector<CreditGrant> WithLimit(std::vector<CreditGrant> aGrants) const;

  WarmupLimit mWarmup;
  CreditLedger mLedger;
  std::string mIncarnation;
  std::uint64_t mOverloads = 0;
  std::uint32_t mFailedLoadReports = 0;
  bool mDrained = false;
  bool mAwaitsLoad = false;
  std::uint64_t mTimesCold = 0;
  Instant mCreatedAt;
  /// The lowest former limit that VMs reported, with the incarnation to which
  /// it applies.
  LimitStatement mFormerLimit;
  /// False once the former limit has been inherited or has become invalid.
  bool mMayInherit = true;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_UPSTREAM_OWNER_HPP
