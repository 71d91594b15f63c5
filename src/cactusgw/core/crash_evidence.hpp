#ifndef CACTUSGW_CORE_CRASH_EVIDENCE_HPP
#define CACTUSGW_CORE_CRASH_EVIDENCE_HPP

/// Finds prompt parts that crash the upstreams that run them, and quarantines
/// them. When an upstream crashes, every request that it had not visibly begun
/// is a suspect; most of them are innocent. A part that requests share is
/// therefore blamed only after several crashes, and never while requests with
/// it are served.

#include "cactusgw/core/suspect_index.hpp"
#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactusgw {

/// A crash as far as gateways have reported it. An upstream crashes at most
/// once per start.
struct CrashReport
{
  UpstreamStart mUpstream;
  /// When the first gateway noticed it.
  Instant mAt;
  /// The shared parts of each suspect's prompt.
  std::vector<PartSet> mSuspects;
};

/// Requests whose prompts hold all of these parts are not sent.
struct Quarantine
{
  PartSet mParts;
  /// Number of crashes that the parts are blamed for.
  std::size_t mCrashes = 0;

  bool operator==(const Quarantine&) const = default;
};

/// Quarantines that began and ended with an update.
struct QuarantineChanges
{
  std::vector<Quarantine> mBegun;
  std::vector<Quarantine> mEnded;
};

/// Whether a single request, sent again and again, may have caused all of these
/// crashes. Its prompt parts are innocent then.
using OneRequestCheck = std::function<bool(std::span<const UpstreamStart>)>;

/// Not thread-safe. Time is passed in. Two instances that hold the same reports
/// and the same cleared parts hold the same quarantines.
class CrashEvidence
{
public:
  /// Crashes after which a part that was never seen to run is blamed. Two
  /// unrelated crashes may have a rare part in common by chance.
  static constexpr std::size_t kMinCrashes = 3;
  /// The same for a part with which a request was served before.
  static constexpr std::size_t kMinCrashesOfServedPart = 5;
  /// Crashes this close to each other have a common cause, such as a loss of
  /// power, and count as one.
  static constexpr Milliseconds kCommonCauseTime{ 100 };
  /// Crashes count only from this age on, so that other gateways can report
  /// that they served a part.
  static constexpr Milliseconds kSettleTime{ 300 };
  /// Age from which crashes no longer count. A quarantine ends then, and
  /// begins anew after kMinCrashes further crashes.
  static constexpr Milliseconds kMaxAge{ 600'000 };
  /// The same for a part with which a request was served before: blaming it by
  /// mistake stops many requests.
  static constexpr Milliseconds kMaxAgeOfServedPart{ 60'000 };
  /// Bounds of the state.
  static constexpr std::size_t kMaxCrashes = 64;
  static constexpr std::size_t kMaxSuspects = 32;
  static constexpr std::size_t kMaxServedParts = 4096;

  static CrashEvidence Create() { return CrashEvidence{}; }

  /// Adds a request that the upstream had not visibly begun when it crashed.
  void OnCrash(const UpstreamStart& aUpstream,
               std::span<const std::string> aParts,
               Instant aNow);
  /// Records that an upstream served a request, or a good part of it.
  void OnServed(std::span<const std::string> aParts, Instant aNow);

  /// Adds what another gateway reports.
  void Merge(CrashReport aReport);
  void MergeServed(const std::string& aPart, Instant aServedAt);
  /// Replaces the quarantines that the platform's store holds. They apply until
  /// the store drops them, also when their evidence is lost.
  void SetStored(std::vector<PartSet> aStored);

  /// Parts whose crashes a single request explains are not blamed. Without this
  /// check all parts may be.
  void SetOneRequestCheck(OneRequestCheck aCheck)
  {
    mIsOneRequest = std::move(aCheck);
  }

  /// Applies the evidence that has arrived or expired.
  QuarantineChanges Update(Instant aNow);

  /// Returns the quarantine that applies to a request, or null.
  const Quarantine* Find(std::span<const std::string> aParts) const;
  const std::vector<Quarantine>& Quarantines() const { return mQuarantines; }
  /// Whether a request was lately served with each of these parts, so that a
  /// stored quarantine of them is wrong.
  bool IsRefuted(const PartSet& aParts, Instant aNow) const;

  const std::map<UpstreamStart, CrashReport>& Crashes() const
  {
    return mCrashes;
  }
  /// Parts of suspects with which requests were served, and when last.
  const std::map<std::string, Instant>& Served() const { return mServed; }
  /// Changes with each change of Crashes() and Served().
  std::uint64_t Version() const { return mVersion; }
  /// Equal for two instances that hold the same crashes and served parts,
  /// whatever their times.
  std::uint64_t Digest() const;

private:
  /// The crashes in the order of their upstreams, and their suspects' parts.
  struct IndexedCrashes
  {
    std::vector<UpstreamStart> mUpstreams;
    std::vector<Instant> mTimes;
    SuspectIndex mParts;
  };

  CrashEvidence() = default;

  bool AddSuspect(CrashReport& aReport, PartSet aParts);
  CrashReport& ReportOf(const UpstreamStart& aUpstream, Instant aAt);
  void MakeRoom();
  void Expire(Instant aNow);
  /// Copies what this gateway has served itself of the suspects' parts.
  void ClearServedParts();
  std::optional<Instant> ServedAt(const std::string& aPart, Instant aNow) const;
  std::vector<Quarantine> Evaluate(Instant aNow);
  IndexedCrashes& Indexed();
  bool IsExplainedByOneRequest(std::span<const SuspectIndex::Crash> aCrashes);

  std::map<UpstreamStart, CrashReport> mCrashes;
  /// Absent after a change of the crashes or their suspects.
  std::optional<IndexedCrashes> mIndexed;
  std::map<std::string, Instant> mServed;
  /// When this gateway last served each part. Two generations bound the size:
  /// the older one is dropped when the newer one is full.
  std::unordered_map<std::string, Instant> mOwnServed;
  std::unordered_map<std::string, Instant> mOwnServedBefore;
  std::vector<PartSet> mStored;
  std::vector<Quarantine> mQuarantines;
  OneRequestCheck mIsOneRequest;
  std::uint64_t mVersion = 0;
  /// Version and time of the next update that may change the quarantines.
  std::uint64_t mUpdatedVersion = 0;
  Instant mNextUpdate;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_CRASH_EVIDENCE_HPP
