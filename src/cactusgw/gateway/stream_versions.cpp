#include "cactusgw/gateway/stream_versions.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>

namespace cactusgw {

std::string
StreamVersionName(std::string_view aService, std::string_view aVersion)
{
  const std::string joined =
    std::string{ aService } + "\n" + std::string{ aVersion };
  return "v-" + std::to_string(StableHash(joined));
}

void
StreamVersions::OnStored(const std::string& aName,
                         std::optional<StoredStreamVersion> aRecord,
                         Instant aNow)
{
  const auto it = mRecords.find(aName);
  if (aRecord) {
    const bool isNew = it == mRecords.end() || !it->second.mIsStored ||
                       it->second.mStored.mRevision != aRecord->mRevision;
    if (isNew) {
      mRecords[aName] = { std::move(*aRecord), true, aNow };
    }
  } else if (it != mRecords.end() && it->second.mIsStored) {
    it->second.mIsStored = false;
    if (it->second.mStored.mIsServing) {
      // This gateway has missed that the version left, or the store has lost
      // the record.
      it->second.mLearnedAt = aNow;
    }
  }
  Expire(aNow);
}

void
StreamVersions::OnServing(const std::set<ServiceVersion>& aVersions,
                          Instant aNow)
{
  for (const ServiceVersion& version : aVersions) {
    Serving& serving =
      mServing.try_emplace(version, Serving{ aNow, aNow }).first->second;
    if (!serving.mIsServing) {
      serving.mSince = aNow;
    }
    serving.mLastSeen = aNow;
  }
  for (auto& [version, serving] : mServing) {
    serving.mIsServing = aVersions.contains(version);
  }
  Expire(aNow);
}

void
StreamVersions::Expire(Instant aNow)
{
  std::erase_if(mRecords, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    return !record.mIsStored && aNow - record.mLearnedAt >= kRetention;
  });
  std::erase_if(mServing, [&](const auto& aEntry) {
    const Serving& serving = aEntry.second;
    return !serving.mIsServing && aNow - serving.mLastSeen >= kRetention;
  });
}

const StreamVersions::Record*
StreamVersions::Find(const ServiceVersion& aVersion) const
{
  const auto it =
    mRecords.find(StreamVersionName(aVersion.first, aVersion.second));
  return it == mRecords.end() || !it->second.mIsStored ? nullptr : &it->second;
}

bool
StreamVersions::IsRecordedAsServing(const ServiceVersion& aVersion) const
{
  const Record* const record = Find(aVersion);
  return record != nullptr && record->mStored.mIsServing;
}

bool
StreamVersions::MayBegin(std::string_view aService,
                         std::string_view aVersion,
                         Instant aNow) const
{
  const ServiceVersion wanted{ aService, aVersion };
  if (!mAreRecorded || IsRecordedAsServing(wanted)) {
    return true;
  }
  const bool hasOther =
    std::any_of(mServing.begin(), mServing.end(), [&](const auto& aEntry) {
      return aEntry.first.first == aService && aEntry.second.mIsServing &&
             IsRecordedAsServing(aEntry.first);
    });
  const auto it = mServing.find(wanted);
  return !hasOther && it != mServing.end() && it->second.mIsServing &&
         aNow - it->second.mSince >= kMaxWriteTime;
}

std::vector<std::string>
StreamVersions::MayHaveBegun(std::string_view aService,
                             Milliseconds aMaxAge,
                             Instant aNow) const
{
  const Milliseconds longest =
    std::min(aMaxAge, StreamOrigins::kLifetime) + kMaxLag;
  std::set<std::string> versions;
  for (const auto& [name, record] : mRecords) {
    const bool isServing = record.mIsStored && record.mStored.mIsServing;
    if (record.mStored.mService == aService &&
        (isServing || aNow - record.mLearnedAt < longest)) {
      versions.insert(record.mStored.mVersion);
    }
  }
  // Streams may have begun without a record, see MayBegin.
  for (const auto& [version, serving] : mServing) {
    if (version.first == aService && Find(version) == nullptr &&
        aNow - serving.mLastSeen < longest) {
      versions.insert(version.second);
    }
  }
  return mAreRecorded
           ? std::vector<std::string>{ versions.begin(), versions.end() }
           : std::vector<std::string>{};
}

bool
StreamVersions::HasLeft(const Record& aRecord, Instant aNow) const
{
  const auto it =
    mServing.find({ aRecord.mStored.mService, aRecord.mStored.mVersion });
  if (it == mServing.end()) {
    return aNow - aRecord.mLearnedAt >= kLeaveTime;
  }
  const Instant since = std::max(aRecord.mLearnedAt, it->second.mLastSeen);
  return !it->second.mIsServing && aNow - since >= kLeaveTime;
}

std::optional<StreamVersionEdit>
StreamVersions::NextEdit(Instant aNow) const
{
  if (!mAreRecorded) {
    return std::nullopt;
  }
  for (const auto& [version, serving] : mServing) {
    const Record* const record = Find(version);
    if (!serving.mIsServing || IsRecordedAsServing(version)) {
      continue;
    }
    if (record != nullptr) {
      return StreamVersionEdit{
        StreamVersionEdit::Kind::Replace,
        { version.first, version.second, true, record->mStored.mRevision }
      };
    }
    if (mRecords.size() < kMaxRecords) {
      return StreamVersionEdit{ StreamVersionEdit::Kind::Add,
                                { version.first, version.second, true, 0 } };
    }
  }
  for (const auto& [name, record] : mRecords) {
    if (!record.mIsStored) {
      continue;
    }
    if (record.mStored.mIsServing && HasLeft(record, aNow)) {
      StoredStreamVersion left = record.mStored;
      left.mIsServing = false;
      return StreamVersionEdit{ StreamVersionEdit::Kind::Replace,
                                std::move(left) };
    }
    if (!record.mStored.mIsServing && aNow - record.mLearnedAt >= kRetention) {
      return StreamVersionEdit{ StreamVersionEdit::Kind::Remove,
                                record.mStored };
    }
  }
  return std::nullopt;
}

} // namespace cactusgw
