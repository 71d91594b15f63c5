#include "cactusgw/core/credit_ledger.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

/// Adds without overflow, so that an unknown bound (the maximum) stays unknown.
std::uint32_t
SaturatingAdd(std::uint32_t aLeft, std::uint32_t aRight)
{
  const std::uint64_t sum = static_cast<std::uint64_t>(aLeft) + aRight;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(sum, UINT32_MAX));
}

/// Formats a time as milliseconds relative to aNow, at least -aFurthest.
std::string
RelativeMs(Instant aTime, Instant aNow, Milliseconds aFurthest)
{
  const Milliseconds time =
    std::chrono::duration_cast<Milliseconds>(aTime - aNow);
  return std::to_string(std::max(time, -aFurthest).count());
}

} // namespace

CreditLedger
CreditLedger::Create(std::span<const CreditHolder> aHolders,
                     std::uint64_t aEpoch,
                     Instant aStartedAt,
                     CreditTimes aTimes)
{
  return CreditLedger{ aHolders, aEpoch, aStartedAt, aTimes };
}

CreditLedger::CreditLedger(std::span<const CreditHolder> aHolders,
                           std::uint64_t aEpoch,
                           Instant aStartedAt,
                           CreditTimes aTimes)
  : mEpoch(aEpoch)
  , mStartedAt(aStartedAt)
  , mTimes(aTimes)
{
  AddHolders(aHolders, aStartedAt);
}

void
CreditLedger::AddHolders(std::span<const CreditHolder> aHolders, Instant aNow)
{
  for (const CreditHolder& holder : aHolders) {
    if (Account* known = Find(holder.mVm)) {
      known->mHolder.mStaticShare =
        std::max(known->mHolder.mStaticShare, holder.mStaticShare);
      continue;
    }
    Account account;
    account.mHolder = holder;
    account.mFreshUntil = aNow;
    account.mLastGrantSentAt = aNow;
    mAccounts.push_back(std::move(account));
  }
}

std::vector<CreditGrant>
CreditLedger::OnReport(std::string_view aVm,
                       const CreditReport& aReport,
                       std::uint32_t aLimit,
                       Instant aNow)
{
  std::vector<CreditGrant> grants;
  Account* account = Find(aVm);
  if (!AcceptReport(account, aReport)) {
    return grants;
  }
  ApplyReport(*account, aReport);
  AppendWaitingGrants(grants, aLimit, aNow);
  const bool granted =
    std::any_of(grants.begin(), grants.end(), [&](const CreditGrant& aGrant) {
      return aGrant.mVm == aVm;
    });
  if (!granted) {
    grants.push_back(GrantTo(*account, aLimit, aNow));
  }
  return grants;
}

std::vector<CreditGrant>
CreditLedger::GrantToWaiting(std::uint32_t aLimit, Instant aNow)
{
  std::vector<CreditGrant> grants;
  AppendWaitingGrants(grants, aLimit, aNow);
  return grants;
}

std::vector<CreditGrant>
CreditLedger::RevokeAll(Instant aNow)
{
  std::vector<CreditGrant> grants;
  for (Account& account : mAccounts) {
    if (account.mReported && account.mAllotted > 0) {
      grants.push_back(GrantTo(account, 0, aNow));
    }
  }
  return grants;
}

void
CreditLedger::ObserveRunning(const RunningObservation& aObservation)
{
  if (!mObserved || mObserved->mSampledAt < aObservation.mSampledAt) {
    mObserved = aObservation;
  }
}

std::uint32_t
CreditLedger::Reserved(Instant aNow) const
{
  return ReservedWithout(nullptr, aNow);
}

std::uint32_t
CreditLedger::ReservedWithout(const Account* aExcluded, Instant aNow) const
{
  std::uint32_t known = 0;
  std::uint32_t notSampled = 0;
  std::uint32_t expiredBound = 0;
  std::uint32_t silentShares = 0;
  for (const Account& account : mAccounts) {
    if (&account == aExcluded) {
      continue;
    }
    const std::uint32_t bound = BoundOf(account, aNow);
    if (IsFresh(account, aNow)) {
      known = SaturatingAdd(known, bound);
    } else if (IsSampledAfterExpiry(account)) {
      expiredBound = SaturatingAdd(expiredBound, bound);
      silentShares += account.mHolder.mStaticShare;
    } else {
      notSampled = SaturatingAdd(notSampled, bound);
    }
  }
  if (mObserved) {
    // VMs whose grants have expired have at most the requests that the upstream
    // counted in flight, plus new ones within their static shares. All counted
    // requests are attributed to these VMs.
    expiredBound =
      std::min(expiredBound, SaturatingAdd(mObserved->mRunning, silentShares));
  }
  return SaturatingAdd(SaturatingAdd(known, notSampled), expiredBound);
}

std::uint32_t
CreditLedger::InUse() const
{
  std::uint32_t n = 0;
  for (const Account& account : mAccounts) {
    n += account.mInUse;
  }
  return n;
}

std::uint32_t
CreditLedger::WaitingVms() const
{
  return static_cast<std::uint32_t>(mWaiting.size());
}

std::string
CreditLedger::Describe(Instant aNow) const
{
  const Milliseconds validity = mTimes.mGrantValidity;
  const Milliseconds ended = validity + mTimes.mGuard + mTimes.mMaxRequestTime;
  std::string text = "epoch " + std::to_string(mEpoch);
  for (const Account& account : mAccounts) {
    text += "; " + account.mHolder.mVm + " bound " +
            std::to_string(BoundOf(account, aNow)) + " reserved " +
            std::to_string(account.mReserved) + " wished " +
            std::to_string(account.mRequestedTotal) + " allotted " +
            std::to_string(account.mAllotted) + " in use " +
            std::to_string(account.mInUse) + " fresh " +
            RelativeMs(account.mFreshUntil, aNow, Milliseconds{ 0 }) +
            " granted " + RelativeMs(account.mLastGrantSentAt, aNow, ended) +
            " report " + std::to_string(account.mReportSequence) + " grant " +
            std::to_string(account.mGrantSequence);
    for (const SentGrant& sent : account.mUnacknowledged) {
      const bool matters = aNow < sent.mSentAt + validity;
      text += matters ? " +" + std::to_string(sent.mSequence) + "@" +
                          RelativeMs(sent.mSentAt, aNow, validity)
                      : "";
    }
  }
  for (const std::string& vm : mWaiting) {
    text += "; waiting " + vm;
  }
  return text;
}

CreditLedger::Account*
CreditLedger::Find(std::string_view aVm)
{
  const auto it = std::find_if(
    mAccounts.begin(), mAccounts.end(), [&](const Account& aAccount) {
      return aAccount.mHolder.mVm == aVm;
    });
  return it == mAccounts.end() ? nullptr : &*it;
}

bool
CreditLedger::AcceptReport(const Account* aAccount,
                           const CreditReport& aReport) const
{
  return aAccount != nullptr && aReport.mEpoch == mEpoch &&
         aReport.mReportSequence > aAccount->mReportSequence;
}

void
CreditLedger::ApplyReport(Account& aAccount, const CreditReport& aReport)
{
  aAccount.mReportSequence = aReport.mReportSequence;
  aAccount.mInUse = aReport.mInUse;
  aAccount.mRequestedTotal = aReport.mInUse + aReport.mWanted;
  const bool knowsAll = aReport.mAcknowledgedGrant == aAccount.mGrantSequence;
  if (knowsAll || !aAccount.mReported) {
    aAccount.mReserved = aReport.mCap;
  } else {
    aAccount.mReserved = std::max(aAccount.mReserved, aReport.mCap);
  }
  aAccount.mReported = true;
  ApplyAcknowledgement(aAccount, aReport.mAcknowledgedGrant);
  std::erase(mWaiting, aAccount.mHolder.mVm);
  if (aReport.mWanted > 0) {
    mWaiting.push_back(aAccount.mHolder.mVm);
  }
}

void
CreditLedger::ApplyAcknowledgement(Account& aAccount, std::uint64_t aGrant)
{
  std::vector<SentGrant>& sent = aAccount.mUnacknowledged;
  while (!sent.empty() && sent.front().mSequence <= aGrant) {
    if (sent.front().mSequence == aGrant) {
      // The VM doesn't use its static share for at least the grant validity
      // after it received the grant. It received it no earlier than it was
      // sent.
      aAccount.mFreshUntil = std::max(
        aAccount.mFreshUntil, sent.front().mSentAt + mTimes.mGrantValidity);
    }
    sent.erase(sent.begin());
  }
}

bool
CreditLedger::IsFresh(const Account& aAccount, Instant aNow) const
{
  return aAccount.mReported && aNow < aAccount.mFreshUntil;
}

bool
CreditLedger::IsSampledAfterExpiry(const Account& aAccount) const
{
  const Instant usableUntil =
    aAccount.mLastGrantSentAt + mTimes.mGrantValidity + mTimes.mGuard;
  return mObserved.has_value() && mObserved->mSampledAt >= usableUntil;
}

std::uint32_t
CreditLedger::BoundOf(const Account& aAccount, Instant aNow) const
{
  const std::uint32_t share = aAccount.mHolder.mStaticShare;
  if (IsFresh(aAccount, aNow)) {
    return aAccount.mReserved;
  }
  const Instant allEnded = aAccount.mLastGrantSentAt + mTimes.mGrantValidity +
                           mTimes.mGuard + mTimes.mMaxRequestTime;
  if (aNow >= allEnded) {
    return share;
  }
  if (!aAccount.mReported) {
    return kUnknown;
  }
  return std::max(aAccount.mReserved, share);
}

std::uint32_t
CreditLedger::AllowedFor(const Account& aAccount,
                         std::uint32_t aLimit,
                         Instant aNow) const
{
  const std::uint32_t others = ReservedWithout(&aAccount, aNow);
  return others >= aLimit ? 0 : aLimit - others;
}

CreditGrant
CreditLedger::GrantTo(Account& aAccount, std::uint32_t aLimit, Instant aNow)
{
  const std::uint32_t allowed = AllowedFor(aAccount, aLimit, aNow);
  const std::uint32_t allotment = std::min(aAccount.mRequestedTotal, allowed);
  aAccount.mAllotted = allotment;
  aAccount.mReserved = std::max(aAccount.mReserved, allotment);
  ++aAccount.mGrantSequence;
  aAccount.mLastGrantSentAt = aNow;
  aAccount.mUnacknowledged.push_back({ aAccount.mGrantSequence, aNow });
  if (aAccount.mUnacknowledged.size() > kMaxUnacknowledged) {
    aAccount.mUnacknowledged.erase(aAccount.mUnacknowledged.begin());
  }
  CreditGrant grant;
  grant.mVm = aAccount.mHolder.mVm;
  grant.mEpoch = mEpoch;
  grant.mGrantSequence = aAccount.mGrantSequence;
  grant.mAnswersReport = aAccount.mReportSequence;
  grant.mAllotment = allotment;
  grant.mScarce = !mWaiting.empty();
  return grant;
}

void
CreditLedger::AppendWaitingGrants(std::vector<CreditGrant>& aGrants,
                                  std::uint32_t aLimit,
                                  Instant aNow)
{
  while (!mWaiting.empty()) {
    Account* account = Find(mWaiting.front());
    const std::uint32_t allowed = AllowedFor(*account, aLimit, aNow);
    const bool bringsNew =
      std::min(account->mRequestedTotal, allowed) > account->mAllotted;
    if (!bringsNew) {
      return;
    }
    aGrants.push_back(GrantTo(*account, aLimit, aNow));
    if (account->mAllotted < account->mRequestedTotal) {
      return; // The VM keeps its place at the front for the remaining credits.
    }
    mWaiting.erase(mWaiting.begin());
  }
}

} // namespace cactusgw
