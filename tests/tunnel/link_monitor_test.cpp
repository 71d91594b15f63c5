#include "cactusgw/tunnel/link_monitor.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cactusgw::test {

namespace {

constexpr std::size_t kUpstreams = 8;

Instant
At(int aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

LinkMonitor
Monitor(std::size_t aUpstreams = kUpstreams)
{
  LinkMonitor links = LinkMonitor::Create();
  links.SetUpstreamCount(aUpstreams);
  return links;
}

/// This gateway fails to reach the upstream, and a carrier does.
void
CutOff(LinkMonitor& aLinks, std::string_view aUpstream, Instant aNow)
{
  aLinks.OnTunnelOpened(aUpstream, aNow);
  aLinks.OnConnectFailed(aUpstream, aNow);
}

/// No carrier reaches the upstream either.
void
GoDown(LinkMonitor& aLinks, std::string_view aUpstream, Instant aNow)
{
  aLinks.OnConnectFailed(aUpstream, aNow);
  aLinks.OnCarrierFailed(aUpstream, aNow);
}

/// Two upstreams, all links of this gateway cut since At(0).
LinkMonitor
BrokenMonitor()
{
  LinkMonitor links = Monitor();
  CutOff(links, "u1", At(0));
  CutOff(links, "u2", At(0));
  return links;
}

} // namespace

TEST(LinkMonitorTest, TwoUpstreamsThatACarrierReachesShowBrokenLinks)
{
  LinkMonitor links = Monitor();
  CutOff(links, "u1", At(0));
  EXPECT_FALSE(links.AreBroken());
  EXPECT_TRUE(links.PrefersTunnel("u1", At(100)));
  EXPECT_FALSE(links.PrefersTunnel("u2", At(100)));
  // The next attempt after the evidence is direct.
  EXPECT_FALSE(links.PrefersTunnel("u1", At(3000)));
  CutOff(links, "u1", At(3000));
  CutOff(links, "u2", At(3100));
  EXPECT_TRUE(links.AreBroken());
  EXPECT_TRUE(links.PrefersTunnel("u3", At(3100)));
}

TEST(LinkMonitorTest, TheOnlyUpstreamSuffices)
{
  LinkMonitor links = Monitor(1);
  CutOff(links, "u1", At(0));
  EXPECT_TRUE(links.AreBroken());
  links.OnConnected("u1", At(500));
  EXPECT_FALSE(links.AreBroken());
}

TEST(LinkMonitorTest, UpstreamsThatAreDownNeverCount)
{
  LinkMonitor links = Monitor();
  for (int ms = 0; ms < 10'000; ms += 100) {
    for (const char* upstream : { "u1", "u2", "u3" }) {
      EXPECT_EQ(links.MayTunnel(upstream, At(ms)), ms % 1000 == 0);
      if (links.MayTunnel(upstream, At(ms))) {
        GoDown(links, upstream, At(ms));
      } else {
        links.OnConnectFailed(upstream, At(ms));
      }
    }
    EXPECT_FALSE(links.AreBroken());
  }
}

// Upstreams that crashed were taken for cut off when they started again and a
// carrier was as fast as the direct connection.
TEST(LinkMonitorTest, UpstreamsThatStartAgainNeverCount)
{
  LinkMonitor links = Monitor();
  GoDown(links, "u1", At(0));
  GoDown(links, "u2", At(0));
  links.OnTunnelOpened("u1", At(1200));
  links.OnTunnelOpened("u2", At(1200));
  EXPECT_FALSE(links.AreBroken());
}

// Upstreams that crashed counted as cut off for a tunnel of some time before.
TEST(LinkMonitorTest, TunnelsBeforeACrashNeverCount)
{
  LinkMonitor links = Monitor();
  links.OnTunnelOpened("u1", At(0));
  links.OnTunnelOpened("u2", At(0));
  links.OnConnectFailed("u1", At(2000));
  links.OnConnectFailed("u2", At(2000));
  EXPECT_FALSE(links.AreBroken());
}

TEST(LinkMonitorTest, EvidenceExpires)
{
  LinkMonitor links = Monitor();
  CutOff(links, "u1", At(0));
  CutOff(links, "u2", At(3000));
  EXPECT_FALSE(links.AreBroken());
}

TEST(LinkMonitorTest, LinksAreBackWhenTwoUpstreamsWereReached)
{
  LinkMonitor links = BrokenMonitor();
  links.OnConnected("u1", At(1000));
  links.OnConnected("u1", At(1500));
  EXPECT_TRUE(links.AreBroken());
  links.OnConnected("u2", At(2000));
  EXPECT_FALSE(links.AreBroken());
  EXPECT_FALSE(links.PrefersTunnel("u1", At(2000)));
}

TEST(LinkMonitorTest, FlappingLinksStayBroken)
{
  LinkMonitor links = BrokenMonitor();
  for (int ms = 500; ms < 10'000; ms += 1000) {
    links.OnConnected("u" + std::to_string(ms), At(ms));
    CutOff(links, "u1", At(ms + 500));
    EXPECT_TRUE(links.AreBroken());
  }
}

// An upstream that was down kept links broken for as long as it was down.
TEST(LinkMonitorTest, UpstreamsThatAreDownDelayNoRecovery)
{
  LinkMonitor links = BrokenMonitor();
  links.OnConnected("u1", At(4000));
  GoDown(links, "u2", At(4500));
  links.OnConnected("u3", At(5000));
  EXPECT_FALSE(links.AreBroken());
}

TEST(LinkMonitorTest, OneSilentUpstreamAmongOthersIsNoSilence)
{
  LinkMonitor links = Monitor();
  links.OnSent("u1", At(0));
  for (int ms = 0; ms < 2000; ms += 100) {
    links.OnSent("u2", At(ms));
    links.OnBytes(At(ms + 50));
    links.OnEnded("u2");
    EXPECT_FALSE(links.IsSilent(At(ms + 99)));
    EXPECT_FALSE(links.TakeProbe(At(ms + 99)));
  }
}

TEST(LinkMonitorTest, SilenceOfAllIsProbed)
{
  LinkMonitor links = Monitor();
  links.OnSent("u1", At(0));
  EXPECT_FALSE(links.IsSilent(At(599)));
  EXPECT_TRUE(links.IsSilent(At(600)));
  links.OnSent("u2", At(200));
  EXPECT_FALSE(links.IsSilent(At(299)));
  EXPECT_TRUE(links.TakeProbe(At(300)));
  EXPECT_FALSE(links.AreOpenLinksDead(At(300)));
  // Slow upstreams: what a probe reaches ends the silence.
  links.OnConnected("u3", At(310));
  EXPECT_FALSE(links.IsSilent(At(609)));
  links.OnEnded("u1");
  links.OnEnded("u2");
  EXPECT_FALSE(links.IsSilent(At(5000)));
}

TEST(LinkMonitorTest, ProbesHaveAnInterval)
{
  LinkMonitor links = Monitor();
  links.OnSent("u1", At(0));
  links.OnSent("u2", At(0));
  int probes = 0;
  for (int ms = 0; ms < 10'000; ms += 25) {
    probes += links.TakeProbe(At(ms)) ? 1 : 0;
  }
  EXPECT_EQ(probes, 20);
  EXPECT_FALSE(Monitor().TakeProbe(At(0)));
}

// A request that waited in silence waited as long again after links were known
// to be broken.
TEST(LinkMonitorTest, RequestsThatWaitedInSilenceAreTakenBackAtOnce)
{
  LinkMonitor links = Monitor();
  links.OnSent("u1", At(0));
  EXPECT_TRUE(links.TakeProbe(At(600)));
  CutOff(links, "u2", At(900));
  CutOff(links, "u3", At(900));
  EXPECT_TRUE(links.AreOpenLinksDead(At(900)));
}

TEST(LinkMonitorTest, OpenConnectionsMayLiveOn)
{
  LinkMonitor links = Monitor();
  links.OnSent("u3", At(-10));
  CutOff(links, "u1", At(0));
  CutOff(links, "u2", At(0));
  EXPECT_FALSE(links.MayUseOpenConnections());
  for (int ms = 10; ms < 2000; ms += 200) {
    links.OnBytes(At(ms));
    EXPECT_TRUE(links.MayUseOpenConnections());
    EXPECT_FALSE(links.AreOpenLinksDead(At(ms + 199)));
  }
  EXPECT_TRUE(links.AreOpenLinksDead(At(3000)));
}

// What was sent into broken links counted as heard, so that requests were sent
// on idle connections that were dead.
TEST(LinkMonitorTest, WhatIsSentSaysNothing)
{
  LinkMonitor links = BrokenMonitor();
  links.OnSent("u3", At(10));
  EXPECT_FALSE(links.MayUseOpenConnections());
}

} // namespace cactusgw::test
