#include "cactusgw/config/upstream_subset.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {
namespace {

/// One service over two data centres of one region and one of another.
Deployment
MakeDeployment(std::size_t aUpstreamsEach, OverflowScope aScope)
{
  Deployment deployment;
  ServiceConfig service;
  service.mName = "s";
  service.mOverflow = aScope;
  deployment.mServices.push_back(service);
  for (const std::string name : { "a", "b", "c" }) {
    deployment.mDataCentres.push_back({ name, name == "c" ? "r2" : "r1", {} });
    for (std::size_t i = 0; i < aUpstreamsEach; ++i) {
      UpstreamConfig upstream;
      upstream.mName = name + "-" + std::to_string(i);
      upstream.mDataCentre = name;
      upstream.mService = "s";
      deployment.mUpstreams.push_back(upstream);
    }
  }
  return deployment;
}

std::vector<std::string_view>
Subset(const Deployment& aDeployment, std::string_view aVm)
{
  return UpstreamsOfVm(aDeployment, *aDeployment.FindDataCentre("a"), aVm);
}

TEST(UpstreamsOfVm, AreAllOfAFewUpstreams)
{
  const Deployment deployment = MakeDeployment(5, OverflowScope::None);
  EXPECT_EQ(Subset(deployment, "vm").size(), 5U);
}

TEST(UpstreamsOfVm, DoNotGrowWithTheFleet)
{
  const Deployment deployment = MakeDeployment(140, OverflowScope::None);
  EXPECT_EQ(Subset(deployment, "vm").size(), kUpstreamsPerVm);
}

TEST(UpstreamsOfVm, ReachAsFarAsTheServiceOverflows)
{
  EXPECT_EQ(Subset(MakeDeployment(3, OverflowScope::None), "vm").size(), 3U);
  EXPECT_EQ(Subset(MakeDeployment(3, OverflowScope::Region), "vm").size(), 6U);
  EXPECT_EQ(Subset(MakeDeployment(3, OverflowScope::Any), "vm").size(), 9U);
}

TEST(UpstreamsOfVm, SpreadOverTheVmsSoThatEveryUpstreamIsUsed)
{
  const Deployment deployment = MakeDeployment(140, OverflowScope::None);
  std::map<std::string_view, int> users;
  for (int i = 0; i < 78; ++i) {
    for (const std::string_view upstream :
         Subset(deployment, "vm-" + std::to_string(i))) {
      ++users[upstream];
    }
  }
  // 78 VMs with 16 each are 8.9 users per upstream on average.
  EXPECT_EQ(users.size(), 140U);
  for (const auto& [upstream, count] : users) {
    EXPECT_GE(count, 2) << upstream;
  }
}

} // namespace
} // namespace cactusgw
