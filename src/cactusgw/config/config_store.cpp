#include "cactusgw/config/config_store.hpp"

#include "cactusgw/config/layering.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace json = boost::json;

ConfigStore
ConfigStore::Create(std::string aDataCentre)
{
  return ConfigStore{ std::move(aDataCentre) };
}

ConfigStore::ConfigStore(std::string aDataCentre)
  : mDataCentre(std::move(aDataCentre))
{
}

ApplyOutcome
ConfigStore::Apply(const ConfigUpdate& aUpdate)
{
  if (aUpdate.mRevision <= mRevision) {
    return ApplyOutcome::NotNewer;
  }
  json::error_code ec;
  json::value document = json::parse(aUpdate.mDocument, ec);
  if (ec) {
    return ApplyOutcome::Refused;
  }
  if (aUpdate.mFromRevision == 0) {
    const ApplyOutcome outcome =
      Install(std::move(document), aUpdate.mRevision, aUpdate.mDigest);
    if (outcome == ApplyOutcome::Applied) {
      mHistory.clear();
    }
    return outcome;
  }
  if (aUpdate.mFromRevision != mRevision) {
    return ApplyOutcome::NeedsWhole;
  }
  const std::uint64_t former = mRevision;
  const ApplyOutcome outcome = Install(
    ApplyPatch(mDocument, document), aUpdate.mRevision, aUpdate.mDigest);
  const bool isStep = aUpdate.mRevision == former + 1;
  if (outcome == ApplyOutcome::Applied && isStep) {
    mHistory.push_back(
      { aUpdate.mRevision, aUpdate.mDigest, std::move(document) });
  } else if (outcome == ApplyOutcome::Applied) {
    mHistory.clear();
  }
  if (mHistory.size() > kMaxHistory) {
    mHistory.pop_front();
  }
  return outcome;
}

ApplyOutcome
ConfigStore::ApplyHead(const ConfigHead& aHead)
{
  if (aHead.mRevision <= mRevision) {
    return ApplyOutcome::NotNewer;
  }
  for (const ConfigPatch& patch : aHead.mPatches) {
    if (patch.mRevision != mRevision + 1 || mRevision == 0) {
      continue;
    }
    const ApplyOutcome outcome = Apply({ mRevision,
                                         patch.mRevision,
                                         patch.mDigest,
                                         json::serialize(patch.mPatch) });
    if (outcome != ApplyOutcome::Applied) {
      return outcome;
    }
  }
  return mRevision == aHead.mRevision ? ApplyOutcome::Applied
                                      : ApplyOutcome::NeedsWhole;
}

ConfigUpdate
ConfigStore::UpdateFrom(std::uint64_t aRevision) const
{
  ConfigUpdate update;
  update.mRevision = mRevision;
  update.mDigest = mDigest;
  const bool isKept = aRevision != 0 && aRevision < mRevision &&
                      !mHistory.empty() &&
                      mHistory.front().mRevision <= aRevision + 1;
  if (!isKept) {
    update.mDocument = json::serialize(mDocument);
    return update;
  }
  // Several steps go out one by one: patches don't compose by merging, since
  // a removal must survive.
  const auto it = std::find_if(
    mHistory.begin(), mHistory.end(), [&](const ConfigPatch& aPatch) {
      return aPatch.mRevision == aRevision + 1;
    });
  update.mFromRevision = aRevision;
  update.mRevision = it->mRevision;
  update.mDigest = it->mDigest;
  update.mDocument = json::serialize(it->mPatch);
  return update;
}

ApplyOutcome
ConfigStore::Install(json::value aDocument,
                     std::uint64_t aRevision,
                     std::uint64_t aDigest)
{
  if (DigestOf(aDocument) != aDigest) {
    return ApplyOutcome::Refused;
  }
  ConfigFaults faults;
  Deployment deployment =
    ReadDeployment(EffectiveDocument(aDocument, mDataCentre), "", faults);
  if (!faults.empty()) {
    return ApplyOutcome::Refused;
  }
  mDocument = std::move(aDocument);
  mDeployment = std::move(deployment);
  mRevision = aRevision;
  mDigest = aDigest;
  return ApplyOutcome::Applied;
}

} // namespace cactusgw
