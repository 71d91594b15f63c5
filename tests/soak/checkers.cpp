#include "checkers.hpp"

#include <algorithm>
#include <initializer_list>
#include <sys/wait.h>

namespace cactusgw::soak {

namespace {

using Kinds = std::initializer_list<DisturbanceKind>;

/// Whether a disturbance of one of the kinds touches the time.
bool
IsDisturbed(const Records& aRecords,
            Kinds aKinds,
            int aTarget,
            long aFromMs,
            long aToMs)
{
  return std::any_of(
    aRecords.mDisturbances.begin(),
    aRecords.mDisturbances.end(),
    [&](const Disturbance& aIt) {
      return std::find(aKinds.begin(), aKinds.end(), aIt.mKind) !=
               aKinds.end() &&
             (aIt.mTarget < 0 || aTarget < 0 || aIt.mTarget == aTarget) &&
             aIt.mBeginMs <= aToMs && aIt.mEndMs >= aFromMs;
    });
}

/// Whether the client stayed and has no whole response, long before its time.
bool
IsCut(const Sent& aSent)
{
  return !aSent.mHasLeft && aSent.mEndedMs >= 0 && !aSent.mIsWhole &&
         aSent.mEndedMs - aSent.mBeganMs < aSent.mTimeMs;
}

bool
HasSoundUpstream(const Records& aRecords, const Sent& aSent, long aSettleMs)
{
  return std::none_of(
    aSent.mRuns.begin(), aSent.mRuns.end(), [&](const Run& aRun) {
      return aRun.mHasBrokenOff ||
             IsDisturbed(
               aRecords,
               { DisturbanceKind::UpstreamLink, DisturbanceKind::UpstreamGone },
               aRun.mUpstream,
               aSent.mBeganMs - aSettleMs,
               aSent.mEndedMs);
    });
}

std::string
Describe(const Sent& aSent)
{
  std::string text =
    aSent.mId + " at gateway " + std::to_string(aSent.mGateway) + ", " +
    (aSent.mIsKept ? "kept" : "new") + " connection, sent " +
    std::to_string(aSent.mBeganMs) + " to " + std::to_string(aSent.mWholeMs) +
    " ms, ended " + std::to_string(aSent.mEndedMs) + " ms with status " +
    std::to_string(aSent.mStatus) + ", " +
    (aSent.mIsWhole ? "whole" : "not whole") + ";";
  for (const Run& run : aSent.mRuns) {
    text += " run at upstream " + std::to_string(run.mUpstream) + " from " +
            std::to_string(run.mBeganMs) + " to " +
            std::to_string(run.mEndedMs) + " ms" +
            (run.mHasBrokenOff ? ", broken off;" : ";");
  }
  return text;
}

Finding
FindingOf(std::string aRule, const std::string& aText, const Sent& aSent)
{
  return { std::move(aRule), aText + ": " + Describe(aSent), { aSent.mId } };
}

std::string
Describe(int aStatus)
{
  return WIFSIGNALED(aStatus)
           ? "ended by signal " + std::to_string(WTERMSIG(aStatus))
           : "ended with exit code " + std::to_string(WEXITSTATUS(aStatus));
}

Finding
FaultOf(int aGateway, long aAtMs, const std::string& aText)
{
  return { "FAULT",
           "gateway " + std::to_string(aGateway) + " at " +
             std::to_string(aAtMs) + " ms: " + aText,
           {} };
}

/// Whether the process had to end this request's response: its upstream was at
/// work until the last sixth of the grace.
bool
OutlastsGrace(const Records& aRecords, const Sent& aSent, const Limits& aLimits)
{
  constexpr long kLongRequestMs = 3000;
  return std::any_of(
    aRecords.mDisturbances.begin(),
    aRecords.mDisturbances.end(),
    [&](const Disturbance& aIt) {
      return aIt.mKind == DisturbanceKind::Terminate &&
             aIt.mTarget == aSent.mGateway &&
             aSent.mBeganMs <= aIt.mBeginMs + kLongRequestMs &&
             std::any_of(
               aSent.mRuns.begin(), aSent.mRuns.end(), [&](const Run& aRun) {
                 const long end =
                   aRun.mEndedMs < 0 ? aSent.mEndedMs : aRun.mEndedMs;
                 return end >= aIt.mBeginMs + aLimits.mGraceMs * 5 / 6;
               });
    });
}

bool
IsAroundPlannedWork(const Records& aRecords,
                    const Sent& aSent,
                    const Limits& aLimits)
{
  return std::any_of(
    aRecords.mDisturbances.begin(),
    aRecords.mDisturbances.end(),
    [&](const Disturbance& aIt) {
      const bool isOfGateway = aIt.mTarget < 0 || aIt.mTarget == aSent.mGateway;
      if (!isOfGateway || aSent.mEndedMs < aIt.mBeginMs) {
        return false;
      }
      switch (aIt.mKind) {
        case DisturbanceKind::Terminate:
          return aSent.mBeganMs <= aIt.mBeginMs + aLimits.mGraceMs + 1000;
        case DisturbanceKind::Reload:
        case DisturbanceKind::Configuration:
          return aSent.mBeganMs <= aIt.mEndMs + aLimits.mApplyMs;
        default:
          return false;
      }
    });
}

} // namespace

std::vector<Finding>
FindFaults(const Records& aRecords, const Limits& aLimits)
{
  std::vector<Finding> findings;
  for (const Ending& ending : aRecords.mEndings) {
    if (ending.mWasKilled) {
      continue;
    }
    const long tookMs = ending.mAtMs - ending.mTerminatedMs;
    if (ending.mTerminatedMs < 0) {
      findings.push_back(FaultOf(ending.mGateway,
                                 ending.mAtMs,
                                 Describe(ending.mStatus) + " by itself"));
    } else if (ending.mStatus != 0) {
      findings.push_back(FaultOf(ending.mGateway,
                                 ending.mAtMs,
                                 Describe(ending.mStatus) + " " +
                                   std::to_string(tookMs) +
                                   " ms after SIGTERM"));
    } else if (tookMs > aLimits.mGraceMs && !ending.mWasFrozen) {
      findings.push_back(
        FaultOf(ending.mGateway,
                ending.mAtMs,
                "ended only " + std::to_string(tookMs) + " ms after SIGTERM"));
    }
  }
  for (const Start& start : aRecords.mStarts) {
    const long untilMs = start.mAtMs + aLimits.mReadyMs;
    const bool isLate =
      start.mReadyMs < 0 ? start.mUntilMs > untilMs : start.mReadyMs > untilMs;
    if (isLate && !IsDisturbed(aRecords,
                               { DisturbanceKind::Store,
                                 DisturbanceKind::GatewayLink,
                                 DisturbanceKind::Freeze },
                               start.mGateway,
                               start.mAtMs,
                               untilMs)) {
      findings.push_back(
        FaultOf(start.mGateway, start.mAtMs, "started and not ready in time"));
    }
  }
  for (const Peak& peak : aRecords.mPeaks) {
    if (peak.mBytes > aLimits.mMemoryBytes) {
      findings.push_back(FaultOf(
        peak.mGateway,
        0,
        "memory of up to " + std::to_string(peak.mBytes / 1'000'000) + " MB"));
    }
  }
  return findings;
}

std::vector<Finding>
FindLosses(const Records& aRecords, const Limits& aLimits)
{
  std::vector<Finding> findings;
  for (const auto& [id, sent] : aRecords.mSent) {
    if (sent.mIsKept && IsCut(sent) && !sent.mRuns.empty() &&
        HasSoundUpstream(aRecords, sent, aLimits.mSettleMs) &&
        !IsDisturbed(aRecords,
                     { DisturbanceKind::Terminate,
                       DisturbanceKind::Kill,
                       DisturbanceKind::Freeze,
                       DisturbanceKind::GatewayLink },
                     sent.mGateway,
                     sent.mBeganMs - aLimits.mSettleMs,
                     sent.mEndedMs)) {
      findings.push_back(FindingOf("LOST", "run and not answered", sent));
    }
  }
  if (findings.size() <= aLimits.mLosses) {
    findings.clear();
  }
  return findings;
}

std::vector<Finding>
FindPlannedLosses(const Records& aRecords, const Limits& aLimits)
{
  std::vector<Finding> findings;
  for (const auto& [id, sent] : aRecords.mSent) {
    const bool isRead = !sent.mRuns.empty() ||
                        (sent.mWholeMs >= 0 &&
                         sent.mEndedMs > sent.mWholeMs + aLimits.mReadSlackMs);
    if (IsCut(sent) && isRead && IsAroundPlannedWork(aRecords, sent, aLimits) &&
        HasSoundUpstream(aRecords, sent, aLimits.mSettleMs) &&
        !OutlastsGrace(aRecords, sent, aLimits) &&
        !IsDisturbed(aRecords,
                     { DisturbanceKind::Kill,
                       DisturbanceKind::Freeze,
                       DisturbanceKind::GatewayLink,
                       DisturbanceKind::Store },
                     sent.mGateway,
                     sent.mBeganMs - aLimits.mSettleMs,
                     sent.mEndedMs) &&
        !IsDisturbed(
          aRecords,
          { DisturbanceKind::UpstreamLink, DisturbanceKind::UpstreamGone },
          -1,
          sent.mBeganMs - aLimits.mSettleMs,
          sent.mEndedMs)) {
      findings.push_back(FindingOf("LOST", "cut around planned work", sent));
    }
  }
  return findings;
}

std::vector<Finding>
FindRepeats(const Records& aRecords)
{
  std::vector<Finding> findings;
  for (const auto& [id, sent] : aRecords.mSent) {
    if (!RunsAtMostOnce(sent.mKind)) {
      continue;
    }
    const bool isRefused = sent.mStatus == 408 || sent.mStatus == 421 ||
                           sent.mStatus == 429 || sent.mStatus == 503;
    if (sent.mRuns.size() > 1) {
      findings.push_back(FindingOf("TWICE", "run more than once", sent));
    } else if (isRefused && !sent.mRuns.empty()) {
      findings.push_back(
        FindingOf("TWICE", "refused as not run, and run", sent));
    }
  }
  return findings;
}

std::vector<Finding>
FindMixed(const Records& aRecords)
{
  std::vector<Finding> findings;
  for (const auto& [id, sent] : aRecords.mSent) {
    const bool isAltered =
      std::any_of(sent.mRuns.begin(), sent.mRuns.end(), [](const Run& aRun) {
        return aRun.mIsAltered;
      });
    if (!sent.mDefect.empty()) {
      findings.push_back(
        FindingOf("MIXED", "wrong response:" + sent.mDefect, sent));
    } else if (isAltered) {
      findings.push_back(FindingOf("MIXED", "another body arrived", sent));
    }
  }
  for (const std::string& id : aRecords.mUnasked) {
    findings.push_back({ "MIXED", id + " ran and was never sent", { id } });
  }
  return findings;
}

std::string
DescribeCuts(const Records& aRecords)
{
  std::string text;
  for (const auto& [id, sent] : aRecords.mSent) {
    const bool hasBrokenOff =
      std::any_of(sent.mRuns.begin(), sent.mRuns.end(), [](const Run& aRun) {
        return aRun.mHasBrokenOff;
      });
    if (IsCut(sent) && !sent.mRuns.empty() && !hasBrokenOff) {
      text += Describe(sent) + "\n";
    }
  }
  return text;
}

std::vector<Finding>
FindAll(const Records& aRecords, const Limits& aLimits)
{
  std::vector<Finding> all = FindFaults(aRecords, aLimits);
  for (std::vector<Finding> some : { FindLosses(aRecords, aLimits),
                                     FindPlannedLosses(aRecords, aLimits),
                                     FindRepeats(aRecords),
                                     FindMixed(aRecords) }) {
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

} // namespace cactusgw::soak
