#include "free_address.hpp"
#include "gateway_fixture.hpp"

#include <gmock/gmock.h>

namespace cactusgw::test {

namespace {

constexpr const char* kRelay = "vm-1";
constexpr const char* kChild = "vm-2";

} // namespace

/// Two gateways of one data centre, of which only the first reaches the store.
class StoreRelayTest : public GatewayTest
{
protected:
  StoreRelayTest()
  {
    mChildSettings = mSettings;
    mChildSettings.mPlace.mVm = kChild;
    mChildSettings.mListen = FreeAddress();
    mChildSettings.mReadyListen = FreeAddress();
    mChildSettings.mMetricsListen = FreeAddress();
    mChildSettings.mPeerListen = FreeAddress();
    mRelay = MakeGateway(mSettings);
    mChild = MakeGateway(mChildSettings);
    mRelay->Store().SetHandler(
      [](StoreCollection, const std::vector<StoredObject>&) {});
    mChild->Store().SetHandler(
      [this](StoreCollection, const std::vector<StoredObject>& aObjects) {
        for (const StoredObject& object : aObjects) {
          mReceived[object.mName] = object.mDocument.value_or("gone");
        }
      });
    Introduce();
  }

  void Introduce()
  {
    const std::vector<Change<GatewayPeer>> peers{
      { kRelay, GatewayPeer{ kRelay, mSettings.mPeerListen, "dc-a", 1 } },
      { kChild, GatewayPeer{ kChild, mChildSettings.mPeerListen, "dc-a", 1 } },
    };
    mRelay->OnPeerChanges(peers);
    mChild->OnPeerChanges(peers);
  }

  /// Simulates that the first gateway read this update from the store.
  void Read(CollectionUpdate aUpdate)
  {
    mRelay->Store().Apply(StoreCollection::Upstreams, std::move(aUpdate));
    mRelay->OnConfigConfirmed(BootNow());
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mContext.run_one();
    }
  }

  GatewaySettings mChildSettings;
  std::unique_ptr<Gateway> mRelay;
  std::unique_ptr<Gateway> mChild;
  std::map<std::string, std::string> mReceived;
};

TEST_F(StoreRelayTest, ChildReceivesWhatTheRelayRead)
{
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return mReceived["u"] == "ready"; });
  EXPECT_FALSE(mChild->ShouldReadStore());
  EXPECT_TRUE(mRelay->ShouldReadStore());

  Read({ false, 11, { { "u", 11, std::nullopt } } });
  RunUntil([&] { return mReceived["u"] == "gone"; });
}

TEST_F(StoreRelayTest, KnowledgeIsNeverYoungerThanTheReadersOwn)
{
  const BootTime read = BootNow() - Milliseconds{ 500 };
  mRelay->Store().Apply(StoreCollection::Upstreams,
                        { true, 10, { { "u", 4, "ready" } } });
  mRelay->OnConfigConfirmed(read);
  RunUntil([&] { return mReceived["u"] == "ready"; });
  const StoreFreshness& freshness = mChild->State().mFreshness;
  RunUntil([&] { return freshness.IsKnown(); });
  EXPECT_GE(freshness.Age(BootNow()), Milliseconds{ 500 });
}

TEST_F(StoreRelayTest, WhoLostTheStoreTellsNothingAndIsNotFollowed)
{
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return !mChild->ShouldReadStore(); });
  mRelay->OnUpstreamWatchDown(true);
  RunUntil([&] { return mChild->ShouldReadStore(); });
}

TEST_F(StoreRelayTest, AStoppingGatewayIsNotFollowed)
{
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return !mChild->ShouldReadStore(); });
  bool isStopped = false;
  mRelay->Stop([&] { isStopped = true; });
  RunUntil([&] { return mChild->ShouldReadStore(); });
  RunUntil([&] { return isStopped; });
}

TEST_F(StoreRelayTest, WhatWasMissedWhileNobodyAnsweredIsToldAfterwards)
{
  Read({ true, 10, { { "u", 4, "ready" }, { "v", 5, "ready" } } });
  RunUntil([&] { return mReceived["v"] == "ready"; });
  mRelay->OnUpstreamWatchDown(true);
  RunUntil([&] { return mChild->ShouldReadStore(); });
  mRelay->OnUpstreamWatchDown(false);
  Read({ true, 20, { { "v", 15, "draining" } } });
  RunUntil([&] {
    mRelay->OnConfigConfirmed(BootNow());
    return mReceived["v"] == "draining";
  });
  EXPECT_EQ(mReceived["u"], "gone");
}

} // namespace cactusgw::test
