#include "cactusgw/gateway/quarantine_keeper.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cactusgw {

namespace {

constexpr std::string_view kRequestPrefix = "request:";

std::optional<RequestFingerprint>
RequestOf(const PartSet& aParts)
{
  const bool isRequest =
    aParts.size() == 1 && aParts.front().starts_with(kRequestPrefix);
  return isRequest ? ParseFingerprint(std::string_view{ aParts.front() }.substr(
                       kRequestPrefix.size()))
                   : std::nullopt;
}

} // namespace

PartSet
StoredFormOf(RequestFingerprint aRequest)
{
  return { std::string{ kRequestPrefix } + ToString(aRequest) };
}

std::string
QuarantineName(const PartSet& aParts)
{
  std::string joined;
  for (const std::string& part : aParts) {
    joined += part + ",";
  }
  return "q-" + std::to_string(StableHash(joined));
}

void
QuarantineKeeper::OnChange(const std::string& aName,
                           std::optional<StoredQuarantine> aStored)
{
  if (aStored) {
    mLost.erase(aName);
    mStored[aName] = std::move(*aStored);
  } else {
    mStored.erase(aName);
  }
}

void
QuarantineKeeper::OnStoreRestored()
{
  mLost.insert(mStored.begin(), mStored.end());
}

std::map<std::string, StoredQuarantine>
QuarantineKeeper::All() const
{
  std::map<std::string, StoredQuarantine> all = mStored;
  all.insert(mLost.begin(), mLost.end());
  return all;
}

std::vector<PartSet>
QuarantineKeeper::StoredParts() const
{
  std::vector<PartSet> stored;
  for (const auto& [name, quarantine] : All()) {
    if (!RequestOf(quarantine.mParts)) {
      stored.push_back(quarantine.mParts);
    }
  }
  return stored;
}

std::set<RequestFingerprint>
QuarantineKeeper::StoredRequests() const
{
  std::set<RequestFingerprint> stored;
  for (const auto& [name, quarantine] : All()) {
    const std::optional<RequestFingerprint> request =
      RequestOf(quarantine.mParts);
    if (request) {
      stored.insert(*request);
    }
  }
  return stored;
}

std::optional<QuarantineEdit>
QuarantineKeeper::NextEdit(const std::vector<Quarantine>& aQuarantines,
                           std::int64_t aUnixMs) const
{
  for (const auto& entry : mStored) {
    const StoredQuarantine& stored = entry.second;
    const bool isInForce =
      std::any_of(aQuarantines.begin(),
                  aQuarantines.end(),
                  [&](const Quarantine& aQuarantine) {
                    return aQuarantine.mParts == stored.mParts;
                  });
    if (!isInForce || aUnixMs - stored.mWrittenMs >= kMaxAge.count()) {
      return QuarantineEdit{ std::nullopt, entry.first };
    }
  }
  for (const auto& [name, lost] : mLost) {
    const bool isOld = aUnixMs - lost.mWrittenMs >= kMaxAge.count();
    if (!isOld && mStored.count(name) == 0 && mStored.size() < kMaxStored) {
      return QuarantineEdit{ lost, {} };
    }
  }
  for (const Quarantine& quarantine : aQuarantines) {
    const bool isStored =
      std::any_of(mStored.begin(), mStored.end(), [&](const auto& aEntry) {
        return aEntry.second.mParts == quarantine.mParts;
      });
    if (!isStored && mStored.size() < kMaxStored) {
      return QuarantineEdit{ StoredQuarantine{ quarantine.mParts, aUnixMs },
                             {} };
    }
  }
  return std::nullopt;
}

} // namespace cactusgw
