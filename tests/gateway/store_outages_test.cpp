#include "cactusgw/gateway/collection_watcher.hpp"
#include "cactusgw/gateway/store_outages.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw::test {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

Instant
At(std::int64_t aMs)
{
  return Instant{} + std::chrono::hours{ 1 } + Milliseconds{ aMs };
}

UpstreamRecord
Record(const std::string& aId, std::int64_t aStartedMs = 7)
{
  UpstreamRecord record;
  record.mId = aId;
  record.mService = "s";
  record.mAddress = "10.0.0.1:80";
  record.mStartedMs = aStartedMs;
  return record;
}

} // namespace

TEST(StoreOutagesTest, AnOutageEndsWithTheFirstAnswerOfAnyCall)
{
  StoreOutages outages = StoreOutages::Create();
  EXPECT_EQ(outages.OnAnswer(At(0)), std::nullopt);
  outages.OnFailure(At(100));
  EXPECT_FALSE(outages.IsAnswering());
  EXPECT_EQ(outages.OnAnswer(At(4500)), Milliseconds{ 4500 });
  EXPECT_TRUE(outages.IsAnswering());
}

// Guards against a watch that waits longer than others, fails seconds after the
// store is back, and was taken for an outage of its own.
TEST(StoreOutagesTest, ACallThatFailsBesideOthersIsNoOutage)
{
  StoreOutages outages = StoreOutages::Create();
  for (std::int64_t i = 0; i < 20; ++i) {
    EXPECT_EQ(outages.OnAnswer(At(1000 * i)), std::nullopt);
    outages.OnFailure(At(1000 * i + 100));
  }
}

// Guards against a second grace period when calls that were open during the
// outage fail after it.
TEST(StoreOutagesTest, ACallFromBeforeTheReturnEndsNoOutage)
{
  StoreOutages outages = StoreOutages::Create();
  outages.OnAnswer(At(0));
  outages.OnFailure(At(1000));
  EXPECT_EQ(outages.OnAnswer(At(5000)), Milliseconds{ 5000 });
  outages.OnFailure(At(4900));
  EXPECT_TRUE(outages.IsAnswering());
  EXPECT_EQ(outages.OnAnswer(At(6300)), std::nullopt);
}

// Guards against a second return at a gateway that heard from another one of an
// answer from the beginning of the outage, after a call of its own had failed.
TEST(StoreOutagesTest, AnAnswerFromBeforeAFailedCallEndsNoOutage)
{
  StoreOutages outages = StoreOutages::Create();
  outages.OnAnswer(At(0));
  outages.OnFailure(At(1800));
  EXPECT_EQ(outages.OnAnswer(At(1750)), std::nullopt);
  EXPECT_FALSE(outages.IsAnswering());
  EXPECT_EQ(outages.OnAnswer(At(3100)), Milliseconds{ 1350 });
}

TEST(StoreOutagesTest, CallsThatSurviveAnOutageShowItByTheirSilence)
{
  StoreOutages outages = StoreOutages::Create();
  outages.OnAnswer(At(0));
  EXPECT_EQ(outages.OnAnswer(At(2399)), std::nullopt);
  EXPECT_EQ(outages.OnAnswer(At(4799)), Milliseconds{ 2400 });
}

TEST(StoreOutagesTest, AnOlderAnswerThatArrivesLateTellsNothing)
{
  StoreOutages outages = StoreOutages::Create();
  outages.OnAnswer(At(9000));
  outages.OnFailure(At(9100));
  EXPECT_EQ(outages.OnAnswer(At(3000)), std::nullopt);
  EXPECT_FALSE(outages.IsAnswering());
  EXPECT_EQ(outages.AnsweredAt(), At(9000));
}

// A removal in the grace period is meant if the upstream has registered since
// the outage.
TEST(UpstreamDirectoryTest, ARegistrationWrittenAfterTheOutageHasNotExpired)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.OnStoreReturned(At(1000));
  EXPECT_EQ(directory.Remove("u", At(1100)), DirectoryChange::Updated);
  directory.Put(Record("u"), At(1500));
  EXPECT_EQ(directory.Remove("u", At(1800)),
            DirectoryChange::DrainingOrRemoved);
}

// The first changes after an outage also hold writes from before it.
TEST(UpstreamDirectoryTest, ARegistrationOfTheFirstChangesMayHaveExpired)
{
  UpstreamDirectory directory = UpstreamDirectory::Create();
  directory.Put(Record("u"), At(0));
  directory.OnStoreReturned(At(1000));
  directory.Put(Record("u", 8), At(1100));
  EXPECT_EQ(directory.Remove("u", At(1300)), DirectoryChange::Updated);
  EXPECT_THAT(directory.RemoveExpired(At(3000)), ElementsAre("u"));
}

namespace {

/// A store that answers calls from a script, one failure or update a call.
struct ScriptedCalls
{
  Task<Result<CollectionUpdate>> List() { co_return Take(); }
  Task<Result<CollectionUpdate>> Watch(std::uint64_t /*aRevision*/,
                                       Milliseconds /*aWait*/)
  {
    co_return Take();
  }

  Result<CollectionUpdate> Take()
  {
    if (mAnswers.empty()) {
      mContext.stop();
      return NotRun(FailureCode::StoreUnavailable, "no more answers");
    }
    Result<CollectionUpdate> answer = std::move(mAnswers.front());
    mAnswers.pop_front();
    return answer;
  }

  net::io_context& mContext;
  std::deque<Result<CollectionUpdate>>& mAnswers;
};

} // namespace

// A store that has lost its history is not away.
TEST(StoreOutagesTest, EachAnswerIsReportedBeforeItIsUsed)
{
  net::io_context context{ 1 };
  std::deque<Result<CollectionUpdate>> answers{
    CollectionUpdate{ true, 9, {} },
    NotRun(FailureCode::HistoryCompacted, "compacted"),
    NotRun(FailureCode::StoreUnavailable, "reset"),
    CollectionUpdate{ true, 12, {} }
  };
  std::string seen;
  std::uint64_t revision = 0;
  WatcherEvents events;
  events.mShouldRead = [] { return true; };
  events.mVersion = [&] { return StoreVersion{ revision }; };
  events.mEra = [] { return 0U; };
  events.mOnUpdate = [&](const CollectionUpdate& aUpdate) {
    revision = aUpdate.mRevision;
    seen += "u";
  };
  events.mMaxBackoff = [] { return Milliseconds{ 1 }; };
  events.mShouldRetry = [] { return true; };
  events.mOnAnswered = [&] { seen += "a"; };
  events.mOnUnanswered = [&](Instant) { seen += "-"; };
  events.mOnUnavailable = [](const Failure&) {};
  events.mOnRecovered = [] {};
  CollectionWatcher<ScriptedCalls> watcher{ ScriptedCalls{ context, answers },
                                            Milliseconds{ 1 },
                                            Milliseconds{ 0 },
                                            events };
  net::co_spawn(context, watcher.Run(), net::detached);
  context.run();
  EXPECT_EQ(seen, "aua-au-");
}

using StoreReturnTest = GatewayTest;

// Guards against removed upstreams that got requests for seconds: each
// collection that could be read again after an outage began a new time in which
// they were kept.
TEST_F(StoreReturnTest, CollectionsThatAreReadAgainLateBeginNoGracePeriod)
{
  const std::unique_ptr<Gateway> gateway = MakeGateway(mSettings);
  gateway->Store().SetHandler(
    [](StoreCollection, const std::vector<StoredObject>&) {});
  const UpstreamDirectory& directory = gateway->State().mDirectory;
  const Instant before = directory.GraceUntil();
  gateway->OnStoreRecovered("versions of streams");
  gateway->OnStoreRecovered("gateways");
  EXPECT_EQ(directory.GraceUntil(), before);
}

// The same for a store that was restored from a copy: collections that seldom
// change show its era seconds later.
TEST_F(StoreReturnTest, ARestorationIsOneReturn)
{
  const std::unique_ptr<Gateway> gateway = MakeGateway(mSettings);
  gateway->Store().SetHandler(
    [](StoreCollection, const std::vector<StoredObject>&) {});
  const auto apply = [&](StoreCollection aCollection, std::uint64_t aEra) {
    gateway->Store().Apply(aCollection, { true, 10, {}, aEra }, SteadyNow());
  };
  apply(StoreCollection::Upstreams, 1);
  apply(StoreCollection::Quarantines, 1);
  apply(StoreCollection::Upstreams, 2);
  const Instant end = gateway->State().mDirectory.GraceUntil();
  EXPECT_NE(end, Instant{});
  apply(StoreCollection::Quarantines, 2);
  EXPECT_EQ(gateway->State().mDirectory.GraceUntil(), end);
  apply(StoreCollection::Quarantines, 3);
  EXPECT_GT(gateway->State().mDirectory.GraceUntil(), end);
}

// Guards against a sound upstream that counted as leaving, here and by a notice
// at all other gateways: its registration expired in an outage and was written
// again before it was read.
TEST_F(StoreReturnTest, ARegistrationThatIsBackInTheSameAnswerIsNotRemoved)
{
  const std::unique_ptr<Gateway> gateway = MakeGateway(mSettings);
  gateway->OnUpstreamChanges({ { "u", Record("u") }, { "v", Record("v") } });
  gateway->OnUpstreamChanges(
    { { "u", std::nullopt }, { "u", Record("u") }, { "v", std::nullopt } });
  EXPECT_THAT(gateway->State().mDrainNotices.Recent(SteadyNow()),
              ElementsAre(::testing::Field(&DrainingUpstream::mId, "v")));
  EXPECT_NE(gateway->State().mDirectory.Find("u"), nullptr);
}

namespace {

/// Time within which the platform registers live upstreams again.
constexpr std::int64_t kReregistrationMs = 1900;
/// Time after an outage from which a removal counts as meant.
constexpr std::int64_t kStableMs = 4000;
/// Time that a gateway has to act on a removal that was meant.
constexpr std::int64_t kDrainMs = 2500;

/// The store and the calls of one gateway, in virtual time.
class VirtualStore
{
public:
  explicit VirtualStore(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < kUpstreams; ++i) {
      mDirectory.Put(Record("u" + std::to_string(i)), At(0));
    }
    for (std::size_t i = 0; i < mCalls.size(); ++i) {
      mCalls[i].mEndsAt = Between(1, mWaits[i]);
    }
  }

  /// An outage, in which registrations expire, of calls that fail at once or
  /// only by a timeout.
  void Break(std::int64_t aFrom, std::int64_t aTo, bool aIsSilent)
  {
    mFrom = aFrom;
    mTo = aTo;
    mIsSilent = aIsSilent;
    for (int i = 0; i < kUpstreams; i += 2) {
      const std::string id = "u" + std::to_string(i);
      mChanges[aTo].push_back({ id, std::nullopt });
      mChanges[aTo + Between(100, kReregistrationMs)].push_back(
        { id, Record(id) });
    }
  }

  void RemoveAt(std::int64_t aMs, const std::string& aId)
  {
    mChanges[aMs].push_back({ aId, std::nullopt });
  }

  /// @return ids that were removed, with the time
  std::map<std::string, std::int64_t> Play(std::int64_t aUntil)
  {
    std::map<std::string, std::int64_t> removed;
    for (std::int64_t now = 0; now <= aUntil; now += kStepMs) {
      for (std::size_t i = 0; i < mCalls.size(); ++i) {
        Step(i, now);
      }
      if (mOutages.IsAnswering()) {
        mDirectory.RemoveExpired(At(now));
      }
      for (int i = 0; i < kUpstreams; ++i) {
        const std::string id = "u" + std::to_string(i);
        if (mDirectory.Find(id) == nullptr) {
          removed.emplace(id, now);
        }
      }
    }
    return removed;
  }

  std::int64_t Between(std::int64_t aLow, std::int64_t aHigh)
  {
    return std::uniform_int_distribution<std::int64_t>{ aLow, aHigh }(mRandom);
  }

  static constexpr int kUpstreams = 6;

private:
  static constexpr std::int64_t kStepMs = 25;
  static constexpr std::int64_t kTimeoutMs = 800;
  /// The second collection is that of upstreams.
  static constexpr std::size_t kUpstreamCalls = 1;

  struct Call
  {
    std::int64_t mStartedAt = 0;
    std::int64_t mEndsAt = 0;
    bool mIsLost = false;
  };

  bool IsAway(std::int64_t aNow) const { return mFrom <= aNow && aNow < mTo; }

  void Step(std::size_t aIndex, std::int64_t aNow)
  {
    Call& call = mCalls[aIndex];
    const bool isUpstreams = aIndex == kUpstreamCalls;
    if (IsAway(aNow) && !call.mIsLost) {
      call.mIsLost = true;
      call.mEndsAt =
        mIsSilent ? call.mStartedAt + mWaits[aIndex] + kTimeoutMs : aNow;
    }
    const bool hasNews =
      isUpstreams && !call.mIsLost &&
      mChanges.upper_bound(mKnownUntil) != mChanges.upper_bound(aNow);
    if (aNow < call.mEndsAt && !hasNews) {
      return;
    }
    if (call.mIsLost) {
      mOutages.OnFailure(At(call.mStartedAt));
    } else {
      const std::optional<Milliseconds> outage = mOutages.OnAnswer(At(aNow));
      if (outage) {
        mDirectory.OnStoreReturned(At(aNow));
      }
      if (isUpstreams) {
        ReadChanges(aNow);
      }
    }
    const std::int64_t pause = call.mIsLost ? Between(100, 400) : 0;
    call = Call{ aNow + pause, aNow + pause + mWaits[aIndex], false };
  }

  void ReadChanges(std::int64_t aNow)
  {
    std::map<std::string, std::optional<UpstreamRecord>> last;
    for (auto it = mChanges.upper_bound(mKnownUntil);
         it != mChanges.upper_bound(aNow);
         ++it) {
      for (const Change<UpstreamRecord>& change : it->second) {
        last[change.mName] = change.mValue;
      }
    }
    mKnownUntil = aNow;
    for (auto& [id, record] : last) {
      if (record) {
        mDirectory.Put(*record, At(aNow));
      } else {
        mDirectory.Remove(id, At(aNow));
      }
    }
  }

  std::mt19937_64 mRandom;
  StoreOutages mOutages = StoreOutages::Create();
  UpstreamDirectory mDirectory = UpstreamDirectory::Create();
  /// How long a call of each collection waits.
  std::array<std::int64_t, 7> mWaits{
    1000, 2000, 3000, 15000, 15000, 3000, 5000
  };
  std::array<Call, 7> mCalls;
  std::int64_t mFrom = 0;
  std::int64_t mTo = 0;
  bool mIsSilent = false;
  /// By the time at which the store makes them.
  std::map<std::int64_t, std::vector<Change<UpstreamRecord>>> mChanges;
  std::int64_t mKnownUntil = 0;
};

} // namespace

// Both sides of one rule, for outages of any length and watches of all waits:
// what expired is kept until it is back, and what is removed later ends.
TEST(StoreOutagesTest, KeepsWhatExpiredAndEndsWhatIsRemoved)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    VirtualStore store{ seed };
    const std::int64_t from = 16'000 + store.Between(0, 2000);
    const std::int64_t to = from + store.Between(2500, 9000);
    store.Break(from, to, seed % 2 == 0);
    // A live upstream with a registration that has expired and is back, and one
    // without.
    const std::int64_t first = to + kStableMs + store.Between(0, 12'000);
    const std::int64_t second = to + kStableMs + store.Between(0, 12'000);
    store.RemoveAt(first, "u0");
    store.RemoveAt(second, "u1");
    const std::map<std::string, std::int64_t> removed =
      store.Play(to + kStableMs + 16'000);
    ASSERT_EQ(removed.size(), 2U);
    EXPECT_GE(removed.at("u0"), first);
    EXPECT_LE(removed.at("u0"), first + kDrainMs);
    EXPECT_GE(removed.at("u1"), second);
    EXPECT_LE(removed.at("u1"), second + kDrainMs);
  }
}

} // namespace cactusgw::test
