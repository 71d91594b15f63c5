#include "cactusgw/core/vm_credits.hpp"

#include <algorithm>

namespace cactusgw {

VmCredits
VmCredits::Create(std::uint32_t aStaticShare,
                  std::uint64_t aIncarnation,
                  Instant aStartedAt,
                  CreditTimes aTimes)
{
  return VmCredits{ aStaticShare, aIncarnation, aStartedAt, aTimes };
}

VmCredits::VmCredits(std::uint32_t aStaticShare,
                     std::uint64_t aIncarnation,
                     Instant aStartedAt,
                     CreditTimes aTimes)
  : mStaticShare(aStaticShare)
  , mTimes(aTimes)
  , mReportSequence(aIncarnation << kSequenceBits)
  , mUsableUntil(aStartedAt)
  , mStaticFrom(aStartedAt + aTimes.mGrantValidity + aTimes.mGuard)
{
}

bool
VmCredits::TryAcquire(Instant aNow)
{
  if (Free(aNow) == 0) {
    return false;
  }
  ++mInUse;
  return true;
}

void
VmCredits::Release()
{
  if (mInUse > 0) {
    --mInUse;
  }
}

void
VmCredits::Adopt()
{
  ++mInUse;
}

CreditReport
VmCredits::MakeReport(std::uint64_t aEpoch, std::uint32_t aWanted, Instant aNow)
{
  // The limit stated by a former owner is forwarded to the new owner once, and
  // only while the grant that carried it is valid.
  const bool tellsFormer = aEpoch != mEpoch && aNow < mUsableUntil;
  const LimitStatement known = tellsFormer ? mKnownLimit : LimitStatement{};
  if (aEpoch != mEpoch) {
    mEpoch = aEpoch;
    mGrantSequence = 0;
    mAllotment = 0;
    mUsableUntil = aNow;
  }
  ++mReportSequence;
  mLastReportAt = aNow;
  mReports.push_back({ mReportSequence, aNow });
  if (mReports.size() > kMaxUnanswered) {
    mReports.erase(mReports.begin());
  }
  CreditReport report;
  report.mEpoch = mEpoch;
  report.mReportSequence = mReportSequence;
  report.mAcknowledgedGrant = mGrantSequence;
  report.mInUse = mInUse;
  report.mWanted = aWanted;
  report.mKnownLimit = known;
  // Idle credits that aren't wanted are returned by reporting a lower cap.
  mAllotment = std::min(mAllotment, mInUse + aWanted);
  report.mCap = std::max(mInUse, mAllotment);
  return report;
}

bool
VmCredits::OnGrant(const CreditGrant& aGrant, Instant aNow)
{
  if (aGrant.mEpoch != mEpoch || aGrant.mGrantSequence <= mGrantSequence) {
    return false;
  }
  const SentReport* report = FindReport(aGrant.mAnswersReport);
  if (report == nullptr) {
    return false;
  }
  const Instant usableUntil = report->mSentAt + mTimes.mGrantValidity;
  if (aNow >= usableUntil) {
    return false;
  }
  mGrantSequence = aGrant.mGrantSequence;
  mAllotment = aGrant.mAllotment;
  mScarce = aGrant.mScarce;
  mKnownLimit = aGrant.mLimit;
  mUsableUntil = usableUntil;
  mStaticFrom = aNow + mTimes.mGrantValidity + mTimes.mGuard;
  return true;
}

void
VmCredits::DropIdle()
{
  mAllotment = std::min(mAllotment, mInUse);
}

CreditSource
VmCredits::Source(Instant aNow) const
{
  if (aNow < mUsableUntil) {
    return CreditSource::Grant;
  }
  return aNow >= mStaticFrom ? CreditSource::StaticShare : CreditSource::None;
}

std::uint32_t
VmCredits::Cap(Instant aNow) const
{
  switch (Source(aNow)) {
    case CreditSource::Grant:
      return mAllotment;
    case CreditSource::StaticShare:
      return mStaticShare;
    case CreditSource::None:
      return 0;
  }
  return 0;
}

std::uint32_t
VmCredits::Free(Instant aNow) const
{
  const std::uint32_t cap = Cap(aNow);
  return cap > mInUse ? cap - mInUse : 0;
}

std::string
VmCredits::Describe(Instant aNow) const
{
  const auto relative = [aNow](Instant aTime) {
    const Milliseconds time =
      std::chrono::duration_cast<Milliseconds>(aTime - aNow);
    return std::to_string(std::max(time, Milliseconds{ 0 }).count());
  };
  std::string text =
    "epoch " + std::to_string(mEpoch) + " report " +
    std::to_string(mReportSequence) + " grant " +
    std::to_string(mGrantSequence) + " allotment " +
    std::to_string(mAllotment) + " in use " + std::to_string(mInUse) +
    " usable " + relative(mUsableUntil) + " static " + relative(mStaticFrom);
  for (const SentReport& report : mReports) {
    const Instant usableUntil = report.mSentAt + mTimes.mGrantValidity;
    text += aNow < usableUntil ? " +" + std::to_string(report.mSequence) + "@" +
                                   relative(usableUntil)
                               : "";
  }
  return text;
}

const VmCredits::SentReport*
VmCredits::FindReport(std::uint64_t aSequence) const
{
  const auto it = std::find_if(
    mReports.begin(), mReports.end(), [&](const SentReport& aReport) {
      return aReport.mSequence == aSequence;
    });
  return it == mReports.end() ? nullptr : &*it;
}

} // namespace cactusgw
