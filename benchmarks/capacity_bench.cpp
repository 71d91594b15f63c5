#include "cluster.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

// Measures what control costs per VM, with rising numbers of VMs in one data
// centre: processor time, memory, bytes by kind of message, and calls of the
// platform; once idle and once under load.

namespace {

using namespace cactusgw;
using testing_support::Cluster;

/// Upstreams per VM at the design size: 700 over 390.
constexpr double kUpstreamsPerVm = 1.8;
constexpr double kRequestsPerVm = 2.0;
constexpr std::size_t kEnginesPerProcess = 30;
constexpr std::chrono::seconds kPhase{ 20 };

/// Readings of one agent at one time.
struct AgentReading
{
  double mCpuSeconds = 0;
  double mResidentMb = 0;
  std::map<std::string, double> mMetrics;
};

struct Totals
{
  double mCpuPercent = 0;
  double mResidentMb = 0;
  double mBytesOut = 0;
  double mBytesIn = 0;
  double mMessagesOut = 0;
  std::map<std::string, double> mBytesByKind;
};

double
CpuSeconds(pid_t aPid)
{
  std::ifstream file{ "/proc/" + std::to_string(aPid) + "/stat" };
  std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  std::istringstream rest{ text.substr(text.rfind(')') + 1) };
  std::string word;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    rest >> word;
  }
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
ResidentMb(pid_t aPid)
{
  std::ifstream file{ "/proc/" + std::to_string(aPid) + "/statm" };
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double kBytesPerMb = 1024.0 * 1024.0;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

AgentReading
ReadAgent(Cluster& aCluster, const std::string& aVm)
{
  AgentReading reading;
  const pid_t pid = aCluster.ProcessId("agent/" + aVm);
  reading.mCpuSeconds = CpuSeconds(pid);
  reading.mResidentMb = ResidentMb(pid);
  std::istringstream lines{ aCluster.Metrics(aCluster.Vm(aVm).mAgentOperator) };
  for (std::string line; std::getline(lines, line);) {
    const std::size_t space = line.rfind(' ');
    if (line[0] != '#' && space != std::string::npos) {
      reading.mMetrics[line.substr(0, space)] = std::atof(line.c_str() + space);
    }
  }
  return reading;
}

bool
StartsWith(const std::string& aText, const char* aPrefix)
{
  return aText.starts_with(aPrefix);
}

/// What happened between two readings, per second.
Totals
Between(const AgentReading& aBefore,
        const AgentReading& aAfter,
        double aSeconds)
{
  Totals totals;
  totals.mCpuPercent =
    100 * (aAfter.mCpuSeconds - aBefore.mCpuSeconds) / aSeconds;
  totals.mResidentMb = aAfter.mResidentMb;
  for (const auto& [name, value] : aAfter.mMetrics) {
    const auto it = aBefore.mMetrics.find(name);
    const double before = it == aBefore.mMetrics.end() ? 0 : it->second;
    const double rate = (value - before) / aSeconds;
    if (StartsWith(name, "cactusgw_peer_bytes_total{direction=\"out\"")) {
      totals.mBytesOut += rate;
      totals.mBytesByKind[name.substr(name.find("kind="))] += rate;
    } else if (StartsWith(name, "cactusgw_peer_bytes_total")) {
      totals.mBytesIn += rate;
    } else if (StartsWith(name,
                          "cactusgw_peer_messages_total{direction=\"out\"")) {
      totals.mMessagesOut += rate;
    }
  }
  return totals;
}

double
PlatformCalls(Cluster& aCluster)
{
  const testing_support::Answer answer =
    aCluster.Call(aCluster.Platform(), http::verb::get, "/counts", "");
  const boost::json::value counts = boost::json::parse(answer.mBody);
  double sum = 0;
  for (const char* kind : { "reads", "writes", "watches" }) {
    sum += counts.at(kind).to_number<double>();
  }
  return sum;
}

void
PrintPhase(const char* aName,
           std::size_t aVms,
           const std::vector<Totals>& aTotals,
           double aPlatformCalls)
{
  Totals mean;
  Totals highest;
  const double n = static_cast<double>(aTotals.size());
  for (const Totals& it : aTotals) {
    mean.mCpuPercent += it.mCpuPercent / n;
    mean.mResidentMb += it.mResidentMb / n;
    mean.mBytesOut += it.mBytesOut / n;
    mean.mBytesIn += it.mBytesIn / n;
    mean.mMessagesOut += it.mMessagesOut / n;
    for (const auto& [kind, rate] : it.mBytesByKind) {
      mean.mBytesByKind[kind] += rate / n;
    }
    highest.mCpuPercent = std::max(highest.mCpuPercent, it.mCpuPercent);
    highest.mBytesOut = std::max(highest.mBytesOut, it.mBytesOut);
    highest.mBytesIn = std::max(highest.mBytesIn, it.mBytesIn);
    highest.mResidentMb = std::max(highest.mResidentMb, it.mResidentMb);
  }
  std::printf("%-6s VMs %3zu | CPU %% mean %.2f max %.2f | MB mean %.1f max "
              "%.1f | B/s out mean %.0f max %.0f, in mean %.0f max %.0f | "
              "messages/s out %.1f | platform calls/s %.2f\n",
              aName,
              aVms,
              mean.mCpuPercent,
              highest.mCpuPercent,
              mean.mResidentMb,
              highest.mResidentMb,
              mean.mBytesOut,
              highest.mBytesOut,
              mean.mBytesIn,
              highest.mBytesIn,
              mean.mMessagesOut,
              aPlatformCalls);
  for (const auto& [kind, rate] : mean.mBytesByKind) {
    std::printf("         %-28s %.0f B/s out\n", kind.c_str(), rate);
  }
}

/// Runs one phase and prints it.
void
Measure(const char* aName,
        Cluster& aCluster,
        const std::vector<std::string>& aVms,
        bool aWithLoad)
{
  std::vector<AgentReading> before;
  for (const std::string& vm : aVms) {
    before.push_back(ReadAgent(aCluster, vm));
  }
  const double callsBefore = PlatformCalls(aCluster);
  const Instant begun = std::chrono::steady_clock::now();
  if (aWithLoad) {
    LoadSettings load = aCluster.Load(aVms);
    load.mRate = kRequestsPerVm * static_cast<double>(aVms.size());
    load.mRequests = static_cast<std::uint64_t>(
      load.mRate * static_cast<double>(kPhase.count()));
    load.mLengths = { LengthKind::LogNormal, 25, 0.8, 200 };
    const LoadReport report = Cluster::RunLoad(load);
    std::printf("         %llu requests, %llu whole, %llu refused, %llu "
                "violations, first token p95 %.0f ms\n",
                static_cast<unsigned long long>(report.mRequests),
                static_cast<unsigned long long>(report.mWhole),
                static_cast<unsigned long long>(report.mRefusedNotRun),
                static_cast<unsigned long long>(report.mViolations),
                report.mFirstToken.Quantile(0.95));
  } else {
    std::this_thread::sleep_for(kPhase);
  }
  const double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
      .count();
  const double calls = (PlatformCalls(aCluster) - callsBefore) / seconds;
  std::vector<Totals> totals;
  for (std::size_t i = 0; i < aVms.size(); ++i) {
    totals.push_back(Between(before[i], ReadAgent(aCluster, aVms[i]), seconds));
  }
  PrintPhase(aName, aVms.size(), totals, calls);
  std::fflush(stdout);
}

void
RunSize(std::size_t aCount)
{
  Cluster cluster;
  cluster.SetEnginesPerProcess(kEnginesPerProcess);
  cluster.SetQueueMs(900);
  cluster.UseDefaultTimes();
  const std::size_t engines =
    static_cast<std::size_t>(static_cast<double>(aCount) * kUpstreamsPerVm);
  for (std::size_t i = 0; i < engines; ++i) {
    testing_support::EnginePorts& engine =
      cluster.AddEngine("engine-" + std::to_string(i), "dc-1");
    engine.mOptions = { "--step-ms", "40" };
    engine.mCold = 4;
    engine.mWarm = 16;
  }
  std::vector<std::string> vms;
  for (std::size_t i = 0; i < aCount; ++i) {
    vms.push_back("vm-" + std::to_string(i));
    cluster.AddVm(vms.back(), "dc-1");
  }
  cluster.Start();
  for (const std::string& vm : vms) {
    if (!cluster.WaitForCredits(vm)) {
      std::printf("%s did not become ready\n", vm.c_str());
      return;
    }
  }
  Measure("idle", cluster, vms, false);
  Measure("load", cluster, vms, true);
}

} // namespace

/// Arguments: the numbers of VMs to measure.
int
main(int aArgc, char** aArgv)
{
  std::vector<std::size_t> sizes;
  for (int i = 1; i < aArgc; ++i) {
    sizes.push_back(static_cast<std::size_t>(std::atoi(aArgv[i])));
  }
  if (sizes.empty()) {
    sizes = { 8, 16, 32, 64 };
  }
  for (const std::size_t size : sizes) {
    RunSize(size);
  }
  return 0;
}
