#include "cactusgw/core/request_crashes.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace cactusgw {

namespace {

/// How often the age of the crashes is checked.
constexpr Milliseconds kExpiryCheckInterval{ 1000 };
/// Minimum time between two updates while crashes are reported.
constexpr Milliseconds kMinUpdateInterval{ 200 };
/// Retry-After while a copy of the request is on trial, which mostly ends
/// sooner.
constexpr Milliseconds kTrialRetryAfter{ 500 };

std::uint64_t
HashOf(const UpstreamStart& aUpstream)
{
  return StableHash(aUpstream.mId + "/" + std::to_string(aUpstream.mStartedMs));
}

/// What a fact contributes to the digest, a sum that depends on no order.
std::uint64_t
DigestOf(std::uint64_t aRequest, const RequestCrash& aCrash)
{
  return StableHash(
    std::to_string(aRequest) + "," + std::to_string(aCrash.mUpstream) + "," +
    std::to_string(aCrash.mRound) + (aCrash.mIsCleared ? ",cleared" : ""));
}

std::uint64_t
DigestOf(std::uint64_t aRequest, const RequestTrial& aTrial)
{
  return aTrial.mNumber == 0 ? 0
                             : StableHash(std::to_string(aRequest) + ",trial," +
                                          std::to_string(aTrial.mNumber) + "," +
                                          std::to_string(aTrial.mGateway) +
                                          (aTrial.mIsEnded ? ",ended" : ""));
}

std::vector<RequestCrash>::iterator
FindUpstream(std::vector<RequestCrash>& aCrashes, std::uint64_t aUpstream)
{
  return std::find_if(
    aCrashes.begin(), aCrashes.end(), [&](const RequestCrash& aCrash) {
      return aCrash.mUpstream == aUpstream;
    });
}

/// When the last crash happened that is not cleared.
Instant
LastCrash(const std::vector<RequestCrash>& aCrashes)
{
  Instant last;
  for (const RequestCrash& crash : aCrashes) {
    last = crash.mIsCleared ? last : std::max(last, crash.mAt);
  }
  return last;
}

} // namespace

void
RequestCrashes::OnCrash(RequestFingerprint aRequest,
                        const UpstreamStart& aUpstream,
                        Instant aSentAt,
                        Instant aNow)
{
  RequestCrash crash{ HashOf(aUpstream), aSentAt, aNow, false, 0 };
  const auto it = mRequests.find(aRequest.mValue);
  if (it != mRequests.end()) {
    const auto known = FindUpstream(it->second.mCrashes, crash.mUpstream);
    if (known != it->second.mCrashes.end()) {
      // A copy that was sent before may have ended with the crash that was
      // cleared.
      const bool isAnother = known->mIsCleared && aSentAt >= known->mAt;
      crash.mRound = known->mRound + (isAnother ? 1 : 0);
    }
  }
  Put(aRequest, crash);
  if (mOwnCrashes.size() == kMaxOwnCrashes) {
    mOwnCrashes.pop_front();
  }
  mOwnCrashes.push_back({ aRequest, crash.mUpstream, aNow });
}

std::size_t
RequestCrashes::WithdrawOwn(Instant aSince)
{
  std::size_t withdrawn = 0;
  const auto first =
    std::partition(mOwnCrashes.begin(),
                   mOwnCrashes.end(),
                   [&](const OwnCrash& aOwn) { return aOwn.mAt < aSince; });
  for (auto own = first; own != mOwnCrashes.end(); ++own) {
    const auto it = mRequests.find(own->mRequest.mValue);
    if (it == mRequests.end()) {
      continue;
    }
    const auto known = FindUpstream(it->second.mCrashes, own->mUpstream);
    if (known != it->second.mCrashes.end() && !known->mIsCleared) {
      RequestCrash cleared = *known;
      cleared.mIsCleared = true;
      Put(own->mRequest, cleared);
      ++withdrawn;
    }
  }
  mOwnCrashes.erase(first, mOwnCrashes.end());
  return withdrawn;
}

bool
RequestCrashes::OnServed(RequestFingerprint aRequest)
{
  mStored.erase(aRequest);
  const auto it = mRequests.find(aRequest.mValue);
  if (it == mRequests.end()) {
    return false;
  }
  const bool wasSuspect = Count(it->second).mCrashes > 0;
  // Put() may move the entry.
  const std::vector<RequestCrash> crashes = it->second.mCrashes;
  for (RequestCrash crash : crashes) {
    crash.mIsCleared = true;
    Put(aRequest, crash);
  }
  return wasSuspect;
}

bool
RequestCrashes::OnResponse(const UpstreamStart& aUpstream, Instant aSentAt)
{
  if (mCrashedUpstreams.empty()) {
    return false;
  }
  const std::uint64_t upstream = HashOf(aUpstream);
  const auto crashed = mCrashedUpstreams.find(upstream);
  if (crashed == mCrashedUpstreams.end() || aSentAt <= crashed->second) {
    return false;
  }
  mCrashedUpstreams.erase(crashed);
  for (auto& [request, entry] : mRequests) {
    const auto known = FindUpstream(entry.mCrashes, upstream);
    if (known != entry.mCrashes.end()) {
      RequestCrash refuted = *known;
      refuted.mIsCleared = true;
      Put(RequestFingerprint{ request }, refuted);
    }
  }
  return true;
}

std::optional<RequestTrial>
RequestCrashes::BeginTrial(RequestFingerprint aRequest, Instant aNow)
{
  const auto it = mRequests.find(aRequest.mValue);
  if (it == mRequests.end() || Count(it->second).mCrashes == 0) {
    return std::nullopt;
  }
  const RequestTrial trial{ it->second.mTrial.mTrial.mNumber + 1,
                            mPlace.mId,
                            false };
  MergeTrial(aRequest, { trial, aNow });
  return trial;
}

void
RequestCrashes::EndTrial(RequestFingerprint aRequest, RequestTrial aTrial)
{
  const auto it = mRequests.find(aRequest.mValue);
  if (it != mRequests.end()) {
    aTrial.mIsEnded = true;
    MergeTrial(aRequest, { aTrial, it->second.mTrial.mSentAt });
  }
}

void
RequestCrashes::Merge(const RequestSuspicion& aSuspicion, Instant aNow)
{
  for (const RequestCrash& crash : aSuspicion.mCrashes) {
    if (aNow - crash.mAt < kMaxAge) {
      Put(aSuspicion.mRequest, crash);
    }
  }
  MergeTrial(aSuspicion.mRequest, aSuspicion.mTrial);
}

void
RequestCrashes::MergeTrial(RequestFingerprint aRequest,
                           const KnownTrial& aTrial)
{
  const auto it = mRequests.find(aRequest.mValue);
  if (it == mRequests.end()) {
    return;
  }
  KnownTrial& known = it->second.mTrial;
  const std::uint64_t before = DigestOf(aRequest.mValue, known.mTrial);
  if (known.Merge(aTrial)) {
    mDigest += DigestOf(aRequest.mValue, known.mTrial) - before;
    OnChanged(aRequest.mValue, it->second);
  }
}

void
RequestCrashes::Put(RequestFingerprint aRequest, const RequestCrash& aCrash)
{
  auto entry = mRequests.find(aRequest.mValue);
  if (entry == mRequests.end()) {
    MakeRoom();
    entry = mRequests.emplace(aRequest.mValue, Entry{}).first;
  }
  std::vector<RequestCrash>& crashes = entry->second.mCrashes;
  const auto known = FindUpstream(crashes, aCrash.mUpstream);
  if (known != crashes.end() && aCrash.mRound > known->mRound) {
    mDigest -= DigestOf(aRequest.mValue, *known);
    *known = aCrash;
    mDigest += DigestOf(aRequest.mValue, *known);
  } else if (known != crashes.end()) {
    if (aCrash.mRound < known->mRound) {
      return;
    }
    const Milliseconds progress =
      std::chrono::duration_cast<Milliseconds>(known->mAt - known->mSentAt);
    known->mAt = std::min(known->mAt, aCrash.mAt);
    known->mSentAt = known->mAt - progress;
    if (known->mIsCleared || !aCrash.mIsCleared) {
      return;
    }
    mDigest -= DigestOf(aRequest.mValue, *known);
    known->mIsCleared = true;
    mDigest += DigestOf(aRequest.mValue, *known);
  } else {
    if (crashes.size() == kMaxCrashesOfRequest) {
      const auto oldest = std::min_element(
        crashes.begin(),
        crashes.end(),
        [](const RequestCrash& aOne, const RequestCrash& aOther) {
          return aOne.mAt < aOther.mAt;
        });
      mDigest -= DigestOf(aRequest.mValue, *oldest);
      crashes.erase(oldest);
    }
    crashes.push_back(aCrash);
    mDigest += DigestOf(aRequest.mValue, aCrash);
  }
  if (!aCrash.mIsCleared) {
    Instant& crashedAt = mCrashedUpstreams[aCrash.mUpstream];
    crashedAt = std::max(crashedAt, aCrash.mAt);
  }
  OnChanged(aRequest.mValue, entry->second);
}

void
RequestCrashes::OnChanged(std::uint64_t aRequest, Entry& aEntry)
{
  mByVersion.erase(aEntry.mVersion);
  aEntry.mVersion = ++mVersion;
  mByVersion.emplace(aEntry.mVersion, aRequest);
}

void
RequestCrashes::MakeRoom()
{
  if (mRequests.size() < kMaxRequests) {
    return;
  }
  struct Rank
  {
    std::size_t mCauses = 0;
    Instant mLastCrash;
    std::uint64_t mRequest = 0;

    auto operator<=>(const Rank&) const = default;
  };
  std::vector<Rank> ranks;
  ranks.reserve(mRequests.size());
  for (const auto& [request, entry] : mRequests) {
    ranks.push_back(
      { Count(entry).mCauses, LastCrash(entry.mCrashes), request });
  }
  // Several at once, as finding the least takes a pass over all.
  constexpr std::ptrdiff_t kDropped = kMaxRequests / 8;
  std::nth_element(ranks.begin(), ranks.begin() + kDropped, ranks.end());
  for (auto it = ranks.begin(); it != ranks.begin() + kDropped; ++it) {
    Erase(mRequests.find(it->mRequest));
  }
}

RequestCrashes::Requests::iterator
RequestCrashes::Erase(Requests::iterator aAt)
{
  for (const RequestCrash& crash : aAt->second.mCrashes) {
    mDigest -= DigestOf(aAt->first, crash);
  }
  mDigest -= DigestOf(aAt->first, aAt->second.mTrial.mTrial);
  mByVersion.erase(aAt->second.mVersion);
  return mRequests.erase(aAt);
}

CrashCount
RequestCrashes::CountOf(RequestFingerprint aRequest) const
{
  const auto it = mRequests.find(aRequest.mValue);
  return it == mRequests.end() ? CrashCount{} : Count(it->second);
}

CrashCount
RequestCrashes::Count(const Entry& aEntry)
{
  std::vector<RequestCrash> active;
  std::copy_if(aEntry.mCrashes.begin(),
               aEntry.mCrashes.end(),
               std::back_inserter(active),
               [](const RequestCrash& aCrash) { return !aCrash.mIsCleared; });
  std::sort(active.begin(),
            active.end(),
            [](const RequestCrash& aOne, const RequestCrash& aOther) {
              return aOne.mAt < aOther.mAt;
            });
  std::size_t causes = 0;
  Instant last;
  for (const RequestCrash& crash : active) {
    if (causes == 0 || crash.mAt - last >= kCommonCauseTime ||
        crash.mSentAt >= last) {
      ++causes;
      last = crash.mAt;
    }
  }
  return { active.size(), causes };
}

bool
RequestCrashes::IsGuilty(const Entry& aEntry)
{
  const CrashCount count = Count(aEntry);
  // Crashes at the same time may have had a common cause, but not the crash of
  // another upstream that the request was sent to before or after.
  return count.mCauses >= kMinCrashesToHold && count.mCrashes >= kMinCrashes;
}

bool
RequestCrashes::IsRefuted(RequestFingerprint aRequest) const
{
  const auto it = mRequests.find(aRequest.mValue);
  return it != mRequests.end() && Count(it->second).mCauses == 0;
}

void
RequestCrashes::SetStored(std::set<RequestFingerprint> aStored)
{
  mStored = std::move(aStored);
  ++mVersion;
}

RequestQuarantineChanges
RequestCrashes::Update(Instant aNow)
{
  const bool isDue =
    aNow >= mNextUpdate ||
    (mVersion != mUpdatedVersion && aNow - mUpdatedAt >= kMinUpdateInterval);
  if (!isDue) {
    return {};
  }
  std::set<RequestFingerprint> current;
  for (auto it = mRequests.begin(); it != mRequests.end();) {
    Entry& entry = it->second;
    std::erase_if(entry.mCrashes, [&](const RequestCrash& aCrash) {
      const bool isOld = aNow - aCrash.mAt >= kMaxAge;
      mDigest -= isOld ? DigestOf(it->first, aCrash) : 0;
      return isOld;
    });
    if (entry.mCrashes.empty()) {
      it = Erase(it);
      continue;
    }
    if (IsGuilty(entry)) {
      current.insert(RequestFingerprint{ it->first });
    }
    ++it;
  }
  std::copy_if(mStored.begin(),
               mStored.end(),
               std::inserter(current, current.end()),
               [&](RequestFingerprint aStored) { return !IsRefuted(aStored); });
  std::erase_if(mCrashedUpstreams, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kMaxAge;
  });
  RequestQuarantineChanges changes;
  std::set_difference(current.begin(),
                      current.end(),
                      mQuarantined.begin(),
                      mQuarantined.end(),
                      std::back_inserter(changes.mBegun));
  std::set_difference(mQuarantined.begin(),
                      mQuarantined.end(),
                      current.begin(),
                      current.end(),
                      std::back_inserter(changes.mEnded));
  mQuarantined = std::move(current);
  mUpdatedVersion = mVersion;
  mUpdatedAt = aNow;
  mNextUpdate = aNow + kExpiryCheckInterval;
  return changes;
}

bool
RequestCrashes::IsQuarantined(RequestFingerprint aRequest) const
{
  const auto it = mRequests.find(aRequest.mValue);
  return (mStored.contains(aRequest) && !IsRefuted(aRequest)) ||
         (it != mRequests.end() && IsGuilty(it->second));
}

std::optional<Milliseconds>
RequestCrashes::HeldFor(RequestFingerprint aRequest,
                        Instant aNow,
                        std::size_t aOwnCrashes) const
{
  /// Quarantines last for minutes.
  constexpr Milliseconds kQuarantineRetryAfter{ 60'000 };
  if (IsQuarantined(aRequest)) {
    return kQuarantineRetryAfter;
  }
  const auto it = mRequests.find(aRequest.mValue);
  if (it == mRequests.end()) {
    return std::nullopt;
  }
  const CrashCount count = Count(it->second);
  if (count.mCrashes > 0 && it->second.mTrial.IsRunning(aNow)) {
    return kTrialRetryAfter;
  }
  if (count.mCauses < kMinCrashesToHold || count.mCrashes <= aOwnCrashes) {
    return std::nullopt;
  }
  const Instant last = LastCrash(it->second.mCrashes);
  const bool isHeldLonger =
    aNow < last + kSoleSuspectHoldTime + mPlace.TurnDelay(aRequest) &&
    IsSoleSuspect(aRequest, it->second);
  const Instant until = last +
                        (isHeldLonger ? kSoleSuspectHoldTime : kHoldTime) +
                        mPlace.TurnDelay(aRequest);
  return aNow < until
           ? std::optional{ std::chrono::ceil<Milliseconds>(until - aNow) }
           : std::nullopt;
}

bool
RequestCrashes::IsSuspectOf(const Entry& aEntry, std::uint64_t aUpstream)
{
  return std::any_of(aEntry.mCrashes.begin(),
                     aEntry.mCrashes.end(),
                     [&](const RequestCrash& aCrash) {
                       return aCrash.mUpstream == aUpstream &&
                              !aCrash.mIsCleared;
                     });
}

bool
RequestCrashes::IsSoleSuspect(RequestFingerprint aRequest,
                              const Entry& aEntry) const
{
  const auto sharesAllCrashes = [&](const auto& aOther) {
    return aOther.first != aRequest.mValue &&
           std::all_of(aEntry.mCrashes.begin(),
                       aEntry.mCrashes.end(),
                       [&](const RequestCrash& aCrash) {
                         return aCrash.mIsCleared ||
                                IsSuspectOf(aOther.second, aCrash.mUpstream);
                       });
  };
  return std::none_of(mRequests.begin(), mRequests.end(), sharesAllCrashes);
}

bool
RequestCrashes::HasSuspectOfAll(std::span<const UpstreamStart> aUpstreams) const
{
  std::vector<std::uint64_t> upstreams;
  upstreams.reserve(aUpstreams.size());
  for (const UpstreamStart& upstream : aUpstreams) {
    upstreams.push_back(HashOf(upstream));
  }
  return std::any_of(
    mRequests.begin(), mRequests.end(), [&](const auto& aEntry) {
      return aEntry.second.mCrashes.size() >= upstreams.size() &&
             std::all_of(upstreams.begin(),
                         upstreams.end(),
                         [&](std::uint64_t aUpstream) {
                           return IsSuspectOf(aEntry.second, aUpstream);
                         });
    });
}

std::pair<std::vector<RequestSuspicion>, std::uint64_t>
RequestCrashes::ChangedSince(std::uint64_t aVersion, std::size_t aMost) const
{
  std::vector<RequestSuspicion> changed;
  std::uint64_t completeTo = mVersion;
  for (auto it = mByVersion.upper_bound(aVersion); it != mByVersion.end();
       ++it) {
    if (changed.size() == aMost) {
      completeTo = std::prev(it)->first;
      break;
    }
    const Entry& entry = mRequests.at(it->second);
    changed.push_back(
      { RequestFingerprint{ it->second }, entry.mCrashes, entry.mTrial });
  }
  return { std::move(changed), completeTo };
}

} // namespace cactusgw
