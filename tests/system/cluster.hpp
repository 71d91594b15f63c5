#ifndef CACTUSGW_TESTS_SYSTEM_CLUSTER_HPP
#define CACTUSGW_TESTS_SYSTEM_CLUSTER_HPP

/// Starts the real binaries and the stand-ins as processes on free ports of
/// 127.0.0.1, and lets a test kill, freeze and question them.

#include "cactusgw/load/load_report.hpp"
#include "cactusgw/load/load_run.hpp"
#include "cactusgw/net/http_client.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cactusgw::testing_support {

struct VmPorts
{
  std::string mDataCentre;
  /// Region of the data centre.
  std::string mRegion = "region-1";
  std::string mListen;
  std::string mAgentOperator;
  std::string mEntryOperator;
  std::string mPeer;
  std::string mEntryPort;
  /// Where the agent finds the platform; a test may put a link between.
  std::string mPlatform;
};

struct EnginePorts
{
  std::string mDataCentre;
  std::string mAddress;
  /// The address in the configuration; a test may put a link between.
  std::string mConfigured;
  std::vector<std::string> mOptions;
  std::uint32_t mCold = 2;
  std::uint32_t mWarm = 8;
};

/// An answer to a whole request.
struct Answer
{
  unsigned mStatus = 0;
  std::string mVerdict;
  std::string mRetryAfter;
  std::string mBody;
};

class Cluster
{
public:
  Cluster();
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Names what will be started; call before Start.
  EnginePorts& AddEngine(const std::string& aName,
                         const std::string& aDataCentre);
  VmPorts& AddVm(const std::string& aName, const std::string& aDataCentre);
  /// A plain service is served by every engine stand-in's /plain paths.
  void Start();

  /// Runs many engines in one process each, for systems of many VMs.
  void SetEnginesPerProcess(std::size_t aCount) { mEnginesPerProcess = aCount; }
  /// The process id, for measurements.
  pid_t ProcessId(const std::string& aProcess) const
  {
    return mProcesses.at(aProcess);
  }
  /// Leaves out the short times that tests use.
  void UseDefaultTimes() { mDefaultTimes = true; }
  /// Sets how long requests may wait for admission.
  void SetQueueMs(std::int64_t aQueueMs) { mQueueMs = aQueueMs; }

  /// Sets the memory of entries, in units of 2^20 bytes; call before Start.
  void SetEntryMemoryMb(std::int64_t aMemoryMb) { mEntryMemoryMb = aMemoryMb; }

  void StartEngine(const std::string& aName);
  void StartAgent(const std::string& aVm);
  void StartEntry(const std::string& aVm);
  void Signal(const std::string& aProcess, int aSignal);
  /// Waits for the process's end and returns its exit code.
  std::optional<int> WaitForExit(const std::string& aProcess);

  /// Calls the function until it holds. False after a generous time.
  static bool WaitUntil(const std::function<bool()>& aCondition);
  /// Waits until the VM has credits that an owner granted.
  bool WaitForCredits(const std::string& aVm);

  Answer Call(const std::string& aAddress,
              http::verb aVerb,
              const std::string& aTarget,
              const std::string& aBody,
              const std::string& aKey = "test-key",
              const std::string& aIdempotencyKey = "");
  boost::json::value Status(const std::string& aVm);
  boost::json::value EntryStatus(const std::string& aVm);
  boost::json::value Counters(const std::string& aEngine);
  void Control(const std::string& aAddress, const std::string& aBody);
  std::string Metrics(const std::string& aAddress);

  /// A load of streaming requests on the given VMs.
  LoadSettings Load(const std::vector<std::string>& aVms) const;
  static LoadReport RunLoad(const LoadSettings& aSettings);
  /// Runs a load beside other steps of a test.
  static LoadReport RunLoadWhile(const LoadSettings& aSettings,
                                 const std::function<void()>& aSteps);

  /// Runs cactusgwctl; returns its exit code and output.
  std::pair<int, std::string> Ctl(const std::vector<std::string>& aWords);
  /// Changes one limit of the configuration files.
  void SetLimit(const std::string& aName, std::int64_t aValue);

  /// Sets the overflow scope of the services; call before Start.
  void SetOverflow(const std::string& aScope) { mOverflow = aScope; }
  /// Changes the regions of the workspace in the configuration files; empty:
  /// all regions.
  void SetHomes(const std::vector<std::string>& aRegions);

  const std::string& Platform() const { return mPlatform; }
  const VmPorts& Vm(const std::string& aName) const { return mVms.at(aName); }
  const EnginePorts& Engine(const std::string& aName) const
  {
    return mEngines.at(aName);
  }
  std::string Directory() const { return mDirectory; }

private:
  void StartEngines();
  std::vector<std::string> EngineCommand(const EnginePorts& aEngine,
                                         const std::string& aListen) const;
  void WriteConfig() const;
  void WriteSettings(const std::string& aVm) const;
  void Spawn(const std::string& aName, std::vector<std::string> aCommand);
  boost::json::value GetJson(const std::string& aAddress,
                             const std::string& aTarget);

  std::string mDirectory;
  std::string mPlatform;
  std::map<std::string, VmPorts> mVms;
  std::map<std::string, EnginePorts> mEngines;
  boost::json::object mLimits;
  std::size_t mEnginesPerProcess = 1;
  std::int64_t mEntryMemoryMb = 100;
  std::int64_t mQueueMs = 20'000;
  std::string mOverflow = "none";
  std::vector<std::string> mHomes;
  bool mDefaultTimes = false;
  std::map<std::string, pid_t> mProcesses;
};

} // namespace cactusgw::testing_support

#endif // CACTUSGW_TESTS_SYSTEM_CLUSTER_HPP
