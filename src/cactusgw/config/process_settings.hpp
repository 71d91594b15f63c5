#ifndef CACTUSGW_CONFIG_PROCESS_SETTINGS_HPP
#define CACTUSGW_CONFIG_PROCESS_SETTINGS_HPP

/// Settings of one process, read from the file given by `--settings`.

#include "cactusgw/config/fault.hpp"
#include "cactusgw/core/credit_messages.hpp"
#include "cactusgw/core/lease_keeper.hpp"
#include "cactusgw/core/verdict.hpp"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Settings, or every fault found in them.
template<typename T>
using SettingsResult = boost::outcome_v2::
  basic_result<T, ConfigFaults, boost::outcome_v2::policy::terminate>;

struct LogSettings
{
  /// One of "debug", "info", "warn", "error".
  std::string mLevel = "info";
  /// "stdout", "stderr" or the path of a file.
  std::string mOutput = "stderr";
};

/// The port that operators and their tools use.
struct OperatorSettings
{
  std::string mListen;
  /// Bearer token for everything but the health checks.
  std::string mToken;
};

/// Where a process runs.
struct PlaceSettings
{
  std::string mVm;
  std::string mDataCentre;
};

struct EntrySettings
{
  PlaceSettings mPlace;
  std::string mListen;
  /// The agent of the same VM.
  std::string mAgent;
  OperatorSettings mOperator;
  /// Memory that this process may use, in units of 2^20 bytes.
  double mMemoryMb = 100;
  LogSettings mLog;
  /// How long a stopping entry still accepts, while it is unready.
  Milliseconds mUnreadyTime{ 0 };
  /// Longest time a graceful stop waits for requests in flight.
  Milliseconds mStopTime{ 0 };
};

/// Region of each data centre.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// Bounds that a gateway keeps together with all others.
struct GatewayBounds
{
  /// Age of the configuration up to which keys are accepted; zero: any age.
  Milliseconds mKeyFreshness{ 0 };
  /// Age of the configuration up to which its restrictions to regions are
  /// trusted; zero: any age.
  Milliseconds mHomeFreshness{ 0 };
  /// Repeats allowed per first send, and the repeats allowed beyond that in
  /// one window, by all gateways together.
  double mRetryRatio = 0;
  double mRetryExtra = 0;
  Milliseconds mRetryWindow{ 10'000 };
  /// What a cold upstream bears beyond its declared rate: a factor and a
  /// number of requests a second, for all gateways together.
  double mColdFactor = 1;
  double mColdExtra = 0;
  /// Share of a service's requests that a bad version may get during its
  /// roll-out, and the requests that it may get beyond that. Without a share,
  /// roll-outs are not handled.
  double mExposureShare = 0;
  double mExposureExtra = 0;
};

/// Name of the feature that shares failures of upstreams between gateways.
inline constexpr std::string_view kSharedHealthFeature = "health";

struct GatewaySettings
{
  PlaceSettings mPlace;
  RegionMap mRegions;
  std::string mListen;
  /// Where the balancer asks whether this VM is ready.
  std::string mReadyListen;
  std::string mMetricsListen;
  /// Where the other gateways send what they know.
  std::string mPeerListen;
  /// Where other gateways ask for tunnels to upstreams that they can't reach;
  /// empty if this gateway carries none.
  std::string mTunnelListen;
  std::string mPlatform;
  /// What this VM can carry against others: its part of a processor.
  double mCapacity = 1;
  /// Bandwidth of this VM's link.
  double mLinkMbps = 1000;
  /// Memory that this process may use, in units of 2^20 bytes.
  double mMemoryMb = 100;
  GatewayBounds mBounds;
  /// What the deployment asks for beyond the basic service. Unknown names are
  /// ignored.
  std::set<std::string, std::less<>> mFeatures;
  LogSettings mLog;
  /// How long a stopping gateway still accepts, while it is unready.
  Milliseconds mUnreadyTime{ 0 };
  /// Longest time a graceful stop takes in all.
  Milliseconds mStopTime{ 0 };
};

struct AgentSettings
{
  PlaceSettings mPlace;
  std::string mPlatform;
  std::string mEntryListen;
  std::string mPeerListen;
  /// Peers to ask for the configuration while the platform is out.
  std::vector<std::string> mSeeds;
  OperatorSettings mOperator;
  LogSettings mLog;
  CreditTimes mCreditTimes;
  LeaseSettings mLease;
  Milliseconds mHeartbeatEvery{ 0 };
  /// How long an owner may act on one heartbeat reply.
  Milliseconds mOwnershipValidity{ 0 };
};

/// Settings of operators' tools.
struct ToolSettings
{
  std::string mPlatform;
  /// Operator ports of agents and entries.
  std::vector<std::string> mOperators;
  std::string mToken;
};

SettingsResult<EntrySettings> ReadEntrySettings(std::string_view aText,
                                                std::string_view aFile);

SettingsResult<GatewaySettings> ReadGatewaySettings(std::string_view aText,
                                                    std::string_view aFile);

SettingsResult<AgentSettings> ReadAgentSettings(std::string_view aText,
                                                std::string_view aFile);

SettingsResult<ToolSettings> ReadToolSettings(std::string_view aText,
                                              std::string_view aFile);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_PROCESS_SETTINGS_HPP
