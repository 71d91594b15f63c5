#ifndef CACTUSGW_CORE_REQUEST_CRASHES_HPP
#define CACTUSGW_CORE_REQUEST_CRASHES_HPP

/// Finds requests that crash the upstreams that run them, and that clients send
/// again and again under new ids. When an upstream crashes, each request in
/// progress there is a suspect; most are innocent and are served by another
/// upstream. An upstream that responds later has only closed a connection.
///
/// A suspicion is a fact about a request and a start of an upstream, and is
/// either active or cleared. Gateways merge facts in any order, however late
/// and however often they arrive: a cleared fact stays cleared until the same
/// start ends under a later send, which begins the next round of the fact.

#include "cactusgw/core/request_fingerprint.hpp"
#include "cactusgw/core/request_trial.hpp"
#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactusgw {

/// An upstream crashed while a request was in progress there.
struct RequestCrash
{
  /// Stable hash of the start of the upstream.
  std::uint64_t mUpstream = 0;
  /// When the request was sent to the upstream.
  Instant mSentAt;
  /// When a gateway noticed the crash.
  Instant mAt;
  /// Whether the request was served since, or the upstream has not crashed.
  bool mIsCleared = false;
  /// Counts the times that the fact became active again.
  std::uint32_t mRound = 0;
};

/// All crashes that one request is a suspect of.
struct RequestSuspicion
{
  RequestFingerprint mRequest;
  std::vector<RequestCrash> mCrashes;
  KnownTrial mTrial;
};

/// Active crashes of a request.
struct CrashCount
{
  std::size_t mCrashes = 0;
  /// Number of causes that the crashes have at least.
  std::size_t mCauses = 0;
};

/// Requests whose quarantine began and ended with an update.
struct RequestQuarantineChanges
{
  std::vector<RequestFingerprint> mBegun;
  std::vector<RequestFingerprint> mEnded;
};

/// Not thread-safe. Time is passed in.
class RequestCrashes
{
public:
  /// Crashes after which a request is quarantined.
  static constexpr std::size_t kMinCrashes = 3;
  /// Crashes after which a request is held back for a while.
  static constexpr std::size_t kMinCrashesToHold = 2;
  /// Time after its last crash for which such a request is held back. Crashed
  /// upstreams take a few seconds to start again; a further crash before would
  /// leave a small service without upstreams.
  static constexpr Milliseconds kHoldTime{ 3000 };
  /// The same for the only request that was in progress at all these crashes:
  /// it is most likely their cause, and a sound one is seldom sent again.
  static constexpr Milliseconds kSoleSuspectHoldTime{ 30'000 };
  /// Crashes this close to each other have a common cause, such as a loss of
  /// power, and count as one, unless the request was sent to the second
  /// upstream after the first one had crashed.
  static constexpr Milliseconds kCommonCauseTime{ 100 };
  /// Age from which a crash no longer counts. A quarantine ends then, and
  /// begins anew after kMinCrashes further crashes.
  static constexpr Milliseconds kMaxAge{ 600'000 };
  /// Bounds of the state. Requests with few crashes are dropped first.
  static constexpr std::size_t kMaxRequests = 4096;
  static constexpr std::size_t kMaxCrashesOfRequest = 8;
  static constexpr std::size_t kMaxOwnCrashes = 1024;

  static RequestCrashes Create() { return RequestCrashes{}; }

  /// Sets this gateway's place among those that share the evidence.
  void SetPlace(const GatewayPlace& aPlace) { mPlace = aPlace; }

  /// Records that an upstream crashed while the request was in progress there.
  void OnCrash(RequestFingerprint aRequest,
               const UpstreamStart& aUpstream,
               Instant aSentAt,
               Instant aNow);
  /// Clears, also at other gateways, what this gateway reported since then: it
  /// was no crash. What others report of the same start later counts.
  /// @return number of crashes
  std::size_t WithdrawOwn(Instant aSince);
  /// Records that an upstream served the request.
  /// @return whether that cleared a crash
  bool OnServed(RequestFingerprint aRequest);
  /// Records a response of an upstream: if its request was sent after a
  /// supposed crash, there was none.
  /// @return whether that refuted a crash
  bool OnResponse(const UpstreamStart& aUpstream, Instant aSentAt);
  /// Records that the request is sent. A suspect is on trial then.
  /// @return the trial, which must be ended; nullopt if the request is none
  std::optional<RequestTrial> BeginTrial(RequestFingerprint aRequest,
                                         Instant aNow);
  /// Records that the upstream has responded, crashed or refused the request.
  void EndTrial(RequestFingerprint aRequest, RequestTrial aTrial);
  /// Adds what another gateway reports.
  void Merge(const RequestSuspicion& aSuspicion, Instant aNow);
  /// Replaces the quarantines that the platform's store holds. They apply until
  /// the store drops them, also when their evidence is lost, but not to a
  /// request that was served since.
  void SetStored(std::set<RequestFingerprint> aStored);

  /// Drops expired crashes, and determines which quarantines have changed.
  RequestQuarantineChanges Update(Instant aNow);

  /// Time for which a request must not be sent by this gateway; nullopt if it
  /// may be sent.
  /// @param aOwnCrashes crashes that ended attempts of the same client request;
  ///   without others it is retried at once
  std::optional<Milliseconds> HeldFor(RequestFingerprint aRequest,
                                      Instant aNow,
                                      std::size_t aOwnCrashes = 0) const;
  /// Whether the request must not be sent at all, nor be continued.
  bool IsQuarantined(RequestFingerprint aRequest) const;
  /// Quarantined requests as of the last update.
  const std::set<RequestFingerprint>& Quarantined() const
  {
    return mQuarantined;
  }
  CrashCount CountOf(RequestFingerprint aRequest) const;
  /// Whether one request is a suspect of all these crashes.
  bool HasSuspectOfAll(std::span<const UpstreamStart> aUpstreams) const;

  std::size_t Size() const { return mRequests.size(); }
  /// Incremented by each change of a fact.
  std::uint64_t Version() const { return mVersion; }
  /// Requests that changed after a version, oldest change first.
  /// @param aMost maximum number of requests
  /// @return the requests, and the version up to which they are complete
  std::pair<std::vector<RequestSuspicion>, std::uint64_t> ChangedSince(
    std::uint64_t aVersion,
    std::size_t aMost) const;
  /// Equal for two instances that hold the same facts, whatever their times.
  std::uint64_t Digest() const { return mDigest; }

private:
  struct Entry
  {
    std::vector<RequestCrash> mCrashes;
    KnownTrial mTrial;
    std::uint64_t mVersion = 0;
  };
  using Requests = std::unordered_map<std::uint64_t, Entry>;
  struct OwnCrash
  {
    RequestFingerprint mRequest;
    std::uint64_t mUpstream = 0;
    Instant mAt;
  };

  RequestCrashes() = default;

  /// Adds a fact or clears a known one.
  void Put(RequestFingerprint aRequest, const RequestCrash& aCrash);
  void MergeTrial(RequestFingerprint aRequest, const KnownTrial& aTrial);
  void OnChanged(std::uint64_t aRequest, Entry& aEntry);
  void MakeRoom();
  Requests::iterator Erase(Requests::iterator aAt);
  static CrashCount Count(const Entry& aEntry);
  static bool IsGuilty(const Entry& aEntry);
  /// Whether no other request is a suspect of all crashes of this one.
  bool IsSoleSuspect(RequestFingerprint aRequest, const Entry& aEntry) const;
  static bool IsSuspectOf(const Entry& aEntry, std::uint64_t aUpstream);
  /// Whether the request was served after all crashes that are known.
  bool IsRefuted(RequestFingerprint aRequest) const;

  GatewayPlace mPlace;
  Requests mRequests;
  /// When the crash of each upstream with active facts was last reported, by
  /// the stable hash of its start.
  std::unordered_map<std::uint64_t, Instant> mCrashedUpstreams;
  /// Requests by the version of their last change.
  std::map<std::uint64_t, std::uint64_t> mByVersion;
  /// The last crashes that this gateway reported itself, in their order.
  std::deque<OwnCrash> mOwnCrashes;
  std::set<RequestFingerprint> mStored;
  std::set<RequestFingerprint> mQuarantined;
  std::uint64_t mVersion = 0;
  std::uint64_t mDigest = 0;
  std::uint64_t mUpdatedVersion = 0;
  Instant mUpdatedAt;
  Instant mNextUpdate;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_REQUEST_CRASHES_HPP
