#include "cactusgw/agent/agent_report.hpp"

#include "cactusgw/agent/agent_state.hpp"
#include "cactusgw/agent/peer_port.hpp"
#include "cactusgw/platform/http_platform_client.hpp"
#include "cactusgw/telemetry/metrics.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cactusgw {

namespace json = boost::json;

namespace {

std::string
Label(std::string_view aName, std::string_view aValue)
{
  return std::string{ aName } + "=\"" + std::string{ aValue } + "\"";
}

void
AddTraffic(const std::map<std::string, TrafficCount>& aTraffic,
           std::string_view aDirection,
           MetricRegistry& aRegistry)
{
  for (const auto& [kind, count] : aTraffic) {
    const std::string labels =
      Label("direction", aDirection) + "," + Label("kind", kind);
    aRegistry
      .AddCounter(
        { "cactusgw_peer_messages_total", "Messages between agents.", labels })
      .Add(count.mMessages);
  }
  for (const auto& [kind, count] : aTraffic) {
    const std::string labels =
      Label("direction", aDirection) + "," + Label("kind", kind);
    aRegistry
      .AddCounter({ "cactusgw_peer_bytes_total",
                    "Bytes of messages between agents.",
                    labels })
      .Add(count.mBytes);
  }
}

void
AddPlatformCalls(const PlatformCallCounts& aCalls, MetricRegistry& aRegistry)
{
  const auto add = [&](std::string_view aKind, std::uint64_t aCount) {
    aRegistry
      .AddCounter({ "cactusgw_platform_calls_total",
                    "Calls of the platform's object API.",
                    Label("kind", aKind) })
      .Add(aCount);
  };
  add("read", aCalls.mReads);
  add("write", aCalls.mWrites);
  add("watch", aCalls.mWatches);
}

void
AddAdmission(const AdmissionCounts& aCounts, MetricRegistry& aRegistry)
{
  const auto add = [&](std::string_view aOutcome, std::uint64_t aCount) {
    aRegistry
      .AddCounter({ "cactusgw_admission_total",
                    "Requests by outcome of admission.",
                    Label("outcome", aOutcome) })
      .Add(aCount);
  };
  add("granted", aCounts.mGranted);
  add("queued", aCounts.mQueued);
  add("expired", aCounts.mExpired);
  add("refused", aCounts.mRefused);
  add("retry-refused", aCounts.mRetriesRefused);
}

void
AddOwned(const AgentState& aState, Instant aNow, MetricRegistry& aRegistry)
{
  for (const auto& [name, owner] : aState.Owned()) {
    const std::string label = Label("upstream", name);
    aRegistry
      .AddGauge(
        { "cactusgw_upstream_limit", "Requests allowed at once.", label })
      .Set(owner.Limit());
    aRegistry
      .AddGauge({ "cactusgw_upstream_reserved",
                  "Requests that may be in flight.",
                  label })
      .Set(owner.Ledger().Reserved(aNow));
  }
}

std::string_view
SourceText(CreditSource aSource)
{
  switch (aSource) {
    case CreditSource::Grant:
      return "grant";
    case CreditSource::StaticShare:
      return "static-share";
    case CreditSource::None:
      return "none";
  }
  return "none";
}

/// Where the VM's credits for an upstream come from.
std::string
SourceOf(const AgentState& aState, std::string_view aUpstream, Instant aNow)
{
  if (!aState.mAdmission.Uses(aUpstream)) {
    return "unused";
  }
  return std::string{ SourceText(aState.mAdmission.Source(aUpstream, aNow)) };
}

json::array
UpstreamsJson(const AgentState& aState, Instant aNow)
{
  json::array upstreams;
  for (const UpstreamConfig& config : aState.mConfig.Current().mUpstreams) {
    json::object item{ { "name", config.mName },
                       { "dataCentre", config.mDataCentre },
                       { "inUse", aState.mAdmission.InUse(config.mName) },
                       { "cap", aState.mAdmission.Cap(config.mName, aNow) },
                       { "source", SourceOf(aState, config.mName, aNow) } };
    const OwnerAssignment* owner = FindOwner(aState.mOwnership, config.mName);
    if (owner != nullptr) {
      item["owner"] = owner->mOwner.mVm;
      item["epoch"] = owner->mEpoch;
    }
    const auto it = aState.Owned().find(config.mName);
    if (it != aState.Owned().end()) {
      item["limit"] = it->second.Limit();
      item["reserved"] = it->second.Ledger().Reserved(aNow);
      item["running"] = it->second.Ledger().InUse();
      item["state"] = it->second.IsDown()   ? "down"
                      : it->second.IsWarm() ? "warm"
                                            : "cold";
    }
    upstreams.push_back(std::move(item));
  }
  return upstreams;
}

} // namespace

std::string
WriteAgentMetrics(const AgentState& aState,
                  const PeerPort& aPeers,
                  const PlatformCallCounts& aCalls,
                  Instant aNow)
{

  MetricRegistry registry;
  AddTraffic(aPeers.Traffic().mSent, "out", registry);
  AddTraffic(aPeers.Traffic().mReceived, "in", registry);
  AddPlatformCalls(aCalls, registry);
  AddAdmission(aState.mAdmission.Counts(), registry);
  AddOwned(aState, aNow, registry);
  registry
    .AddCounter({ "cactusgw_messages_refused_total",
                  "Messages that were malformed or of a foreign version.",
                  "" })
    .Add(aPeers.RefusedMessages());
  registry
    .AddGauge({ "cactusgw_config_revision", "Configuration in force.", "" })
    .Set(static_cast<double>(aState.mConfig.Revision()));
  registry
    .AddGauge({ "cactusgw_lease_held", "1 while this VM holds the lease.", "" })
    .Set(aState.HoldsLease(aNow) ? 1 : 0);
  registry.AddGauge({ "cactusgw_admission_queue", "Requests waiting.", "" })
    .Set(static_cast<double>(aState.mAdmission.QueueLength()));
  return registry.Write();
}

std::string
WriteAgentStatus(const AgentState& aState, Instant aNow)
{

  json::array drains;
  for (const DrainState& drain : aState.mDrains.States()) {
    drains.push_back(json::object{ { "dataCentre", drain.mDataCentre },
                                   { "version", drain.mVersion },
                                   { "drained", drain.mDrained } });
  }
  const json::object status{ { "vm", aState.Vm() },
                             { "dataCentre", aState.DataCentre() },
                             { "configRevision", aState.mConfig.Revision() },
                             { "ownershipVersion", aState.mOwnership.mVersion },
                             { "leaseHolder", aState.mLeaseHolder },
                             { "leaseFence", aState.mLeaseFence },
                             { "holdsLease", aState.HoldsLease(aNow) },
                             { "leaseExtended",
                               aState.mLease.IsExtended(aNow) },
                             { "actsAsOwner", aState.MayActAsOwner(aNow) },
                             { "platformReachable", aState.mPlatformReachable },
                             { "queue", aState.mAdmission.QueueLength() },
                             { "drains", std::move(drains) },
                             { "upstreams", UpstreamsJson(aState, aNow) } };
  return json::serialize(status);
}

} // namespace cactusgw
