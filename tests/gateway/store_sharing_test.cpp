#include "cactusgw/gateway/relay_selector.hpp"
#include "cactusgw/gateway/store_backoff.hpp"
#include "cactusgw/gateway/store_view.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

using ::testing::IsEmpty;

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

StoredObject
Object(const std::string& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, "content " + std::to_string(aRevision) };
}

StoredObject
Gone(const std::string& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, std::nullopt };
}

CollectionUpdate
Whole(std::uint64_t aRevision, std::vector<StoredObject> aObjects)
{
  return { true, aRevision, std::move(aObjects) };
}

CollectionUpdate
Part(std::uint64_t aRevision, std::vector<StoredObject> aObjects)
{
  return { false, aRevision, std::move(aObjects) };
}

GatewayPeer
Peer(const std::string& aName, double aCapacity)
{
  return { aName, "10.0.0.1:1", "dc", aCapacity };
}

/// Content of a mirror, by object name.
std::map<std::string, std::string>
Content(const StoreMirror& aMirror)
{
  std::map<std::string, std::string> content;
  for (const StoredObject& object : aMirror.Since(0).mObjects) {
    content[object.mName] = *object.mDocument;
  }
  return content;
}

} // namespace

TEST(StoreMirrorTest, FullListRemovesOmittedObjects)
{
  StoreMirror mirror = StoreMirror::Create();
  mirror.Apply(Whole(10, { Object("a", 1), Object("b", 2) }));
  const std::vector<StoredObject> changed =
    mirror.Apply(Whole(20, { Object("b", 2), Object("c", 15) }));
  ASSERT_EQ(changed.size(), 2U);
  EXPECT_EQ(changed[0].mName, "a");
  EXPECT_FALSE(changed[0].mDocument.has_value());
  EXPECT_EQ(changed[1].mName, "c");
}

TEST(StoreMirrorTest, IgnoresUpdatesOlderThanTheCurrentRevision)
{
  StoreMirror mirror = StoreMirror::Create();
  mirror.Apply(Whole(20, { Object("a", 15) }));
  EXPECT_THAT(mirror.Apply(Whole(10, {})), IsEmpty());
  EXPECT_THAT(mirror.Apply(Part(12, { Gone("a", 12) })), IsEmpty());
  EXPECT_EQ(mirror.Revision(), 20U);
}

TEST(StoreMirrorTest, ChangeOlderThanTheListIsIgnored)
{
  StoreMirror mirror = StoreMirror::Create();
  mirror.Apply(Whole(10, { Object("a", 14) }));
  EXPECT_THAT(mirror.Apply(Part(12, { Object("a", 11) })), IsEmpty());
  EXPECT_EQ(Content(mirror).at("a"), "content 14");
}

TEST(StoreMirrorTest, ChangesSinceARevisionIncludeRemovals)
{
  StoreMirror mirror = StoreMirror::Create();
  mirror.Apply(Whole(10, { Object("a", 1), Object("b", 2) }));
  mirror.Apply(Part(11, { Gone("a", 11) }));
  const CollectionUpdate update = mirror.Since(10);
  EXPECT_FALSE(update.mIsWhole);
  ASSERT_EQ(update.mObjects.size(), 1U);
  EXPECT_FALSE(update.mObjects[0].mDocument.has_value());
}

TEST(StoreMirrorTest, SendsAFullListWhenTombstonesWereDropped)
{
  StoreMirror mirror = StoreMirror::Create();
  mirror.Apply(Whole(1, { Object("kept", 1) }));
  const std::uint64_t count = StoreMirror::kMaxTombstones + 1;
  for (std::uint64_t i = 0; i < count; ++i) {
    mirror.Apply(Part(10 + 2 * i, { Object("x", 10 + 2 * i) }));
    mirror.Apply(Part(11 + 2 * i, { Gone("x", 11 + 2 * i) }));
  }
  EXPECT_TRUE(mirror.Since(5).mIsWhole);
  EXPECT_FALSE(mirror.Since(13).mIsWhole);
}

/// Two mirrors of one store get updates at random from the store or from each
/// other. Guards against a mirror reaching content that the store never had at
/// that revision, such as after a lost removal.
TEST(StoreMirrorTest, SharedStatesAreStatesOfTheStore)
{
  constexpr int kSeeds = 50;
  constexpr int kSteps = 400;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random{ static_cast<std::mt19937::result_type>(seed) };
    StoreMirror store = StoreMirror::Create();
    store.Apply(Whole(1, {}));
    std::array<StoreMirror, 2> mirrors{ StoreMirror::Create(),
                                        StoreMirror::Create() };
    std::map<std::uint64_t, std::map<std::string, std::string>> history;
    history[1] = {};
    for (int step = 0; step < kSteps; ++step) {
      const std::uint64_t next = store.Revision() + 1;
      const std::string name{ static_cast<char>('a' + random() % 6) };
      const bool isGone = random() % 3 == 0;
      store.Apply(
        Part(next, { isGone ? Gone(name, next) : Object(name, next) }));
      history[next] = Content(store);
      StoreMirror& mirror = mirrors[random() % 2];
      const StoreMirror& other =
        &mirror == mirrors.data() ? mirrors[1] : mirrors[0];
      switch (random() % 3) {
        case 0:
          mirror.Apply(store.Since(mirror.Revision()));
          break;
        case 1:
          if (other.IsKnown()) {
            mirror.Apply(other.Since(mirror.Revision()));
          }
          break;
        default:
          break;
      }
      for (const StoreMirror& each : mirrors) {
        if (each.IsKnown()) {
          ASSERT_EQ(Content(each), history[each.Revision()])
            << "seed " << seed << " step " << step;
        }
      }
    }
  }
}

TEST(StoreViewTest, ReportsTheFirstUpdateOfAnEmptyCollection)
{
  StoreView view;
  int callCount = 0;
  view.SetHandler([&](StoreCollection aCollection,
                      const std::vector<StoredObject>& aObjects) {
    EXPECT_EQ(aCollection, StoreCollection::DrainedDataCentres);
    EXPECT_THAT(aObjects, IsEmpty());
    ++callCount;
  });
  view.Apply(StoreCollection::DrainedDataCentres, Whole(5, {}));
  view.Apply(StoreCollection::DrainedDataCentres, Part(9, {}));
  EXPECT_EQ(callCount, 1);
}

TEST(StoreViewTest, LaterRevisionWithoutChangesIsNotAChange)
{
  StoreView view;
  view.SetHandler([](StoreCollection, const std::vector<StoredObject>&) {});
  view.Apply(StoreCollection::Upstreams, Whole(5, { Object("a", 3) }));
  const StoreVersions known = view.Versions();
  view.Apply(StoreCollection::Upstreams, Part(9, {}));
  EXPECT_FALSE(view.HasChangesSince(known));
  view.Apply(StoreCollection::Upstreams, Part(10, { Gone("a", 10) }));
  EXPECT_TRUE(view.HasChangesSince(known));
}

TEST(StoreBackoffTest, DoublesUpToTheMaximumAndRestartsAfterSuccess)
{
  StoreBackoff backoff;
  const Milliseconds last = StoreBackoff::kMaxBackoff;
  EXPECT_EQ(backoff.NextBackoff(last), Milliseconds{ 100 });
  EXPECT_EQ(backoff.NextBackoff(last), Milliseconds{ 200 });
  EXPECT_EQ(backoff.NextBackoff(last), Milliseconds{ 400 });
  EXPECT_EQ(backoff.NextBackoff(last), Milliseconds{ 400 });
  backoff.OnSuccess([] {});
  EXPECT_EQ(backoff.NextBackoff(last), Milliseconds{ 100 });
}

TEST(StoreBackoffTest, LowerMaximumAppliesAtOnce)
{
  StoreBackoff backoff;
  for (int i = 0; i < 6; ++i) {
    backoff.NextBackoff(StoreBackoff::kMaxBackoffWithRelay);
  }
  EXPECT_EQ(backoff.NextBackoff(StoreBackoff::kMaxBackoffWithRelay),
            Milliseconds{ 1600 });
  EXPECT_EQ(backoff.NextBackoff(StoreBackoff::kMaxBackoff),
            Milliseconds{ 400 });
}

TEST(RelaySelectorTest, SelectsTheLargestGatewayOfTheDataCentre)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 0.1));
  EXPECT_TRUE(selector.ShouldRead(At(0)));
  selector.SetPeer(Peer("a", 0.1));
  selector.SetPeer(Peer("c", 0.5));
  selector.SetPeer({ "d", "10.0.0.2:1", "elsewhere", 9 });
  EXPECT_EQ(selector.Relay(At(0)), "c");
  selector.RemovePeer("c");
  EXPECT_EQ(selector.Relay(At(0)), "a");
  selector.RemovePeer("a");
  EXPECT_EQ(selector.Relay(At(0)), std::nullopt);
}

TEST(RelaySelectorTest, RequestsNeverFormACycle)
{
  const std::vector<GatewayPeer> all{ Peer("a", 1),
                                      Peer("b", 1),
                                      Peer("c", 2) };
  for (const GatewayPeer& self : all) {
    RelaySelector selector = RelaySelector::Create(self);
    for (const GatewayPeer& peer : all) {
      selector.SetPeer(peer);
    }
    const std::optional<std::string> relay = selector.Relay(At(0));
    EXPECT_EQ(relay.value_or("none"), self.mName == "c" ? "none" : "c");
  }
}

TEST(RelaySelectorTest, WithoutAGoodAnswerAGatewayReadsItself)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.SetPeer(Peer("a", 1));
  EXPECT_TRUE(selector.ShouldRead(At(0)));
  selector.OnResponse("a", At(0));
  EXPECT_FALSE(selector.ShouldRead(At(799)));
  EXPECT_TRUE(selector.ShouldRead(At(800)));
}

TEST(RelaySelectorTest, BackoffDoublesWithEachTimeout)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.SetPeer(Peer("a", 1));
  selector.OnTimeout("a", At(0));
  EXPECT_EQ(selector.Relay(At(4999)), std::nullopt);
  EXPECT_EQ(selector.Relay(At(5000)), "a");
  selector.OnTimeout("a", At(6000));
  EXPECT_EQ(selector.Relay(At(15'999)), std::nullopt);
  EXPECT_EQ(selector.Relay(At(16'000)), "a");
}

TEST(RelaySelectorTest, AnyMessageEndsTheBackoff)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.SetPeer(Peer("a", 1));
  selector.OnTimeout("a", At(0));
  selector.OnMessageFrom("a");
  EXPECT_EQ(selector.Relay(At(1)), "a");
}

TEST(RelaySelectorTest, GatewayWithoutStoreAccessIsSkippedForABackoff)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.SetPeer(Peer("a", 1));
  selector.OnStoreLost("a", At(0));
  selector.OnMessageFrom("a");
  EXPECT_EQ(selector.Relay(At(1999)), std::nullopt);
  EXPECT_EQ(selector.Parent(At(0)), "a"); // It still responds.
  EXPECT_EQ(selector.Relay(At(2000)), "a");
}

// Only one gateway of a data centre reads the store, even while others ask one
// that has a relay itself.
TEST(RelaySelectorTest, ReadsOnlyWithoutARecentResponse)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.SetPeer(Peer("a", 1));
  selector.SetPeer(Peer("c", 1));
  selector.OnResponse("a", At(0));
  selector.OnMessageFrom("c");
  EXPECT_FALSE(selector.ShouldRead(At(200)));
  EXPECT_TRUE(selector.ShouldRead(At(800)));
}

TEST(RelaySelectorTest, RankCountsTheGatewaysBefore)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 0.5));
  EXPECT_EQ(selector.Rank(), 0U);
  selector.SetPeer(Peer("a", 0.5));
  selector.SetPeer(Peer("c", 0.5));
  selector.SetPeer(Peer("d", 1));
  selector.SetPeer(Peer("e", 0.1));
  selector.SetPeer({ "f", "10.0.0.2:1", "elsewhere", 9 });
  EXPECT_EQ(selector.Rank(), 2U);
}

GatewayPeer
PeerIn(const std::string& aDataCentre,
       const std::string& aName,
       double aCapacity)
{
  return { aName, "10.0.0.1:1", aDataCentre, aCapacity };
}

/// Guards against a reader of the store in each data centre of a large region:
/// each call is charged for.
TEST(RelaySelectorTest, OneDataCentreReadsForTheOthersOfALargeRegion)
{
  const std::set<std::string> region{ "dc-a", "dc-b", "dc-c" };
  RelaySelector selector =
    RelaySelector::Create(PeerIn("dc-b", "b1", 1), region);
  selector.SetPeer(PeerIn("dc-b", "b2", 0.5));
  selector.SetPeer(PeerIn("dc-c", "c1", 2));
  EXPECT_EQ(selector.Relay(At(0)), std::nullopt);
  selector.SetPeer(PeerIn("dc-a", "a1", 0.5));
  selector.SetPeer(PeerIn("dc-a", "a2", 1));
  EXPECT_EQ(selector.Relay(At(0)), "a2");
  EXPECT_EQ(selector.Parent(At(0)), std::nullopt);
  selector.OnResponse("a2", At(0));
  EXPECT_FALSE(selector.ShouldRead(At(100)));
}

/// Guards against a data centre that stops reading when the one that read for
/// it is cut off.
TEST(RelaySelectorTest, ReadsItselfWhileTheReaderOfTheRegionIsSilent)
{
  const std::set<std::string> region{ "dc-a", "dc-b", "dc-c" };
  RelaySelector selector =
    RelaySelector::Create(PeerIn("dc-b", "b1", 1), region);
  selector.SetPeer(PeerIn("dc-a", "a1", 1));
  selector.OnResponse("a1", At(0));
  EXPECT_TRUE(selector.ShouldRead(At(800)));
  selector.OnTimeout("a1", At(1000));
  EXPECT_EQ(selector.Relay(At(1000)), std::nullopt);
  selector.OnMessageFrom("a1");
  EXPECT_EQ(selector.Relay(At(1100)), "a1");
}

/// Guards against requests that are refused for want of a configuration after a
/// common start, while a data centre waits for another one.
TEST(RelaySelectorTest, AfterTheStartADataCentreDoesNotWaitForAnotherOne)
{
  const std::set<std::string> region{ "dc-a", "dc-b", "dc-c" };
  RelaySelector selector =
    RelaySelector::Create(PeerIn("dc-b", "b1", 1), region);
  selector.OnStarted(At(0));
  selector.SetPeer(PeerIn("dc-a", "a1", 1));
  selector.SetPeer(PeerIn("dc-b", "b2", 0.5));
  selector.OnPeersListed(At(100));
  EXPECT_TRUE(selector.ShouldRead(At(100)));
}

TEST(RelaySelectorTest, EachDataCentreOfASmallRegionReadsItself)
{
  RelaySelector selector =
    RelaySelector::Create(PeerIn("dc-b", "b1", 1), { "dc-a", "dc-b" });
  selector.SetPeer(PeerIn("dc-a", "a1", 1));
  EXPECT_EQ(selector.Relay(At(0)), std::nullopt);
}

TEST(RelaySelectorTest, AfterTheStartAGatewayWaitsForTheListOfGateways)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.OnStarted(At(0));
  EXPECT_FALSE(selector.ShouldRead(At(1499)));
  EXPECT_TRUE(selector.ShouldRead(At(1500)));
}

TEST(RelaySelectorTest, AfterTheStartAGatewayWaitsForARelay)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.OnStarted(At(0));
  selector.SetPeer(Peer("a", 1));
  selector.OnPeersListed(At(100));
  EXPECT_FALSE(selector.ShouldRead(At(1299)));
  EXPECT_TRUE(selector.ShouldRead(At(1300)));
}

TEST(RelaySelectorTest, AfterTheStartARelayWithoutStoreAccessIsNotWaitedFor)
{
  RelaySelector selector = RelaySelector::Create(Peer("b", 1));
  selector.OnStarted(At(0));
  selector.SetPeer(Peer("a", 1));
  selector.OnPeersListed(At(100));
  selector.OnStoreLost("a", At(300));
  EXPECT_TRUE(selector.ShouldRead(At(300)));
}

TEST(RelaySelectorTest, AfterTheStartTheFirstGatewayReadsAtOnce)
{
  RelaySelector selector = RelaySelector::Create(Peer("a", 1));
  selector.OnStarted(At(0));
  selector.SetPeer(Peer("b", 1));
  selector.OnPeersListed(At(100));
  EXPECT_TRUE(selector.ShouldRead(At(100)));
}

TEST(RelaySelectorTest, AfterTheStartAnOnlyGatewayWaitsForOthersToRegister)
{
  RelaySelector selector = RelaySelector::Create(Peer("a", 1));
  selector.OnStarted(At(0));
  selector.OnPeersListed(At(100));
  EXPECT_FALSE(selector.ShouldReadPeers(At(299)));
  EXPECT_TRUE(selector.ShouldReadPeers(At(300)));
  EXPECT_FALSE(selector.ShouldRead(At(449)));
  EXPECT_TRUE(selector.ShouldRead(At(450)));
}

/// All gateways of a data centre start within a given time, register after a
/// call to the store, and list the registrations after another. Counts the
/// gateways that would read the whole store.
std::size_t
ReadersAfterACommonStart(std::size_t aGateways,
                         std::int64_t aSpreadMs,
                         unsigned aSeed)
{
  constexpr std::int64_t kCallMs = 50;
  std::mt19937 random{ aSeed };
  std::vector<GatewayPeer> all;
  std::vector<std::int64_t> starts;
  for (std::size_t i = 0; i < aGateways; ++i) {
    all.push_back(Peer("g" + std::to_string(i), i < 3 ? 0.5 : 0.12));
    starts.push_back(static_cast<std::int64_t>(random() % (1 + aSpreadMs)));
  }
  std::size_t readers = 0;
  for (std::size_t i = 0; i < aGateways; ++i) {
    RelaySelector selector = RelaySelector::Create(all[i]);
    selector.OnStarted(At(starts[i]));
    const std::int64_t listedAt = starts[i] + kCallMs;
    const std::int64_t watchedAt =
      listedAt + RelaySelector::kSettleTime.count();
    for (const std::int64_t knownAt : { listedAt, watchedAt }) {
      for (std::size_t j = 0; j < aGateways; ++j) {
        if (j != i && starts[j] + 2 * kCallMs <= knownAt) {
          selector.SetPeer(all[j]);
        }
      }
      selector.OnPeersListed(At(knownAt));
    }
    const std::int64_t decidedAt =
      watchedAt + RelaySelector::kSecondListTime.count();
    readers += selector.ShouldRead(At(decidedAt)) ? 1 : 0;
  }
  return readers;
}

// The number of gateways that read the store must not grow with the fleet.
TEST(RelaySelectorTest, FewGatewaysReadAfterACommonStart)
{
  for (const std::size_t gateways : { 5U, 16U, 50U, 166U }) {
    std::size_t most = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
      most = std::max(most, ReadersAfterACommonStart(gateways, 300, seed));
    }
    EXPECT_LE(most, 8U) << gateways << " gateways";
  }
}

} // namespace cactusgw::test
