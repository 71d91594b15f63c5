#include "cactusgw/net/steady_now.hpp"
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

// Guards against a gateway that kept removed upstreams for as long as a relay
// of an earlier release did. That release states no age of the store's answers,
// and begins the time anew for each collection that it can read again.
TEST_F(StoreRelayTest, TheLapseTimeOfAnEarlierReleaseIsNotTakenOver)
{
  mRelay->State().mDirectory.OnStoreReturned(SteadyNow() +
                                             std::chrono::hours{ 1 });
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return mReceived["u"] == "ready"; });
  Read({ false, 11, { { "u", 11, std::nullopt } } });
  RunUntil([&] { return mReceived["u"] == "gone"; });
  EXPECT_EQ(mChild->State().mDirectory.GraceUntil(), Instant{});
}

// Guards against a child that learned of an outage later than its relay, and
// then kept removed upstreams for longer.
TEST_F(StoreRelayTest, TheRelayTellsWhenTheStoreReturned)
{
  const Instant now = SteadyNow();
  GatewayState& relay = mRelay->State();
  GatewayState& child = mChild->State();
  relay.OnStoreAnswered(now - Milliseconds{ 9000 }, "store");
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return child.mStoreOutages.AnsweredAt().has_value(); });
  relay.OnStoreAnswered(now - Milliseconds{ 1000 }, "store");
  const Instant end = relay.mDirectory.GraceUntil();
  EXPECT_EQ(end, now + Milliseconds{ 1000 });
  RunUntil([&] { return child.mDirectory.GraceUntil() != Instant{}; });
  EXPECT_LE(child.mDirectory.GraceUntil(), end + StoreRelay::kResponseTimeout);
}

// Guards against a child that took a planned stop of its relay, or a watch that
// failed there alone, for an outage of the store.
TEST_F(StoreRelayTest, ARelayWithoutContentMayStillReachTheStore)
{
  mRelay->State().OnStoreAnswered(SteadyNow() - Milliseconds{ 5000 }, "store");
  Read({ true, 10, { { "u", 4, "ready" } } });
  RunUntil([&] { return mReceived["u"] == "ready"; });
  const std::optional<Instant> before =
    mChild->State().mStoreOutages.AnsweredAt();
  mRelay->OnUpstreamWatchDown(true);
  mRelay->State().OnStoreAnswered(SteadyNow() - Milliseconds{ 4000 }, "store");
  RunUntil([&] { return mChild->ShouldReadStore(); });
  EXPECT_GT(mChild->State().mStoreOutages.AnsweredAt(), before);
  EXPECT_EQ(mChild->State().mDirectory.GraceUntil(), Instant{});
}

} // namespace cactusgw::test
