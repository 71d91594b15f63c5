#ifndef CACTUSGW_GATEWAY_GATEWAY_STATE_HPP
#define CACTUSGW_GATEWAY_GATEWAY_STATE_HPP

/// What all calls of a gateway share.

#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/gateway/cold_gate.hpp"
#include "cactusgw/gateway/decision_log.hpp"
#include "cactusgw/gateway/gateway_metrics.hpp"
#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/gateway/leaving_news.hpp"
#include "cactusgw/gateway/load_table.hpp"
#include "cactusgw/gateway/routing_table.hpp"
#include "cactusgw/gateway/shared_retry_budget.hpp"
#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/gateway/upstream_choice.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"
#include "cactusgw/gateway/upstream_health.hpp"
#include "cactusgw/gateway/upstream_pool.hpp"
#include "cactusgw/gateway/waiting_line.hpp"
#include "cactusgw/telemetry/recorder.hpp"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cactusgw {

class GenerationMigrator;

/// Which upstreams a request or a moved generation may go to.
struct CandidateFilter
{
  /// Regions that are open to it; empty means all.
  std::span<const std::string> mRegions;
  /// Upstreams that it must not go to.
  std::span<const std::string> mExcluded;
  /// Where distances are measured from.
  std::string_view mFromDataCentre;
};

/// Not thread-safe; one instance per process.
class GatewayState
{
public:
  /// Gateways that the shared bounds are divided among as long as fewer are
  /// known: all may start at once, and hear of each other later.
  static constexpr std::uint32_t kMinGateways = 8;

  GatewayState(GatewaySettings aSettings, HeaderNames aNames);

  /// Takes over bounds, regions and stop times.
  void Reload(const GatewaySettings& aSettings);

  /// Upstreams of the service that may get work now.
  std::vector<Candidate> Candidates(const GatewayService& aService,
                                    const CandidateFilter& aFilter,
                                    Instant aNow) const;

  /// This gateway's part of the repeats to a service.
  SharedRetryBudget& RetriesTo(const std::string& aService);

  /// Counts a send, also against the bound of a cold upstream.
  void OnSent(const KnownUpstream& aUpstream, Instant aNow);

  /// Forgets all that was learned about an upstream that is gone.
  void Forget(const std::string& aUpstream);

  Distance DistanceBetween(std::string_view aFrom, std::string_view aTo) const;

  GatewaySettings mSettings;
  HeaderNames mNames;
  /// Null before the first configuration.
  std::shared_ptr<const RoutingTable> mTable;
  UpstreamDirectory mDirectory;
  /// Upstreams that lately turned out to leave; told to the other gateways.
  LeavingNews mLeavingNews;
  /// Whether the store does not tell of changes to upstreams at present.
  bool mIsBlind = false;
  /// Data centres taken back lately, and until when their upstreams count as
  /// cold, whatever their records say.
  std::map<std::string, Instant> mTakenBackUntil;
  LoadTable mLoads;
  UpstreamHealth mHealth;
  ColdGate mColdGate;
  UpstreamPool mPool;
  WaitingLine mLine;
  /// Set by the owner before the first call.
  GenerationMigrator* mMigrator = nullptr;
  StoreFreshness mFreshness;
  std::uint32_t mGateways = kMinGateways;
  GatewayMetrics mMetrics;
  EventRecorder mRecorder;
  DecisionLog mLog;

private:
  bool IsCold(const KnownUpstream& aUpstream, Instant aNow) const;
  std::uint32_t ColdShare(const GatewayService& aService) const;

  std::map<std::string, SharedRetryBudget> mRetryBudgets;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_STATE_HPP
