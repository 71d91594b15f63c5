#include "cactusgw/core/crash_evidence.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactusgw {

namespace {

/// How often the age of the evidence is checked.
constexpr Milliseconds kExpiryCheckInterval{ 1000 };

using Crash = SuspectIndex::Crash;
using Part = SuspectIndex::Part;

/// A set of parts, and the crashes that its requests were suspects of.
struct Blame
{
  SuspectIndex::Suspect mParts;
  /// In the order of their times.
  std::vector<Crash> mCrashes;
  /// Number of causes that the crashes have at least.
  std::size_t mCauses = 0;
  bool mWasServed = false;
};

bool
IncludesAll(const PartSet& aParts, const PartSet& aOthers)
{
  return std::includes(
    aParts.begin(), aParts.end(), aOthers.begin(), aOthers.end());
}

PartSet
MakePartSet(std::span<const std::string> aParts)
{
  PartSet parts{ aParts.begin(), aParts.end() };
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

/// Whether one of the suspects carries all of the parts.
bool
IsExplainedBy(const CrashReport& aReport, const PartSet& aParts)
{
  return std::any_of(
    aReport.mSuspects.begin(),
    aReport.mSuspects.end(),
    [&](const PartSet& aSuspect) { return IncludesAll(aSuspect, aParts); });
}

/// @param aCrashes ordered by time
std::size_t
CountCauses(std::span<const Instant> aTimes, std::span<const Crash> aCrashes)
{
  std::size_t causes = 0;
  Instant last;
  for (const Crash crash : aCrashes) {
    const Instant at = aTimes[crash];
    if (causes == 0 || at - last >= CrashEvidence::kCommonCauseTime) {
      ++causes;
      last = at;
    }
  }
  return causes;
}

/// More crashes weigh more; among equals, a part that was never served, then
/// the more specific set.
bool
IsStronger(const Blame& aBlame, const Blame& aOther)
{
  if (aBlame.mCrashes.size() != aOther.mCrashes.size()) {
    return aBlame.mCrashes.size() > aOther.mCrashes.size();
  }
  if (aBlame.mWasServed != aOther.mWasServed) {
    return !aBlame.mWasServed;
  }
  return aBlame.mParts.size() > aOther.mParts.size();
}

bool
Holds(const std::vector<Quarantine>& aQuarantines, const PartSet& aParts)
{
  return std::any_of(aQuarantines.begin(),
                     aQuarantines.end(),
                     [&](const Quarantine& aQuarantine) {
                       return aQuarantine.mParts == aParts;
                     });
}

} // namespace

CrashReport&
CrashEvidence::ReportOf(const UpstreamStart& aUpstream, Instant aAt)
{
  const auto it = mCrashes.find(aUpstream);
  if (it != mCrashes.end()) {
    if (aAt < it->second.mAt) {
      it->second.mAt = aAt;
      mIndexed.reset();
    }
    return it->second;
  }
  MakeRoom();
  mIndexed.reset();
  return mCrashes.emplace(aUpstream, CrashReport{ aUpstream, aAt, {} })
    .first->second;
}

bool
CrashEvidence::AddSuspect(CrashReport& aReport, PartSet aParts)
{
  const auto it = std::lower_bound(
    aReport.mSuspects.begin(), aReport.mSuspects.end(), aParts);
  if (it != aReport.mSuspects.end() && *it == aParts) {
    return false;
  }
  // All gateways drop the same suspects, so that their evidence converges.
  const bool isDropped =
    aReport.mSuspects.size() == kMaxSuspects && it == aReport.mSuspects.end();
  if (isDropped) {
    return false;
  }
  mIndexed.reset();
  aReport.mSuspects.insert(it, std::move(aParts));
  if (aReport.mSuspects.size() > kMaxSuspects) {
    aReport.mSuspects.pop_back();
  }
  return true;
}

void
CrashEvidence::MakeRoom()
{
  if (mCrashes.size() < kMaxCrashes) {
    return;
  }
  const auto isExplained = [&](const CrashReport& aReport) {
    return std::any_of(mQuarantines.begin(),
                       mQuarantines.end(),
                       [&](const Quarantine& aQuarantine) {
                         return IsExplainedBy(aReport, aQuarantine.mParts);
                       });
  };
  // Evidence of a quarantine outlasts other evidence.
  const auto oldest = std::min_element(
    mCrashes.begin(),
    mCrashes.end(),
    [&](const auto& aOne, const auto& aOther) {
      return std::pair{ isExplained(aOne.second), aOne.second.mAt } <
             std::pair{ isExplained(aOther.second), aOther.second.mAt };
    });
  mIndexed.reset();
  mCrashes.erase(oldest);
}

void
CrashEvidence::OnCrash(const UpstreamStart& aUpstream,
                       std::span<const std::string> aParts,
                       Instant aNow)
{
  PartSet parts = MakePartSet(aParts);
  if (!parts.empty() &&
      AddSuspect(ReportOf(aUpstream, aNow), std::move(parts))) {
    ++mVersion;
  }
}

void
CrashEvidence::OnServed(std::span<const std::string> aParts, Instant aNow)
{
  for (const std::string& part : aParts) {
    if (mOwnServed.size() >= kMaxServedParts / 2) {
      mOwnServedBefore = std::exchange(mOwnServed, {});
    }
    mOwnServed[part] = aNow;
    MergeServed(part, aNow);
  }
}

void
CrashEvidence::Merge(CrashReport aReport)
{
  if (aReport.mSuspects.empty()) {
    return;
  }
  CrashReport& report = ReportOf(aReport.mUpstream, aReport.mAt);
  for (PartSet& suspect : aReport.mSuspects) {
    PartSet parts = MakePartSet(suspect);
    if (!parts.empty() && AddSuspect(report, std::move(parts))) {
      ++mVersion;
    }
  }
}

CrashEvidence::IndexedCrashes&
CrashEvidence::Indexed()
{
  if (!mIndexed) {
    std::vector<UpstreamStart> upstreams;
    std::vector<Instant> times;
    std::vector<const std::vector<PartSet>*> suspects;
    for (const auto& [upstream, report] : mCrashes) {
      upstreams.push_back(upstream);
      times.push_back(report.mAt);
      suspects.push_back(&report.mSuspects);
    }
    mIndexed.emplace(IndexedCrashes{
      std::move(upstreams), std::move(times), SuspectIndex::Create(suspects) });
  }
  return *mIndexed;
}

void
CrashEvidence::MergeServed(const std::string& aPart, Instant aServedAt)
{
  const IndexedCrashes& indexed = Indexed();
  const std::span<const Crash> crashes = indexed.mParts.CrashesOf(aPart);
  const auto known = mServed.find(aPart);
  const bool clears =
    std::any_of(crashes.begin(), crashes.end(), [&](Crash aCrash) {
      const Instant at = indexed.mTimes[aCrash];
      return known == mServed.end() || (known->second < at && at <= aServedAt);
    });
  if (clears) {
    mServed[aPart] = aServedAt;
    ++mVersion;
  }
}

void
CrashEvidence::ClearServedParts()
{
  const SuspectIndex& parts = Indexed().mParts;
  for (Part part = 0; part < parts.PartCount(); ++part) {
    const std::string& name = parts.NameOf(part);
    const auto served = mOwnServed.find(name);
    const auto before = mOwnServedBefore.find(name);
    if (served != mOwnServed.end()) {
      MergeServed(name, served->second);
    } else if (before != mOwnServedBefore.end()) {
      MergeServed(name, before->second);
    }
  }
}

void
CrashEvidence::SetStored(std::vector<PartSet> aStored)
{
  mStored = std::move(aStored);
  ++mVersion;
}

std::optional<Instant>
CrashEvidence::ServedAt(const std::string& aPart, Instant aNow) const
{
  std::optional<Instant> at;
  const auto shared = mServed.find(aPart);
  if (shared != mServed.end()) {
    at = shared->second;
  }
  const auto own = mOwnServed.find(aPart);
  const auto before = mOwnServedBefore.find(aPart);
  if (own != mOwnServed.end()) {
    at = std::max(at.value_or(own->second), own->second);
  } else if (before != mOwnServedBefore.end()) {
    at = std::max(at.value_or(before->second), before->second);
  }
  return at && aNow - *at < kMaxAge ? at : std::nullopt;
}

bool
CrashEvidence::IsExplainedByOneRequest(std::span<const Crash> aCrashes)
{
  const IndexedCrashes& indexed = Indexed();
  std::vector<UpstreamStart> upstreams;
  upstreams.reserve(aCrashes.size());
  for (const Crash crash : aCrashes) {
    upstreams.push_back(indexed.mUpstreams[crash]);
  }
  return mIsOneRequest && mIsOneRequest(upstreams);
}

std::vector<Quarantine>
CrashEvidence::Evaluate(Instant aNow)
{
  const std::vector<Instant>& times = Indexed().mTimes;
  SuspectIndex& parts = Indexed().mParts;
  std::vector<bool> isUnexplained(times.size());
  for (Crash crash = 0; crash < times.size(); ++crash) {
    isUnexplained[crash] = aNow - times[crash] >= kSettleTime;
  }
  const auto blameFor = [&](Part aPart) {
    Blame blame;
    const std::optional<Instant> served = ServedAt(parts.NameOf(aPart), aNow);
    blame.mWasServed = served.has_value();
    const Milliseconds maxAge = served ? kMaxAgeOfServedPart : kMaxAge;
    for (const Crash crash : parts.CrashesOf(aPart)) {
      const Instant at = times[crash];
      if (isUnexplained[crash] && aNow - at < maxAge &&
          (!served || at > *served)) {
        blame.mCrashes.push_back(crash);
      }
    }
    std::sort(
      blame.mCrashes.begin(),
      blame.mCrashes.end(),
      [&](Crash aOne, Crash aOther) { return times[aOne] < times[aOther]; });
    blame.mCauses = CountCauses(times, blame.mCrashes);
    return blame;
  };
  const auto findParts = [&](Blame& aBlame, Part aPart) {
    aBlame.mParts = parts.PartsAlwaysWith(aPart, aBlame.mCrashes);
    if (!aBlame.mWasServed) {
      std::erase_if(aBlame.mParts, [&](Part aOther) {
        return aOther != aPart && ServedAt(parts.NameOf(aOther), aNow);
      });
    }
  };
  std::vector<Quarantine> quarantines;
  while (true) {
    std::optional<Blame> strongest;
    for (Part part = 0; part < parts.PartCount(); ++part) {
      if (parts.CrashesOf(part).size() < kMinCrashes) {
        continue;
      }
      Blame blame = blameFor(part);
      const std::size_t needed =
        blame.mWasServed ? kMinCrashesOfServedPart : kMinCrashes;
      if (blame.mCauses < needed) {
        continue;
      }
      findParts(blame, part);
      if ((!strongest || IsStronger(blame, *strongest)) &&
          !IsExplainedByOneRequest(blame.mCrashes)) {
        strongest = std::move(blame);
      }
    }
    if (!strongest) {
      return quarantines;
    }
    // The crashes are explained: their other suspects are not blamed for them.
    for (Crash crash = 0; crash < times.size(); ++crash) {
      isUnexplained[crash] =
        isUnexplained[crash] && !parts.IsExplainedBy(crash, strongest->mParts);
    }
    PartSet names;
    for (const Part part : strongest->mParts) {
      names.push_back(parts.NameOf(part));
    }
    quarantines.push_back({ std::move(names), strongest->mCrashes.size() });
  }
}

void
CrashEvidence::Expire(Instant aNow)
{
  const std::size_t before = mCrashes.size() + mServed.size();
  const std::size_t expired = std::erase_if(mCrashes, [&](const auto& aEntry) {
    return aNow - aEntry.second.mAt >= kMaxAge;
  });
  if (expired > 0) {
    mIndexed.reset();
  }
  const SuspectIndex& parts = Indexed().mParts;
  std::erase_if(mServed, [&](const auto& aEntry) {
    return parts.CrashesOf(aEntry.first).empty();
  });
  if (mCrashes.size() + mServed.size() != before) {
    ++mVersion;
  }
}

QuarantineChanges
CrashEvidence::Update(Instant aNow)
{
  if (mVersion == mUpdatedVersion && aNow < mNextUpdate) {
    return {};
  }
  Expire(aNow);
  ClearServedParts();
  std::vector<Quarantine> current = Evaluate(aNow);
  const std::size_t evident = current.size();
  for (const PartSet& stored : mStored) {
    // A quarantine of fewer parts makes one of more parts needless.
    const bool isCovered =
      std::any_of(current.begin(),
                  current.begin() + static_cast<std::ptrdiff_t>(evident),
                  [&](const Quarantine& aQuarantine) {
                    return IncludesAll(stored, aQuarantine.mParts);
                  });
    if (!isCovered && !IsRefuted(stored, aNow)) {
      current.push_back({ stored, 0 });
    }
  }
  QuarantineChanges changes;
  for (const Quarantine& quarantine : current) {
    if (!Holds(mQuarantines, quarantine.mParts)) {
      changes.mBegun.push_back(quarantine);
    }
  }
  for (const Quarantine& quarantine : mQuarantines) {
    if (!Holds(current, quarantine.mParts)) {
      changes.mEnded.push_back(quarantine);
    }
  }
  mQuarantines = std::move(current);
  mUpdatedVersion = mVersion;
  mNextUpdate = aNow + kExpiryCheckInterval;
  for (const auto& [upstream, report] : mCrashes) {
    if (aNow < report.mAt + kSettleTime) {
      mNextUpdate = std::min(mNextUpdate, report.mAt + kSettleTime);
    }
  }
  return changes;
}

const Quarantine*
CrashEvidence::Find(std::span<const std::string> aParts) const
{
  if (mQuarantines.empty() || aParts.empty()) {
    return nullptr;
  }
  const PartSet parts = MakePartSet(aParts);
  const auto it = std::find_if(mQuarantines.begin(),
                               mQuarantines.end(),
                               [&](const Quarantine& aQuarantine) {
                                 return IncludesAll(parts, aQuarantine.mParts);
                               });
  return it == mQuarantines.end() ? nullptr : &*it;
}

bool
CrashEvidence::IsRefuted(const PartSet& aParts, Instant aNow) const
{
  return std::all_of(
    aParts.begin(), aParts.end(), [&](const std::string& aPart) {
      return ServedAt(aPart, aNow).has_value();
    });
}

std::uint64_t
CrashEvidence::Digest() const
{
  // A sum does not depend on the order.
  std::uint64_t digest = 0;
  for (const auto& [upstream, report] : mCrashes) {
    const std::string start =
      upstream.mId + "/" + std::to_string(upstream.mStartedMs);
    for (const PartSet& suspect : report.mSuspects) {
      std::string text = start;
      for (const std::string& part : suspect) {
        text += "," + part;
      }
      digest += StableHash(text);
    }
  }
  for (const auto& [part, servedAt] : mServed) {
    digest += StableHash(part);
  }
  return digest;
}

} // namespace cactusgw
