#ifndef CACTUSGW_CORE_UPSTREAM_OWNER_HPP
#define CACTUSGW_CORE_UPSTREAM_OWNER_HPP

/// What the owner of an upstream does: keeps its limit and its credits.

#include "cactusgw/core/credit_ledger.hpp"
#include "cactusgw/core/warmup_limit.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Work a VM finished on the upstream since its last report.
struct WorkReport
{
  std::uint32_t mCompleted = 0;
  std::uint32_t mSlow = 0;
  /// The VM saw the upstream break, vanish or restart.
  bool mTrouble = false;
};

/// A load report as the owner received it.
struct LoadObservation
{
  std::string mIncarnation;
  std::uint32_t mRunning = 0;
  std::uint64_t mOverloads = 0;
  /// At or before the time the upstream counted.
  Instant mSampledAt;
};

/// Not thread-safe; one instance per owned upstream and epoch.
class UpstreamOwner
{
public:
  /// Failed load reports in a row after which the upstream counts as down.
  static constexpr std::uint32_t kFailuresUntilDown = 2;
  /// How long a new owner collects what VMs know of the former limit.
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
  /// A connection that the owner holds open to the upstream broke: it may have
  /// restarted. Nothing is granted until the next load report.
  std::vector<CreditGrant> OnConnectionLost(Instant aNow);
  /// No new work at all, because the data centre is taken out.
  void SetDrained(bool aDrained);
  void SetBounds(LimitBounds aBounds) { mWarmup.SetBounds(aBounds); }
  void AddHolders(std::span<const CreditHolder> aHolders, Instant aNow)
  {
    mLedger.AddHolders(aHolders, aNow);
  }
  std::vector<CreditGrant> OnTick(Instant aNow);

  /// Requests the upstream may run now; zero while down or drained.
  std::uint32_t Limit() const;
  bool IsDown() const { return mFailedLoads >= kFailuresUntilDown; }
  bool AwaitsLoad() const { return mAwaitsLoad; }
  bool IsWarm() const { return mWarmup.IsWarm(); }
  const CreditLedger& Ledger() const { return mLedger; }
  std::uint64_t TimesCold() const { return mTimesCold; }

private:
  UpstreamOwner(LimitBounds aBounds, CreditLedger aLedger, Instant aNow);
  void FallBackToCold();
  void CollectKnownLimit(const LimitStatement& aKnown);
  void InheritLimit(Instant aNow);
  std::vector<CreditGrant> Stated(std::vector<CreditGrant> aGrants) const;

  WarmupLimit mWarmup;
  CreditLedger mLedger;
  std::string mIncarnation;
  std::uint64_t mOverloads = 0;
  std::uint32_t mFailedLoads = 0;
  bool mDrained = false;
  bool mAwaitsLoad = false;
  std::uint64_t mTimesCold = 0;
  Instant mCreatedAt;
  /// The lowest limit that VMs know of, and for which incarnation.
  LimitStatement mFormer;
  /// False once the former limit was taken over, or may not be.
  bool mMayInherit = true;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_UPSTREAM_OWNER_HPP
