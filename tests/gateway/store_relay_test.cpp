#include "free_address.hpp"
#include "gateway_fixture.hpp"

#include <gmock/gmock.h>

namespace cactusgw::test {

namespace {

constexpr const char* kReader = "vm-1";
constexpr const char* kFollower = "vm-2";

} // namespace

/// Two gateways of one data centre, of which only the first reaches the store.
class StoreRelayTest : public GatewayTest
{
protected:
  StoreRelayTest()
  {
    mFollowerSettings = mSettings;
    mFollowerSettings.mPlace.mVm = kFollower;
    mFollowerSettings.mListen = FreeAddress();
    mFollowerSettings.mReadyListen = FreeAddress();
    mFollowerSettings.mMetricsListen = FreeAddress();
    mFollowerSettings.mPeerListen = FreeAddress();
    mReader = MakeGateway(mSettings);
    mFollower = MakeGateway(mFollowerSettings);
    mReader->Store().SetHandler(
      [](StoreCollection, const std::vector<StoredObject>&) {});
    mFollower->Store().SetHandler(
      [this](StoreCollection, const std::vector<StoredObject>& aObjects) {
        for (const StoredObject& object : aObjects) {
          mHeard[object.mName] = object.mDocument.value_or("gone");
        }
      });
    Introduce();
  }

  void Introduce()
  {
    const std::vector<Change<GatewayPeer>> peers{
      { kReader, GatewayPeer{ kReader, mSettings.mPeerListen, "dc-a", 1 } },
      { kFollower,
        GatewayPeer{ kFollower, mFollowerSettings.mPeerListen, "dc-a", 1 } },
    };
    mReader->OnPeerChanges(peers);
    mFollower->OnPeerChanges(peers);
  }

  /// Simulates that the first gateway read this update from the store.
  void Read(CollectionUpdate aUpdate)
  {
    mReader->Store().Apply(StoreCollection::Upstreams, std::move(aUpdate));
    mReader->OnConfigConfirmed(BootNow());
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mContext.run_one();
    }
  }

  GatewaySettings mFollowerSettings;
  std::unique_ptr<Gateway> mReader;
  std::unique_ptr<Gateway> mFollower;
  std::map<std::string, std::string> mHeard;
};

TEST_F(StoreRelayTest, ChildReceivesWhatTheRelayRead)
{
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return mHeard["u"] == "ready"; });
  EXPECT_FALSE(mFollower->ShouldReadStore());
  EXPECT_TRUE(mReader->ShouldReadStore());

  Read({ false, 11, { { "u", 11, std::nullopt } } });
  RunUntil([&] { return mHeard["u"] == "gone"; });
}

TEST_F(StoreRelayTest, KnowledgeIsNeverYoungerThanTheReadersOwn)
{
  const BootTime read = BootNow() - Milliseconds{ 500 };
  mReader->Store().Apply(StoreCollection::Upstreams,
                         { true, 10, { { "u", 4, "ready" } } });
  mReader->OnConfigConfirmed(read);
  RunUntil([&] { return mHeard["u"] == "ready"; });
  const StoreFreshness& freshness = mFollower->State().mFreshness;
  RunUntil([&] { return freshness.IsKnown(); });
  EXPECT_GE(freshness.Age(BootNow()), Milliseconds{ 500 });
}

TEST_F(StoreRelayTest, WhoLostTheStoreTellsNothingAndIsNotFollowed)
{
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return !mFollower->ShouldReadStore(); });
  mReader->OnUpstreamWatchDown(true);
  RunUntil([&] { return mFollower->ShouldReadStore(); });
}

TEST_F(StoreRelayTest, AStoppingGatewayIsNotFollowed)
{
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return !mFollower->ShouldReadStore(); });
  bool isStopped = false;
  mReader->Stop([&] { isStopped = true; });
  RunUntil([&] { return mFollower->ShouldReadStore(); });
  RunUntil([&] { return isStopped; });
}

TEST_F(StoreRelayTest, WhatWasMissedWhileNobodyAnsweredIsToldAfterwards)
{
  Read({ true, 10, { { "u", 4, "ready" }, { "v", 5, "ready" } } });
  RunUntil([&] { return mHeard["v"] == "ready"; });
  mReader->OnUpstreamWatchDown(true);
  RunUntil([&] { return mFollower->ShouldReadStore(); });
  mReader->OnUpstreamWatchDown(false);
  Read({ true, 20, { { "v", 15, "draining" } } });
  RunUntil([&] {
    mReader->OnConfigConfirmed(BootNow());
    return mHeard["v"] == "draining";
  });
  EXPECT_EQ(mHeard["u"], "gone");
}

} // namespace cactusgw::test
