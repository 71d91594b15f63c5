#ifndef CACTUSGW_TESTS_SYSTEM_FAILURE_FIXTURE_HPP
#define CACTUSGW_TESTS_SYSTEM_FAILURE_FIXTURE_HPP

/// What the failure proofs on real processes share.

#include "cluster.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace cactusgw {

using testing_support::Answer;
using testing_support::Cluster;
using testing_support::EnginePorts;

/// Two VMs and two engines in one data centre.
class FailureTest : public testing::Test
{
protected:
  void StartTwoVms()
  {
    mCluster.AddEngine("engine-1", "dc-1");
    mCluster.AddEngine("engine-2", "dc-1");
    mCluster.AddVm("vm-1", "dc-1");
    mCluster.AddVm("vm-2", "dc-1");
    mCluster.Start();
    ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
    ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  }

  void StartOneEngine(const std::string& aName = "engine-1")
  {
    mCluster.AddEngine(aName, "dc-1");
    mCluster.AddVm("vm-1", "dc-1");
    mCluster.AddVm("vm-2", "dc-1");
    mCluster.Start();
    ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
    ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  }

  std::int64_t Counter(const std::string& aEngine, const std::string& aName)
  {
    const boost::json::value counters = mCluster.Counters(aEngine);
    return counters.is_object() ? counters.at(aName).to_number<std::int64_t>()
                                : -1;
  }

  /// Requests running on both engines of StartTwoVms.
  std::int64_t RunningOnBoth()
  {
    return Counter("engine-1", "running") + Counter("engine-2", "running");
  }

  bool WaitForRunning(const std::string& aEngine, std::int64_t aCount)
  {
    return Cluster::WaitUntil(
      [&] { return Counter(aEngine, "running") >= aCount; });
  }

  /// One stream through vm-1 with a fault of the engine set before.
  LoadReport StreamWithFault(const std::string& aFault)
  {
    mCluster.Control(mCluster.Engine("engine-1").mAddress, aFault);
    return Cluster::RunLoad(mCluster.Load({ "vm-1" }));
  }

  /// The name of the VM that holds the lease, or nothing.
  std::string LeaseHolder()
  {
    for (const std::string vm : { "vm-1", "vm-2" }) {
      const boost::json::value status = mCluster.Status(vm);
      if (status.is_object() && status.at("holdsLease").as_bool()) {
        return vm;
      }
    }
    return "";
  }

  Cluster mCluster;
};

} // namespace cactusgw

#endif // CACTUSGW_TESTS_SYSTEM_FAILURE_FIXTURE_HPP
