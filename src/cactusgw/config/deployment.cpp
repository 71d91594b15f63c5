#include "cactusgw/config/deployment.hpp"

#include "cactusgw/config/object_reader.hpp"

#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace cactusgw {

namespace {

constexpr IntegerRange kCountRange{ 1, 100'000 };
constexpr IntegerRange kMillisecondsRange{ 1, 3'600'000 };
constexpr IntegerRange kRetentionRange{ 1000, 7 * 86'400'000LL };
constexpr IntegerRange kBytesRange{ 1024, 64LL * 1024 * 1024 };
constexpr IntegerRange kPercentRange{ 0, 100 };
constexpr IntegerRange kPriorityRange{ 0, 9 };
constexpr IntegerRange kTokensRange{ 1, 1'000'000 };
constexpr std::size_t kSha256HexLength = 64;

constexpr std::array<std::string_view, 2> kServiceKinds{ "model", "plain" };
constexpr std::array<std::string_view, 3> kOverflowScopes{ "none",
                                                           "region",
                                                           "any" };

template<typename Item>
const Item*
FindByName(const std::vector<Item>& aItems, std::string_view aName)
{
  const auto it =
    std::find_if(aItems.begin(), aItems.end(), [&](const Item& aItem) {
      return aItem.mName == aName;
    });
  return it == aItems.end() ? nullptr : &*it;
}

std::uint32_t
Count(ObjectReader& aReader, std::string_view aName, IntegerRange aRange)
{
  return static_cast<std::uint32_t>(aReader.Integer(aName, aRange));
}

std::uint32_t
CountOr(ObjectReader& aReader,
        std::string_view aName,
        IntegerRange aRange,
        std::int64_t aDefault)
{
  return static_cast<std::uint32_t>(aReader.IntegerOr(aName, aRange, aDefault));
}

Milliseconds
TimeOr(ObjectReader& aReader, std::string_view aName, std::int64_t aDefault)
{
  return Milliseconds{ aReader.IntegerOr(aName, kMillisecondsRange, aDefault) };
}

bool
HasRegion(const Deployment& aDeployment, std::string_view aRegion)
{
  return std::any_of(
    aDeployment.mDataCentres.begin(),
    aDeployment.mDataCentres.end(),
    [&](const DataCentreConfig& aIt) { return aIt.mRegion == aRegion; });
}

/// Reads a restriction to regions. The data centres must have been read.
AllowedRegions
ReadRegions(ObjectReader& aReader, const Deployment& aDeployment)
{
  constexpr std::string_view kName = "regions";
  if (!aReader.Has(kName)) {
    return AllowedRegions::Everywhere();
  }
  std::vector<std::string> regions = aReader.StringsOr(kName);
  if (regions.empty()) {
    aReader.Fault(kName, "must name at least one region");
  }
  for (const std::string& region : regions) {
    if (!HasRegion(aDeployment, region)) {
      aReader.Fault(kName, "unknown region \"" + region + "\"");
    }
  }
  return AllowedRegions::Only(std::move(regions));
}

void
ReadDataCentre(std::string_view aName,
               ObjectReader& aReader,
               Deployment& aDeployment)
{
  DataCentreConfig dataCentre;
  dataCentre.mName = aName;
  dataCentre.mRegion = aReader.String("region");
  aReader.ForEach("vms", [&](std::string_view aVm, ObjectReader& aVmReader) {
    VmConfig vm;
    vm.mName = aVm;
    vm.mPeerAddress = aVmReader.Address("peer");
    dataCentre.mVms.push_back(std::move(vm));
  });
  if (dataCentre.mVms.empty()) {
    aReader.Fault("vms", "must name at least one VM");
  }
  aDeployment.mDataCentres.push_back(std::move(dataCentre));
}

void
ReadService(std::string_view aName,
            ObjectReader& aReader,
            Deployment& aDeployment)
{
  ServiceConfig service;
  service.mName = aName;
  service.mKind = aReader.OneOf("kind", kServiceKinds, "model") == "model"
                    ? ServiceKind::Model
                    : ServiceKind::Plain;
  const std::string overflow =
    aReader.OneOf("overflow", kOverflowScopes, "none");
  service.mOverflow = overflow == "none"     ? OverflowScope::None
                      : overflow == "region" ? OverflowScope::Region
                                             : OverflowScope::Any;
  service.mQueueTime = TimeOr(aReader, "queueMs", 900);
  service.mQueueLength = CountOr(aReader, "queueLength", kCountRange, 64);
  service.mRetryPercent = CountOr(aReader, "retryPercent", kPercentRange, 10);
  service.mRetryBurst = CountOr(aReader, "retryBurst", kCountRange, 20);
  // Engines answer at once and then stream; other services answer when done.
  const bool isModel = service.mKind == ServiceKind::Model;
  service.mFirstByteTime =
    TimeOr(aReader, "firstByteMs", isModel ? 5000 : 30'000);
  service.mSilenceTime = TimeOr(aReader, "silenceMs", 5000);
  service.mRegions = ReadRegions(aReader, aDeployment);
  aDeployment.mServices.push_back(std::move(service));
}

void
ReadModel(std::string_view aName,
          ObjectReader& aReader,
          Deployment& aDeployment)
{
  ModelConfig model;
  model.mName = aName;
  model.mService = aReader.String("service");
  model.mMaxOutputTokens =
    CountOr(aReader, "maxOutputTokens", kTokensRange, 32'768);
  aDeployment.mModels.push_back(std::move(model));
}

void
ReadUpstream(std::string_view aName,
             ObjectReader& aReader,
             Deployment& aDeployment)
{
  UpstreamConfig upstream;
  upstream.mName = aName;
  upstream.mDataCentre = aReader.String("dataCentre");
  upstream.mService = aReader.String("service");
  upstream.mAddress = aReader.Address("address");
  upstream.mModels = aReader.StringsOr("models");
  upstream.mLimits.mCold = Count(aReader, "coldLimit", kCountRange);
  upstream.mLimits.mWarm = Count(aReader, "warmLimit", kCountRange);
  upstream.mHonoursFencing = aReader.BoolOr("honoursFencing", false);
  if (upstream.mLimits.mCold > upstream.mLimits.mWarm) {
    aReader.Fault("coldLimit", "must not exceed warmLimit");
  }
  aDeployment.mUpstreams.push_back(std::move(upstream));
}

bool
IsSha256Hex(std::string_view aText)
{
  return aText.size() == kSha256HexLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void
ReadWorkspace(std::string_view aName,
              ObjectReader& aReader,
              Deployment& aDeployment)
{
  WorkspaceConfig workspace;
  workspace.mName = aName;
  workspace.mKeyHashes = aReader.StringsOr("keySha256");
  workspace.mWeight = CountOr(aReader, "weight", kCountRange, 1);
  workspace.mPriority = CountOr(aReader, "priority", kPriorityRange, 5);
  workspace.mMaxInFlight = CountOr(aReader, "maxInFlight", kCountRange, 256);
  for (const std::string& hash : workspace.mKeyHashes) {
    if (!IsSha256Hex(hash)) {
      aReader.Fault("keySha256", "must hold SHA-256 in lower-case hexadecimal");
    }
  }
  if (workspace.mKeyHashes.empty()) {
    aReader.Fault("keySha256", "must hold at least one key");
  }
  workspace.mRegions = ReadRegions(aReader, aDeployment);
  aDeployment.mWorkspaces.push_back(std::move(workspace));
}

void
ReadLimits(ObjectReader& aReader, LimitsConfig& aLimits)
{
  aLimits.mMaxHeaderBytes =
    CountOr(aReader, "maxHeaderBytes", kBytesRange, 16LL * 1024);
  aLimits.mMaxBodyBytes =
    CountOr(aReader, "maxBodyBytes", kBytesRange, 1024LL * 1024);
  aLimits.mReadHeaderTime = TimeOr(aReader, "readHeaderMs", 10'000);
  aLimits.mReadBodyTime = TimeOr(aReader, "readBodyMs", 20'000);
  aLimits.mCallerStallTime = TimeOr(aReader, "callerStallMs", 30'000);
  aLimits.mMaxRequestTime = TimeOr(aReader, "maxRequestMs", 600'000);
  aLimits.mConnectTime = TimeOr(aReader, "connectMs", 1000);
  aLimits.mTokenGapTarget = TimeOr(aReader, "tokenGapTargetMs", 29);
  aLimits.mKeyRetention = Milliseconds{ aReader.IntegerOr(
    "keyRetentionMs", kRetentionRange, 86'400'000) };
}

/// Checks of references between the parts of a deployment.
class ReferenceCheck
{
public:
  ReferenceCheck(const Deployment& aDeployment, FaultSink& aSink)
    : mDeployment(aDeployment)
    , mSink(aSink)
  {
  }

  void Run()
  {
    CheckModels();
    CheckUpstreams();
    CheckKeys();
    CheckVms();
  }

private:
  void Add(std::string aPath, std::string aReason)
  {
    mSink.mFaults.push_back(
      { mSink.mFile, std::move(aPath), std::move(aReason) });
  }

  void CheckModels()
  {
    for (const ModelConfig& model : mDeployment.mModels) {
      const std::string path = "/models/" + model.mName + "/service";
      const ServiceConfig* service = mDeployment.FindService(model.mService);
      if (service == nullptr) {
        Add(path, "unknown service \"" + model.mService + "\"");
      } else if (service->mKind != ServiceKind::Model) {
        Add(path, "is not a service of kind \"model\"");
      }
    }
  }

  void CheckUpstreams()
  {
    std::set<std::string> addresses;
    for (const UpstreamConfig& upstream : mDeployment.mUpstreams) {
      const std::string path = "/upstreams/" + upstream.mName;
      if (mDeployment.FindDataCentre(upstream.mDataCentre) == nullptr) {
        Add(path + "/dataCentre",
            "unknown data centre \"" + upstream.mDataCentre + "\"");
      }
      if (!addresses.insert(upstream.mAddress).second) {
        Add(path + "/address", "is the address of another upstream too");
      }
      CheckUpstreamService(path, upstream);
    }
  }

  void CheckUpstreamService(const std::string& aPath,
                            const UpstreamConfig& aUpstream)
  {
    const ServiceConfig* service = mDeployment.FindService(aUpstream.mService);
    if (service == nullptr) {
      Add(aPath + "/service", "unknown service \"" + aUpstream.mService + "\"");
      return;
    }
    if (service->mKind == ServiceKind::Model && aUpstream.mModels.empty()) {
      Add(aPath + "/models", "must name at least one model");
    }
    for (const std::string& name : aUpstream.mModels) {
      const ModelConfig* model = mDeployment.FindModel(name);
      if (model == nullptr) {
        Add(aPath + "/models", "unknown model \"" + name + "\"");
      } else if (model->mService != aUpstream.mService) {
        Add(aPath + "/models",
            "model \"" + name + "\" belongs to another service");
      }
    }
  }

  void CheckKeys()
  {
    std::set<std::string> hashes;
    for (const WorkspaceConfig& workspace : mDeployment.mWorkspaces) {
      for (const std::string& hash : workspace.mKeyHashes) {
        if (!hashes.insert(hash).second) {
          Add("/workspaces/" + workspace.mName + "/keySha256",
              "holds a key that appears twice");
        }
      }
    }
  }

  void CheckVms()
  {
    std::set<std::string> names;
    for (const DataCentreConfig& dataCentre : mDeployment.mDataCentres) {
      for (const VmConfig& vm : dataCentre.mVms) {
        if (!names.insert(vm.mName).second) {
          Add("/dataCentres/" + dataCentre.mName + "/vms/" + vm.mName,
              "is the name of another VM too");
        }
      }
    }
  }

  const Deployment& mDeployment;
  FaultSink& mSink;
};

} // namespace

const DataCentreConfig*
Deployment::FindDataCentre(std::string_view aName) const
{
  return FindByName(mDataCentres, aName);
}

const ServiceConfig*
Deployment::FindService(std::string_view aName) const
{
  return FindByName(mServices, aName);
}

const ModelConfig*
Deployment::FindModel(std::string_view aName) const
{
  return FindByName(mModels, aName);
}

const UpstreamConfig*
Deployment::FindUpstream(std::string_view aName) const
{
  return FindByName(mUpstreams, aName);
}

const WorkspaceConfig*
Deployment::FindWorkspace(std::string_view aName) const
{
  return FindByName(mWorkspaces, aName);
}

const WorkspaceConfig*
Deployment::FindByKeyHash(std::string_view aHash) const
{
  const auto it = std::find_if(
    mWorkspaces.begin(),
    mWorkspaces.end(),
    [&](const WorkspaceConfig& aWorkspace) {
      const std::vector<std::string>& hashes = aWorkspace.mKeyHashes;
      return std::find(hashes.begin(), hashes.end(), aHash) != hashes.end();
    });
  return it == mWorkspaces.end() ? nullptr : &*it;
}

Deployment
ReadDeployment(const boost::json::value& aDocument,
               std::string_view aFile,
               ConfigFaults& aFaults)
{
  FaultSink sink{ std::string{ aFile }, aFaults };
  ObjectReader reader{ aDocument, "", sink };
  Deployment deployment;
  reader.ForEach("dataCentres",
                 [&](std::string_view aName, ObjectReader& aPart) {
                   ReadDataCentre(aName, aPart, deployment);
                 });
  reader.ForEach("services", [&](std::string_view aName, ObjectReader& aPart) {
    ReadService(aName, aPart, deployment);
  });
  reader.ForEach("models", [&](std::string_view aName, ObjectReader& aPart) {
    ReadModel(aName, aPart, deployment);
  });
  reader.ForEach("upstreams", [&](std::string_view aName, ObjectReader& aPart) {
    ReadUpstream(aName, aPart, deployment);
  });
  reader.ForEach("workspaces",
                 [&](std::string_view aName, ObjectReader& aPart) {
                   ReadWorkspace(aName, aPart, deployment);
                 });
  const boost::json::value none(boost::json::object_kind);
  ObjectReader defaults{ none, "/limits", sink };
  ReadLimits(defaults, deployment.mLimits);
  reader.ObjectOr("limits", [&](ObjectReader& aLimits) {
    ReadLimits(aLimits, deployment.mLimits);
  });
  reader.Finish();
  ReferenceCheck{ deployment, sink }.Run();
  return deployment;
}

} // namespace cactusgw
