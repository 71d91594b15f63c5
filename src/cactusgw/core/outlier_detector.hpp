#ifndef CACTUSGW_CORE_OUTLIER_DETECTOR_HPP
#define CACTUSGW_CORE_OUTLIER_DETECTOR_HPP

/// Detects upstreams that fail more of their requests than the other upstreams
/// of their service, from the counts of all gateways. An upstream can fail
/// requests while its health check succeeds, and the reverse.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Responses of one upstream within the last seconds.
struct ResponseCounts
{
  std::string_view mUpstream;
  std::uint32_t mAnswers = 0;
  /// Those of the answers that are failures of the upstream.
  std::uint32_t mFailures = 0;
};

/// Ejects outliers for a while, and then admits single requests until some have
/// succeeded. Not thread-safe; one instance per service. Time is passed in.
class OutlierDetector
{
public:
  /// Largest part of a service's upstreams that is ejected at once: beyond it
  /// the cause is likely to lie elsewhere, and the others lack the capacity.
  static constexpr double kMaxEjectedFraction = 0.3;
  /// Probability of ejecting one upstream that is as good as the others, at one
  /// evaluation of all of them.
  static constexpr double kFalseEjectionRate = 0.001;
  /// How long an upstream is ejected for the first time; doubles with each
  /// further time up to the maximum.
  static constexpr Milliseconds kFirstEjection{ 2000 };
  static constexpr Milliseconds kMaxEjection{ 8000 };
  /// Successes after which an upstream that was ejected counts as recovered.
  static constexpr std::uint32_t kRecoverySuccesses = 3;

  enum class State
  {
    Admitted,
    Ejected,
    /// Gets one request at a time.
    Probing,
  };
  struct Change
  {
    std::string mUpstream;
    State mState = State::Admitted;
    std::uint32_t mAnswers = 0;
    std::uint32_t mFailures = 0;
  };

  static OutlierDetector Create() { return OutlierDetector{}; }

  /// Evaluates the counts of all upstreams of the service. Returns the
  /// upstreams whose state has changed.
  std::vector<Change> Update(std::span<const ResponseCounts> aCounts,
                             Instant aNow);

  State StateOf(std::string_view aUpstream) const;
  std::size_t EjectedCount() const;

private:
  struct Record
  {
    State mState = State::Admitted;
    Instant mSince;
    Milliseconds mEjection = kFirstEjection;
    /// Counts at the start of the probing.
    std::uint32_t mAnswersBefore = 0;
  };

  OutlierDetector() = default;
  void Advance(const ResponseCounts& aCounts,
               Record& aRecord,
               Instant aNow) const;

  std::map<std::string, Record, std::less<>> mRecords;
};

/// Probability of at least aFailures failures among aAnswers independent
/// answers that fail at the rate.
double ProbabilityOfFailures(std::uint32_t aAnswers,
                             std::uint32_t aFailures,
                             double aRate);

} // namespace cactusgw

#endif // CACTUSGW_CORE_OUTLIER_DETECTOR_HPP
