#ifndef CACTUSGW_CORE_OUTLIER_DETECTOR_HPP
#define CACTUSGW_CORE_OUTLIER_DETECTOR_HPP

/// Detects upstreams that fail more of their requests than the other upstreams
/// of their service, from the counts of all gateways. An upstream can fail
/// requests while its health check succeeds, and the reverse.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <map>
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
  static constexpr double kFalseEjectionRate = 0.00001;
  /// How long an upstream is ejected for the first time; doubles with each
  /// further time up to the maximum.
  static constexpr Milliseconds kFirstEjection{ 2000 };
  static constexpr Milliseconds kMaxEjection{ 8000 };
  /// Successes after which an upstream that was ejected counts as recovered;
  /// as many again for each failure of a probe.
  static constexpr std::uint32_t kRecoverySuccesses = 3;
  /// Time after which an upstream is admitted whose probes didn't decide: no
  /// gateway may have had a request for it.
  static constexpr Milliseconds kMaxProbing{ 10'000 };
  /// Time for which the state of an absent upstream is kept: upstreams with
  /// false reports of bad health are absent for a second or two.
  static constexpr Milliseconds kMaxAbsence{ 10'000 };
  /// Time for which an upstream that has restarted is not ejected: reports of
  /// other gateways still count responses of its former start.
  static constexpr Milliseconds kRestartGrace{ 2000 };

  enum class State
  {
    Admitted,
    Ejected,
    /// Gets a few requests a second from all gateways together.
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

  /// Admits an upstream that has restarted, whatever its former start did.
  void OnRestart(std::string_view aUpstream, Instant aNow);

  State StateOf(std::string_view aUpstream) const;
  /// Number of upstreams of the last evaluation that are ejected or probed.
  std::size_t EjectedCount() const { return mEjectedCount; }

private:
  struct Record
  {
    State mState = State::Admitted;
    Instant mSince;
    Instant mSeenAt;
    Instant mGraceUntil;
    Milliseconds mEjection{ 0 };
    /// Counts at the last evaluation, and what was added while probing.
    std::uint32_t mLastAnswers = 0;
    std::uint32_t mLastFailures = 0;
    std::uint32_t mProbes = 0;
    std::uint32_t mProbeFailures = 0;
  };

  OutlierDetector() = default;
  /// Ejects for longer if the upstream was ejected lately.
  static void Eject(Record& aRecord, Instant aNow);
  /// Ends an ejection or the probing, if it is time.
  void Advance(const ResponseCounts& aCounts,
               Record& aRecord,
               Instant aNow) const;

  /// Failure rate of the admitted upstreams at the last evaluation.
  double mRate = 0;
  std::size_t mEjectedCount = 0;
  std::map<std::string, Record, std::less<>> mRecords;
};

/// Probability of at least aFailures failures among aAnswers independent
/// answers that fail at the rate.
double ProbabilityOfFailures(std::uint32_t aAnswers,
                             std::uint32_t aFailures,
                             double aRate);

/// Place of a gateway among those that probe an upstream in turn.
struct ProbePlace
{
  std::uint32_t mRank = 0;
  std::uint32_t mGateways = 1;
  std::uint64_t mUpstreamHash = 0;
};

/// Time between the turns of two gateways, and how long a turn lasts: a gateway
/// may have few requests.
inline constexpr std::int64_t kProbeIntervalMs = 250;
inline constexpr std::int64_t kProbeTurnMs = 1000;

/// Whether a gateway may probe an upstream: once in each of its turns. With
/// clocks that differ, the rate of all gateways together remains the same.
/// @param aSinceLastMs time since the gateway last sent a request to the
/// upstream; negative if never
bool IsProbeTurn(const ProbePlace& aPlace,
                 std::int64_t aWallMs,
                 std::int64_t aSinceLastMs);

} // namespace cactusgw

#endif // CACTUSGW_CORE_OUTLIER_DETECTOR_HPP
