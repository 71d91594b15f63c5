#include "free_address.hpp"
#include "gateway_fixture.hpp"
#include "link_relay.hpp"

#include <chrono>
#include <random>

namespace cactusgw::test {

namespace {

constexpr const char* kRelay = "vm-1";
constexpr const char* kChild = "vm-2";
constexpr std::uint64_t kOldRevision = 5;
constexpr std::uint64_t kNewRevision = 9;

/// Bytes a second that traffic leaves free on a link of 10 Mbit/s, half of it.
constexpr std::uint64_t kSlowLink = 625'000;
/// Time in which a confirmed configuration has to be in force everywhere.
constexpr Milliseconds kMaxApplyTime{ 4000 };

/// A document of this many objects, with names that don't repeat.
std::string
ConfigDocument(std::size_t aRoutes)
{
  std::mt19937_64 random{ 1 };
  std::string text = R"({"version":15,"routes":[)";
  for (std::size_t i = 0; i < aRoutes; ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"name":"r-)" + std::to_string(random()) +
            R"(","host":"some.host.example","path":"/)" +
            std::to_string(random()) +
            R"(/","kind":"idempotent stream","timeout":39000,"objective":1800,)"
            R"("rank":1,"target":"some-service","maximum":1,"needsKey":true,)"
            R"("keepsUpstream":true,"canBeResumed":false,"longestPause":180,)"
            R"("regions":[]})";
  }
  return text + "]}";
}

} // namespace

/// Two gateways of one data centre, of which only the first reads the store, at
/// the two ends of a slow link.
class LargeConfigTest : public GatewayTest
{
protected:
  LargeConfigTest()
    : mLink(mSettings.mPeerListen)
  {
    mLink.SetBytesPerSecond(kSlowLink);
    GatewaySettings child = mSettings;
    child.mPlace.mVm = kChild;
    child.mListen = FreeAddress();
    child.mReadyListen = FreeAddress();
    child.mMetricsListen = FreeAddress();
    child.mPeerListen = FreeAddress();
    mRelay = MakeGateway(mSettings);
    mChild = MakeGateway(child);
    mRelay->Store().SetHandler(
      [](StoreCollection, const std::vector<StoredObject>&) {});
    mChild->Store().SetHandler(
      [this](StoreCollection, const std::vector<StoredObject>& aObjects) {
        for (const StoredObject& object : aObjects) {
          mReceived[object.mName] = object.mDocument.value_or("gone");
        }
      });
    const std::vector<Change<GatewayPeer>> peers{
      { kRelay, GatewayPeer{ kRelay, mLink.Address(), "dc-a", 2 } },
      { kChild, GatewayPeer{ kChild, child.mPeerListen, "dc-a", 1 } },
    };
    mRelay->OnPeerChanges(peers);
    mChild->OnPeerChanges(peers);
  }

  /// Simulates that the relay read this configuration from the store.
  void Read(std::uint64_t aRevision, std::string aDocument)
  {
    mRelay->Store().Apply(
      StoreCollection::Configuration,
      { true, aRevision, { { "main", aRevision, std::move(aDocument) } } });
    mRelay->OnConfigConfirmed(BootNow());
  }

  /// Runs both gateways, the relay with store access, until the condition holds
  /// or the time is over.
  bool RunFor(Milliseconds aTime, const std::function<bool()>& aCondition)
  {
    const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + aTime;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mRelay->OnConfigConfirmed(BootNow());
      mContext.run_one();
    }
    return aCondition();
  }

  standins::LinkRelay mLink;
  std::unique_ptr<Gateway> mRelay;
  std::unique_ptr<Gateway> mChild;
  std::map<std::string, std::string> mReceived;
};

// Guards against a transfer that is given up and begun again for ever, as it
// takes longer than a poll may.
TEST_F(LargeConfigTest, ArrivesOverASlowLinkInTime)
{
  Read(kOldRevision, ConfigDocument(3));
  ASSERT_TRUE(
    RunFor(kMaxApplyTime, [&] { return !mReceived["main"].empty(); }));
  const std::string document = ConfigDocument(4251);
  Read(kNewRevision, document);
  EXPECT_TRUE(
    RunFor(kMaxApplyTime, [&] { return mReceived["main"] == document; }));
}

} // namespace cactusgw::test
