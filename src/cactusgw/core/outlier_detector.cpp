#include "cactusgw/core/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusgw {

namespace {

/// Failures that a single request or a lost connection explains.
constexpr std::uint32_t kMinFailures = 3;
/// Failures that are counted towards the rate of the others in any case: with
/// few answers, none of which failed, the rate is not zero.
constexpr double kPriorFailures = 0.5;
constexpr double kPriorAnswers = 20;
/// Probability of the failures of probes, at the rate of the other upstreams,
/// below which the upstream still counts as an outlier.
constexpr double kProbeLimit = 0.05;

std::uint32_t
Increase(std::uint32_t aFrom, std::uint32_t aTo)
{
  return aTo - std::min(aFrom, aTo);
}

} // namespace

double
ProbabilityOfFailures(std::uint32_t aAnswers,
                      std::uint32_t aFailures,
                      double aRate)
{
  if (aFailures == 0 || aRate >= 1) {
    return 1;
  }
  if (aRate <= 0) {
    return 0;
  }
  const double all = aAnswers;
  double probability = 0;
  for (std::uint32_t n = aFailures; n <= aAnswers; ++n) {
    const double failures = n;
    probability +=
      std::exp(std::lgamma(all + 1) - std::lgamma(failures + 1) -
               std::lgamma(all - failures + 1) + failures * std::log(aRate) +
               (all - failures) * std::log(1 - aRate));
  }
  return std::min(1.0, probability);
}

OutlierDetector::State
OutlierDetector::StateOf(std::string_view aUpstream) const
{
  const auto it = mRecords.find(aUpstream);
  return it == mRecords.end() ? State::Admitted : it->second.mState;
}

void
OutlierDetector::OnRestart(std::string_view aUpstream, Instant aNow)
{
  Record& record = mRecords[std::string{ aUpstream }];
  record = Record{};
  record.mSeenAt = aNow;
  record.mGraceUntil = aNow + kRestartGrace;
}

void
OutlierDetector::Eject(Record& aRecord, Instant aNow)
{
  const bool isRepeated = aRecord.mEjection > Milliseconds{ 0 } &&
                          aNow - aRecord.mSince < kMaxEjection;
  aRecord.mEjection =
    isRepeated ? std::min(kMaxEjection, 2 * aRecord.mEjection) : kFirstEjection;
  aRecord.mState = State::Ejected;
  aRecord.mSince = aNow;
}

void
OutlierDetector::Advance(const ResponseCounts& aCounts,
                         Record& aRecord,
                         Instant aNow) const
{
  const std::uint32_t answers = Increase(
    std::exchange(aRecord.mLastAnswers, aCounts.mAnswers), aCounts.mAnswers);
  const std::uint32_t failures = Increase(
    std::exchange(aRecord.mLastFailures, aCounts.mFailures), aCounts.mFailures);
  if (aRecord.mState == State::Ejected) {
    // Failures of before the ejection would be taken for those of probes.
    if (aNow - aRecord.mSince >= aRecord.mEjection && aCounts.mFailures == 0) {
      aRecord.mState = State::Probing;
      aRecord.mSince = aNow;
      aRecord.mProbes = 0;
      aRecord.mProbeFailures = 0;
    }
  } else if (aRecord.mState == State::Probing) {
    aRecord.mProbeFailures += failures;
    aRecord.mProbes += std::max(answers, failures);
    const std::uint32_t successes = aRecord.mProbes - aRecord.mProbeFailures;
    if (ProbabilityOfFailures(aRecord.mProbes, aRecord.mProbeFailures, mRate) <
        kProbeLimit) {
      Eject(aRecord, aNow);
    } else if (successes >= kRecoverySuccesses * (1 + aRecord.mProbeFailures) ||
               aNow - aRecord.mSince >= kMaxProbing) {
      aRecord.mState = State::Admitted;
      aRecord.mSince = aNow;
    }
  }
}

std::vector<OutlierDetector::Change>
OutlierDetector::Update(std::span<const ResponseCounts> aCounts, Instant aNow)
{
  std::vector<Change> changes;
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::size_t notAdmitted = 0;
  for (const ResponseCounts& counts : aCounts) {
    const auto it = mRecords.find(counts.mUpstream);
    if (it != mRecords.end()) {
      const State before = it->second.mState;
      it->second.mSeenAt = aNow;
      Advance(counts, it->second, aNow);
      if (it->second.mState != before) {
        changes.push_back(
          { it->first, it->second.mState, counts.mAnswers, counts.mFailures });
      }
    }
    // Upstreams that are ejected don't raise the rate of the others.
    if (StateOf(counts.mUpstream) == State::Admitted) {
      answers += counts.mAnswers;
      failures += counts.mFailures;
    } else {
      ++notAdmitted;
    }
  }
  mRate = (static_cast<double>(failures) + kPriorFailures) /
          (static_cast<double>(answers) + kPriorAnswers);
  std::erase_if(mRecords, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSeenAt >= kMaxAbsence;
  });
  std::vector<std::pair<double, const ResponseCounts*>> suspects;
  const double limit =
    kFalseEjectionRate /
    static_cast<double>(std::max<std::size_t>(1, aCounts.size()));
  for (const ResponseCounts& counts : aCounts) {
    const auto it = mRecords.find(counts.mUpstream);
    const bool isAdmitted =
      it == mRecords.end() ||
      (it->second.mState == State::Admitted && aNow >= it->second.mGraceUntil);
    // More failures than answers can't be: a report is wrong.
    if (counts.mFailures < kMinFailures || counts.mFailures > counts.mAnswers ||
        !isAdmitted) {
      continue;
    }
    const double rate =
      (static_cast<double>(failures - counts.mFailures) + kPriorFailures) /
      (static_cast<double>(answers - counts.mAnswers) + kPriorAnswers);
    const double probability =
      ProbabilityOfFailures(counts.mAnswers, counts.mFailures, rate);
    if (probability < limit) {
      suspects.emplace_back(probability, &counts);
    }
  }
  std::sort(suspects.begin(), suspects.end());
  const std::size_t most = static_cast<std::size_t>(
    kMaxEjectedFraction * static_cast<double>(aCounts.size()));
  for (const auto& [probability, counts] : suspects) {
    if (notAdmitted >= most) {
      break;
    }
    ++notAdmitted;
    Record& record = mRecords[std::string{ counts->mUpstream }];
    record.mSeenAt = aNow;
    Eject(record, aNow);
    changes.push_back({ std::string{ counts->mUpstream },
                        State::Ejected,
                        counts->mAnswers,
                        counts->mFailures });
  }
  mEjectedCount = notAdmitted;
  return changes;
}

bool
IsProbeTurn(const ProbePlace& aPlace,
            std::int64_t aWallMs,
            std::int64_t aSinceLastMs)
{
  // A turn ends before the gateway's next one begins.
  const std::int64_t period =
    std::max(std::int64_t{ aPlace.mGateways } * kProbeIntervalMs, kProbeTurnMs);
  const std::int64_t phase =
    static_cast<std::int64_t>(aPlace.mUpstreamHash %
                              static_cast<std::uint64_t>(period)) -
    std::int64_t{ aPlace.mRank } * kProbeIntervalMs;
  const std::int64_t sinceStart =
    ((aWallMs + phase) % period + period) % period;
  return sinceStart < kProbeTurnMs &&
         (aSinceLastMs < 0 || aSinceLastMs > sinceStart);
}

} // namespace cactusgw
