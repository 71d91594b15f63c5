#include "cactusgw/config/config_store.hpp"
#include "cactusgw/config/deployment.hpp"
#include "cactusgw/config/layering.hpp"
#include "cactusgw/core/admission_control.hpp"
#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/credit_ledger.hpp"
#include "cactusgw/core/limit_pacer.hpp"
#include "cactusgw/core/ownership.hpp"
#include "cactusgw/core/stream_assembler.hpp"
#include "cactusgw/gateway/send_gate.hpp"

#include <benchmark/benchmark.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <string>
#include <vector>

// Cost of the core's decisions against the size of what they look at.

namespace {

using namespace cactusgw;
namespace json = boost::json;

/// A deployment of one data centre of interest among five.
json::object
MakeBase(std::int64_t aUpstreams, std::int64_t aWorkspaces, std::int64_t aVms)
{
  json::object dataCentres;
  for (int dc = 0; dc < 5; ++dc) {
    json::object vms;
    for (std::int64_t i = 0; i < aVms / 5 + 1; ++i) {
      vms["vm-" + std::to_string(dc) + "-" + std::to_string(i)] =
        json::object{ { "peer", "10.0.0.1:" + std::to_string(1000 + i) } };
    }
    dataCentres["dc-" + std::to_string(dc)] =
      json::object{ { "region", dc < 3 ? "r1" : "r2" },
                    { "vms", std::move(vms) } };
  }
  json::object upstreams;
  for (std::int64_t i = 0; i < aUpstreams; ++i) {
    upstreams["engine-" + std::to_string(i)] =
      json::object{ { "dataCentre", "dc-" + std::to_string(i % 5) },
                    { "service", "s" },
                    { "address", "10.1.0.1:" + std::to_string(1000 + i) },
                    { "models", json::array{ "m" } },
                    { "coldLimit", 4 },
                    { "warmLimit", 32 } };
  }
  json::object workspaces;
  for (std::int64_t i = 0; i < aWorkspaces; ++i) {
    std::string key = std::to_string(i);
    key.insert(0, 64 - key.size(), '0');
    workspaces["workspace-" + std::to_string(i)] =
      json::object{ { "keySha256", json::array{ key } } };
  }
  return { { "dataCentres", std::move(dataCentres) },
           { "services", json::object{ { "s", json::object{} } } },
           { "models",
             json::object{ { "m", json::object{ { "service", "s" } } } } },
           { "upstreams", std::move(upstreams) },
           { "workspaces", std::move(workspaces) } };
}

void
AdmitAndRelease(benchmark::State& aState)
{
  ConfigFaults faults;
  const Deployment deployment = ReadDeployment(
    MakeBase(aState.range(0), aState.range(1), 390), "bench", faults);
  Instant now = Instant{} + std::chrono::hours{ 1 };
  AdmissionControl admission =
    AdmissionControl::Create("vm-0-0", "dc-0", 1, now, {});
  admission.SetDeployment(deployment, now);
  admission.Reconcile({}, true, now);
  now += std::chrono::seconds{ 10 };
  // An owner grants one credit on each upstream of the data centre.
  for (const OutgoingReport& report : admission.DueReports(
         [](std::string_view) { return std::uint64_t{ 1 }; }, now)) {
    CreditGrant grant;
    grant.mEpoch = 1;
    grant.mGrantSequence = 1;
    grant.mAnswersReport = report.mReport.mReportSequence;
    grant.mAllotment = 8;
    admission.OnGrant(report.mUpstream, grant, now);
  }
  std::uint64_t i = 0;
  for (auto _ : aState) {
    AdmissionRequest ask;
    ask.mService = "s";
    ask.mModel = "m";
    ask.mWorkspace = "workspace-1";
    ask.mPrefixHash = ++i;
    const AdmissionControl::Decisions decisions =
      admission.Admit(std::move(ask), now);
    admission.OnRelease({ decisions[0].mPermit, true, false, false }, now);
  }
}
BENCHMARK(AdmitAndRelease)
  ->ArgNames({ "upstreams", "workspaces" })
  ->Args({ 10, 10 })
  ->Args({ 100, 10 })
  ->Args({ 700, 10 })
  ->Args({ 700, 1300 });

void
LedgerReport(benchmark::State& aState)
{
  std::vector<CreditHolder> holders;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    holders.push_back({ "vm-" + std::to_string(i), i < 4 ? 1U : 0U });
  }
  const Instant now = Instant{} + std::chrono::hours{ 1 };
  CreditLedger ledger = CreditLedger::Create(holders, 1, now, {});
  CreditReport report;
  report.mEpoch = 1;
  for (auto _ : aState) {
    ++report.mReportSequence;
    benchmark::DoNotOptimize(ledger.OnReport("vm-0", report, 32, now));
  }
}
BENCHMARK(LedgerReport)->ArgName("vms")->Arg(8)->Arg(78)->Arg(390);

void
PlanOwners(benchmark::State& aState)
{
  std::vector<std::string> upstreams;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    upstreams.push_back("engine-" + std::to_string(i));
  }
  OwnerCandidates candidates;
  for (int i = 0; i < 78; ++i) {
    candidates.mAlive.push_back({ "vm-" + std::to_string(i), 1 });
  }
  candidates.mKeep = candidates.mAlive;
  OwnershipPlan plan;
  for (auto _ : aState) {
    plan = PlanOwnership(plan, upstreams, candidates);
    benchmark::DoNotOptimize(plan);
  }
}
BENCHMARK(PlanOwners)->ArgName("upstreams")->Arg(12)->Arg(140);

void
ApplyConfigPatch(benchmark::State& aState)
{
  json::object base =
    MakeBase(aState.range(0), aState.range(1), aState.range(2));
  json::value document = json::object{ { "base", base } };
  ConfigStore store = ConfigStore::Create("dc-0");
  store.Apply({ 0, 1, DigestOf(document), json::serialize(document) });
  aState.counters["document_bytes"] =
    static_cast<double>(json::serialize(document).size());
  std::int64_t i = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    json::value next = document;
    next.at("base").at("services").at("s").get_object()["queueMs"] =
      1 + ++i % 1000;
    const json::value patch = MakePatch(document, next);
    const ConfigUpdate update{ store.Revision(),
                               store.Revision() + 1,
                               DigestOf(next),
                               json::serialize(patch) };
    aState.counters["patch_bytes"] =
      static_cast<double>(update.mDocument.size());
    aState.ResumeTiming();
    const ApplyOutcome outcome = store.Apply(update);
    aState.PauseTiming();
    if (outcome != ApplyOutcome::Applied) {
      aState.SkipWithError("the patch was not applied");
    }
    document = std::move(next);
    aState.ResumeTiming();
  }
}
BENCHMARK(ApplyConfigPatch)
  ->ArgNames({ "upstreams", "workspaces", "vms" })
  ->Args({ 12, 10, 8 })
  ->Args({ 700, 1300, 390 })
  ->Unit(benchmark::kMicrosecond);

void
AssembleToken(benchmark::State& aState)
{
  StreamAssembler assembler = StreamAssembler::Create();
  std::uint64_t offset = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      assembler.Accept({ "generation", offset++, "token", false }));
  }
}
BENCHMARK(AssembleToken);

/// Crashes with two suspects each, of which one always has the same part.
CrashEvidence
MakeEvidence(std::int64_t aCrashes, Instant aNow)
{
  CrashEvidence evidence = CrashEvidence::Create();
  for (std::int64_t i = 0; i < aCrashes; ++i) {
    const std::string id = std::to_string(i);
    const Instant at = aNow - std::chrono::seconds{ aCrashes - i };
    evidence.OnCrash({ "u" + id, 1 }, PartSet{ "deadly", "a" + id }, at);
    evidence.OnCrash({ "u" + id, 1 }, PartSet{ "b" + id, "c" + id }, at);
  }
  return evidence;
}

void
UpdateEvidence(benchmark::State& aState)
{
  const Instant now = Instant{} + std::chrono::hours{ 1 };
  CrashEvidence evidence = MakeEvidence(aState.range(0), now);
  for (auto _ : aState) {
    evidence.SetStored({}); // Makes the next update evaluate all evidence.
    benchmark::DoNotOptimize(evidence.Update(now));
  }
}
BENCHMARK(UpdateEvidence)
  ->ArgName("crashes")
  ->Arg(4)
  ->Arg(16)
  ->Arg(CrashEvidence::kMaxCrashes)
  ->Unit(benchmark::kMicrosecond);

void
FindQuarantine(benchmark::State& aState)
{
  const Instant now = Instant{} + std::chrono::hours{ 1 };
  CrashEvidence evidence = MakeEvidence(4, now);
  evidence.Update(now);
  const PartSet parts{ "first", "second" };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(evidence.Find(parts));
  }
}
BENCHMARK(FindQuarantine);

void
PaceLimits(benchmark::State& aState)
{
  LimitPacer pacer = LimitPacer::Create();
  Instant now = Instant{} + std::chrono::hours{ 1 };
  std::vector<std::string> upstreams;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    upstreams.push_back("upstream-" + std::to_string(i));
  }
  for (auto _ : aState) {
    now += Milliseconds{ 25 };
    for (const std::string& upstream : upstreams) {
      pacer.Refill(upstream, { 2.5, 390, 7, 3 }, now);
    }
  }
}
BENCHMARK(PaceLimits)
  ->ArgName("upstreams")
  ->Arg(12)
  ->Arg(57)
  ->Arg(700)
  ->Unit(benchmark::kMicrosecond);

/// A clearance at the size that the system is designed for: 1,300 workspaces,
/// and a route restricted to one of two regions.
void
ClearSend(benchmark::State& aState)
{
  constexpr int kWorkspaces = 1300;
  GatewayConfig config;
  config.mVersion = 1;
  GatewayRoute route;
  route.mHost = "host.test";
  route.mPathPrefix = "/a/";
  route.mRegions = AllowedRegions::Only({ "r1" });
  config.mRoutes.push_back(route);
  for (int i = 0; i < kWorkspaces; ++i) {
    Workspace workspace;
    workspace.mName = "workspace-" + std::to_string(i);
    workspace.mKeys = { "key-" + std::to_string(i) };
    config.mWorkspaces.push_back(std::move(workspace));
  }
  const RoutingTable table = RoutingTable::Create(std::move(config));
  UpstreamDirectory directory = UpstreamDirectory::Create();
  for (int i = 0; i < aState.range(0); ++i) {
    UpstreamRecord record;
    record.mId = "upstream-" + std::to_string(i);
    record.mAddress = "10.1.0.1:" + std::to_string(1000 + i);
    record.mDataCentre = "dc";
    directory.Put(std::move(record), Instant{});
  }
  const RegionMap regions{ { "dc", "r1" }, { "dc-2", "r2" } };
  const UpstreamPauses pauses = UpstreamPauses::Create();
  const CrashEvidence crashes = CrashEvidence::Create();
  const RequestCrashes requestCrashes = RequestCrashes::Create();
  const SendGate gate{ SendFacts{ &table,
                                  true,
                                  true,
                                  true,
                                  directory,
                                  regions,
                                  pauses,
                                  crashes,
                                  requestCrashes,
                                  Instant{} } };
  RequestOrigin origin;
  origin.mHost = "host.test";
  origin.mPath = "/a/b";
  origin.mWorkspace = "workspace-7";
  const UpstreamTarget target = TargetOf(directory.Find("upstream-1")->mRecord);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      gate.Clear(origin, target, SendPurpose::Request).has_value());
  }
}
BENCHMARK(ClearSend)->ArgName("upstreams")->Arg(57)->Arg(700);

} // namespace

BENCHMARK_MAIN();
