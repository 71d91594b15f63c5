#include "gateway_process.hpp"
#include "soak_documents.hpp"
#include "store_standin.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw::soak {

namespace {

constexpr int kUpstreams = 12;
/// No bound on speed: only how long a test waits before it gives up.
constexpr long kPatienceMs = 30'000;
/// Long enough for registrations to expire.
constexpr long kOutageMs = 4500;
/// The longest call and backoff after the end of an outage, 3.6 s, and the time
/// in which upstreams are kept.
constexpr long kSettleMs = 6000;
/// Interval between two upstreams that leave. All leave while the watches that
/// wait longest have not returned yet.
constexpr long kLeaveIntervalMs = 500;
constexpr std::string_view kReturned = "event=store-returned";

} // namespace

/// Two gateways of one data centre and their store. The first one's program may
/// be that of an earlier release, named by CACTUSGW_EARLIER_GATEWAY; then only
/// the second one is checked.
class StoreReturnSystemTest : public ::testing::Test
{
protected:
  StoreReturnSystemTest()
  {
    mStore.Put("config", "main", ConfigText(7, "", ServiceText("engine")));
    for (int i = 0; i < kUpstreams; ++i) {
      Register(i);
    }
    std::string folder =
      (std::filesystem::temp_directory_path() / "return-XXXXXX").string();
    mFolder = mkdtemp(folder.data());
    const char* const earlier = std::getenv("CACTUSGW_EARLIER_GATEWAY");
    mFirstChecked = earlier == nullptr ? 0 : 1;
    const int port = mStore.Open({});
    for (std::size_t i = 0; i < 2; ++i) {
      mGateways.push_back(std::make_unique<GatewayProcess>(
        GatewayOptions{ i < mFirstChecked ? earlier : CACTUSGW_GATEWAY,
                        mFolder,
                        "gateway-" + std::to_string(i) }));
      mGateways.back()->SetStorePort(port);
      mGateways.back()->Start();
    }
    for (const std::unique_ptr<GatewayProcess>& gateway : mGateways) {
      WaitForLines(*gateway, "event=upstream-added", kUpstreams);
    }
  }

  ~StoreReturnSystemTest() override
  {
    mGateways.clear();
    if (!HasFailure()) {
      std::filesystem::remove_all(mFolder);
    }
  }

  static std::string NameOf(int aUpstream)
  {
    return "u-" + std::to_string(aUpstream);
  }

  void Register(int aUpstream)
  {
    mStore.Put("servers",
               NameOf(aUpstream),
               UpstreamText("engine", AddressOf(1), "ready", 5, 1));
  }

  static long CountLines(const GatewayProcess& aGateway, std::string_view aText)
  {
    std::ifstream file{ aGateway.LogFile() };
    long count = 0;
    std::string line;
    while (std::getline(file, line)) {
      count += line.find(aText) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  static void WaitForLines(const GatewayProcess& aGateway,
                           std::string_view aText,
                           long aCount)
  {
    const long until = NowMs() + kPatienceMs;
    while (CountLines(aGateway, aText) < aCount && NowMs() < until) {
      SleepMs(20);
    }
    ASSERT_GE(CountLines(aGateway, aText), aCount) << aText;
  }

  /// The gateways to check.
  std::vector<const GatewayProcess*> Checked() const
  {
    std::vector<const GatewayProcess*> checked;
    for (std::size_t i = mFirstChecked; i < mGateways.size(); ++i) {
      checked.push_back(mGateways[i].get());
    }
    return checked;
  }

  /// How many returns of the store each checked gateway has counted.
  std::vector<long> Returns() const
  {
    std::vector<long> returns;
    for (const GatewayProcess* gateway : Checked()) {
      returns.push_back(CountLines(*gateway, kReturned));
    }
    return returns;
  }

  // Stand-ins live to the end of the process, as their threads do.
  StoreStandin& mStore = *new StoreStandin;
  std::string mFolder;
  std::size_t mFirstChecked = 0;
  std::vector<std::unique_ptr<GatewayProcess>> mGateways;
};

// Guards against upstreams that were kept after the removal of their
// registrations, as each watch that could be answered again after an outage
// counted as a return of the store.
TEST_F(StoreReturnSystemTest, UpstreamsThatLeaveAfterAnOutageEndAtOnce)
{
  long outages = 0;
  for (const StoreFault fault : { StoreFault::Reset, StoreFault::Silent }) {
    ++outages;
    const std::vector<long> before = Returns();
    mStore.SetFault(fault);
    SleepMs(kOutageMs);
    mStore.SetFault(StoreFault::None);
    for (std::size_t i = 0; i < before.size(); ++i) {
      WaitForLines(*Checked()[i], kReturned, before[i] + 1);
    }
    SleepMs(kSettleMs);
    const std::vector<long> stable = Returns();
    for (int i = 0; i < kUpstreams; ++i) {
      mStore.Delete("servers", NameOf(i));
      SleepMs(kLeaveIntervalMs);
    }
    for (const GatewayProcess* gateway : Checked()) {
      for (int i = 0; i < kUpstreams; ++i) {
        WaitForLines(
          *gateway, "event=upstream-leaving upstream=" + NameOf(i), outages);
      }
      EXPECT_EQ(CountLines(*gateway, "event=upstream-missing"), 0);
    }
    // Calls that were open in the outage have ended by now.
    EXPECT_EQ(Returns(), stable);
    for (int i = 0; i < kUpstreams; ++i) {
      Register(i);
    }
    for (const GatewayProcess* gateway : Checked()) {
      WaitForLines(
        *gateway, "event=upstream-added", (outages + 1) * kUpstreams);
    }
  }
}

// The other side: registrations that expired in the outage are back soon.
TEST_F(StoreReturnSystemTest, UpstreamsThatExpiredInAnOutageGoOn)
{
  mStore.SetFault(StoreFault::Reset);
  SleepMs(kOutageMs);
  for (int i = 0; i < kUpstreams; ++i) {
    mStore.Delete("servers", NameOf(i));
  }
  mStore.SetFault(StoreFault::None);
  for (const GatewayProcess* gateway : Checked()) {
    WaitForLines(*gateway, "event=upstream-missing", kUpstreams);
  }
  for (int i = 0; i < kUpstreams; ++i) {
    Register(i);
  }
  for (const GatewayProcess* gateway : Checked()) {
    WaitForLines(*gateway, "event=upstream-registered-again", kUpstreams);
    EXPECT_EQ(CountLines(*gateway, "event=upstream-leaving"), 0);
  }
}

} // namespace cactusgw::soak
