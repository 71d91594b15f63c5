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

std::size_t
OutlierDetector::EjectedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aEntry) {
      return aEntry.second.mState != State::Admitted;
    }));
}

void
OutlierDetector::Advance(const ResponseCounts& aCounts,
                         Record& aRecord,
                         Instant aNow) const
{
  if (aRecord.mState == State::Ejected &&
      aNow - aRecord.mSince >= aRecord.mEjection) {
    aRecord.mState = State::Probing;
    aRecord.mSince = aNow;
    aRecord.mAnswersBefore = aCounts.mAnswers;
  } else if (aRecord.mState == State::Probing) {
    // The counts of before the ejection leave the window meanwhile.
    aRecord.mAnswersBefore = std::min(aRecord.mAnswersBefore, aCounts.mAnswers);
    const std::uint32_t answers = aCounts.mAnswers - aRecord.mAnswersBefore;
    if (aCounts.mFailures > 0 && answers > 0) {
      aRecord.mState = State::Ejected;
      aRecord.mSince = aNow;
      aRecord.mEjection = std::min(kMaxEjection, 2 * aRecord.mEjection);
    } else if (answers >= kRecoverySuccesses) {
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
  std::set<std::string_view> known;
  for (const ResponseCounts& counts : aCounts) {
    known.insert(counts.mUpstream);
    const auto it = mRecords.find(counts.mUpstream);
    if (it != mRecords.end()) {
      const State before = it->second.mState;
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
  std::erase_if(mRecords, [&](const auto& aEntry) {
    return !known.contains(aEntry.first);
  });
  std::vector<std::pair<double, const ResponseCounts*>> suspects;
  const double limit =
    kFalseEjectionRate /
    static_cast<double>(std::max<std::size_t>(1, aCounts.size()));
  for (const ResponseCounts& counts : aCounts) {
    if (counts.mFailures < kMinFailures ||
        StateOf(counts.mUpstream) != State::Admitted) {
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
    record.mState = State::Ejected;
    record.mSince = aNow;
    changes.push_back({ std::string{ counts->mUpstream },
                        State::Ejected,
                        counts->mAnswers,
                        counts->mFailures });
  }
  return changes;
}

} // namespace cactusgw
