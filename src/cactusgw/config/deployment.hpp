#ifndef CACTUSGW_CONFIG_DEPLOYMENT_HPP
#define CACTUSGW_CONFIG_DEPLOYMENT_HPP

/// The deployment as one data centre sees it: its overlay applied to the base.

#include "cactusgw/config/fault.hpp"
#include "cactusgw/core/allowed_regions.hpp"
#include "cactusgw/core/verdict.hpp"
#include "cactusgw/core/warmup_limit.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

struct VmConfig
{
  std::string mName;
  /// Where the VM's agent listens for other agents.
  std::string mPeerAddress;
};

struct DataCentreConfig
{
  std::string mName;
  std::string mRegion;
  std::vector<VmConfig> mVms;
};

enum class ServiceKind
{
  /// Generations, streamed token by token.
  Model,
  /// Any other HTTP service.
  Plain,
};

/// Where requests may go when their own data centre can't take them.
enum class OverflowScope
{
  None,
  Region,
  Any,
};

struct ServiceConfig
{
  std::string mName;
  ServiceKind mKind = ServiceKind::Model;
  OverflowScope mOverflow = OverflowScope::None;
  /// Longest wait for admission before the request is refused.
  Milliseconds mQueueTime{ 0 };
  /// Requests a VM keeps waiting at most.
  std::uint32_t mQueueLength = 0;
  /// Retries per hundred first tries.
  std::uint32_t mRetryPercent = 0;
  std::uint32_t mRetryBurst = 0;
  /// Longest wait for the first token or answer.
  Milliseconds mFirstByteTime{ 0 };
  /// Longest silence within a stream.
  Milliseconds mSilenceTime{ 0 };
  /// Regions in which requests to the service may be served.
  AllowedRegions mRegions = AllowedRegions::Everywhere();
};

struct ModelConfig
{
  std::string mName;
  std::string mService;
  std::uint32_t mMaxOutputTokens = 0;
};

struct UpstreamConfig
{
  std::string mName;
  std::string mDataCentre;
  std::string mService;
  std::string mAddress;
  std::vector<std::string> mModels;
  LimitBounds mLimits;
  /// Whether the upstream refuses orders with an old fencing number.
  bool mHonoursFencing = false;
};

struct WorkspaceConfig
{
  std::string mName;
  /// Lower-case hexadecimal SHA-256 of each accepted key.
  std::vector<std::string> mKeyHashes;
  std::uint32_t mWeight = 1;
  /// Higher goes first at the upstream.
  std::uint32_t mPriority = 0;
  /// Requests in flight per entry VM.
  std::uint32_t mMaxInFlight = 0;
  /// Regions in which requests of the workspace may be served.
  AllowedRegions mRegions = AllowedRegions::Everywhere();
};

struct LimitsConfig
{
  std::uint32_t mMaxHeaderBytes = 0;
  std::uint32_t mMaxBodyBytes = 0;
  Milliseconds mReadHeaderTime{ 0 };
  Milliseconds mReadBodyTime{ 0 };
  /// Longest time a caller may leave its answer unread.
  Milliseconds mCallerStallTime{ 0 };
  Milliseconds mMaxRequestTime{ 0 };
  Milliseconds mConnectTime{ 0 };
  /// Target between two tokens; slower work holds back warm-up.
  Milliseconds mTokenGapTarget{ 0 };
  /// How long a finished idempotency key is remembered.
  Milliseconds mKeyRetention{ 0 };
};

struct Deployment
{
  std::vector<DataCentreConfig> mDataCentres;
  std::vector<ServiceConfig> mServices;
  std::vector<ModelConfig> mModels;
  std::vector<UpstreamConfig> mUpstreams;
  std::vector<WorkspaceConfig> mWorkspaces;
  LimitsConfig mLimits;

  const DataCentreConfig* FindDataCentre(std::string_view aName) const;
  const ServiceConfig* FindService(std::string_view aName) const;
  const ModelConfig* FindModel(std::string_view aName) const;
  const UpstreamConfig* FindUpstream(std::string_view aName) const;
  const WorkspaceConfig* FindWorkspace(std::string_view aName) const;
  /// The workspace that accepts a key with this SHA-256, or null.
  const WorkspaceConfig* FindByKeyHash(std::string_view aHash) const;
};

/// Reads a merged document and appends every fault found.
/// @param aFile the name faults are reported under
Deployment ReadDeployment(const boost::json::value& aDocument,
                          std::string_view aFile,
                          ConfigFaults& aFaults);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_DEPLOYMENT_HPP
