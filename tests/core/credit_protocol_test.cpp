#include "cactusgw/core/credit_ledger.hpp"
#include "cactusgw/core/hash.hpp"
#include "cactusgw/core/static_share.hpp"
#include "cactusgw/core/vm_credits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

// Exhaustive state exploration of the credit protocol for a small system, on
// the production CreditLedger and VmCredits. Covers all interleavings with lost
// and delayed messages, expiring grants, VMs that stop reporting and owners
// that are replaced while credits are in use. At most one report and two grants
// are in transit; a further message replaces the oldest of its kind, which is
// lost. The number of reports, ticks and owners is bounded; within these bounds
// the exploration is complete. In no state may the number of requests in flight
// exceed the limit.

namespace cactusgw {
namespace {

constexpr std::size_t kVms = 3;
constexpr CreditTimes kTimes{ Milliseconds{ 1 },
                              Milliseconds{ 1 },
                              Milliseconds{ 2 } };
const std::vector<std::string> kNames{ "vm-1", "vm-2", "vm-3" };

/// Bounds of the exploration.
struct Bounds
{
  int mTicks = 0;
  int mReports = 0;
  std::uint64_t mOwners = 2;
};

/// Bounds large enough to find each fault injected by the tests below. Higher
/// limits have more states, so their bounds are lower.
Bounds
ManyTicksBounds(std::uint32_t aLimit)
{
  return aLimit == 1 ? Bounds{ 3, 4 } : Bounds{ 2, 3 };
}

Bounds
ManyReportsBounds(std::uint32_t aLimit)
{
  return aLimit == 1 ? Bounds{ 1, 5 } : Bounds{ 1, 4 };
}

/// Protocol rules that a test can disable to verify that the check detects the
/// violation.
struct Rules
{
  /// The owner reserves the static shares of VMs that don't report.
  bool mReserveShares = true;
  /// A new owner assumes that credits granted by the former one may be in use.
  bool mReserveFormerGrants = true;
};

/// A message in transit. A message that is never delivered counts as lost.
struct InTransit
{
  std::size_t mVm = 0;
  std::optional<CreditReport> mReport;
  std::optional<CreditGrant> mGrant;
};

struct Flight
{
  std::size_t mVm = 0;
  int mTicksLeft = 0;
};

/// One state of the whole system, copied for each branch of the exploration.
struct World
{
  Instant mNow;
  int mTicks = 0;
  int mReports = 0;
  std::uint64_t mEpoch = 1;
  CreditLedger mLedger;
  std::vector<VmCredits> mCredits;
  std::vector<InTransit> mTransit;
  std::vector<Flight> mFlights;
  /// Sequence number of the last report of each VM delivered to the current
  /// owner.
  std::vector<std::uint64_t> mReached = std::vector<std::uint64_t>(kVms, 0);
};

/// Removes messages whose delivery would have no effect.
void
DropSpent(World& aWorld)
{
  std::erase_if(aWorld.mTransit, [&](const InTransit& aMessage) {
    if (aMessage.mReport) {
      return aMessage.mReport->mEpoch != aWorld.mEpoch ||
             aMessage.mReport->mReportSequence <= aWorld.mReached[aMessage.mVm];
    }
    VmCredits credits = aWorld.mCredits[aMessage.mVm];
    return !credits.OnGrant(*aMessage.mGrant, aWorld.mNow);
  });
}

std::string
Describe(const InTransit& aMessage)
{
  if (aMessage.mReport) {
    const CreditReport& report = *aMessage.mReport;
    return "r" + std::to_string(aMessage.mVm) + "," +
           std::to_string(report.mEpoch) + "," +
           std::to_string(report.mReportSequence) + "," +
           std::to_string(report.mAcknowledgedGrant) + "," +
           std::to_string(report.mCap) + "," + std::to_string(report.mInUse);
  }
  const CreditGrant& grant = *aMessage.mGrant;
  return "g" + std::to_string(aMessage.mVm) + "," +
         std::to_string(grant.mEpoch) + "," +
         std::to_string(grant.mGrantSequence) + "," +
         std::to_string(grant.mAnswersReport) + "," +
         std::to_string(grant.mAllotment);
}

/// Returns a key that is equal for states with the same possible successors.
std::string
Describe(const World& aWorld)
{
  std::string text = std::to_string(aWorld.mTicks) + "|" +
                     std::to_string(aWorld.mReports) + "|" +
                     aWorld.mLedger.Describe(aWorld.mNow);
  for (const VmCredits& credits : aWorld.mCredits) {
    text += "|" + credits.Describe(aWorld.mNow);
  }
  std::vector<std::string> parts;
  for (const InTransit& message : aWorld.mTransit) {
    parts.push_back(Describe(message));
  }
  for (const Flight& flight : aWorld.mFlights) {
    parts.push_back("f" + std::to_string(flight.mVm) + "," +
                    std::to_string(flight.mTicksLeft));
  }
  std::sort(parts.begin(), parts.end());
  for (const std::string& part : parts) {
    text += "|" + part;
  }
  return text;
}

class Explorer
{
public:
  Explorer(std::uint32_t aLimit, Bounds aBounds, Rules aRules)
    : mLimit(aLimit)
    , mBounds(aBounds)
    , mRules(aRules)
  {
  }

  void Run()
  {
    Trace trace;
    Visit(MakeWorld(), trace);
  }

  std::uint64_t States() const { return mSeen.size(); }
  /// Number of states in which the whole limit was in use. Zero would mean that
  /// the check is vacuous.
  std::uint64_t FullStates() const { return mFullStates; }
  const std::string& Violation() const { return mViolation; }

private:
  using Trace = std::vector<std::string>;

  std::vector<CreditHolder> Holders() const
  {
    std::vector<CreditHolder> holders;
    for (const std::string& name : kNames) {
      const std::uint32_t share = StaticShare("u", name, kNames, mLimit);
      holders.push_back({ name, mRules.mReserveShares ? share : 0 });
    }
    return holders;
  }

  World MakeWorld() const
  {
    // The VMs started long enough ago to use their static shares.
    const Instant now = Instant{} + std::chrono::hours{ 2 };
    const Instant started = now - kTimes.mGrantValidity - kTimes.mGuard;
    std::vector<VmCredits> credits;
    credits.reserve(kVms);
    for (const std::string& name : kNames) {
      credits.push_back(VmCredits::Create(
        StaticShare("u", name, kNames, mLimit), 0, started, kTimes));
    }
    return { now,
             0,
             0,
             1,
             CreditLedger::Create(Holders(), 1, now, kTimes),
             std::move(credits),
             {},
             {} };
  }

  void Visit(const World& aWorld, Trace& aTrace)
  {
    const bool isDone = !mViolation.empty();
    if (isDone || !mSeen.insert(StableHash(Describe(aWorld))).second) {
      return;
    }
    mFullStates += aWorld.mFlights.size() == mLimit ? 1 : 0;
    if (aWorld.mFlights.size() > mLimit) {
      for (const std::string& step : aTrace) {
        mViolation += step + "; ";
      }
      return;
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      SendReport(aWorld, vm, aTrace);
      SendRequests(aWorld, vm, aTrace);
    }
    for (std::size_t i = 0; i < aWorld.mTransit.size(); ++i) {
      Deliver(aWorld, i, aTrace);
    }
    PassTime(aWorld, aTrace);
    ReplaceOwner(aWorld, aTrace);
  }

  /// Adds a message in transit. When there is no room, the oldest message of
  /// its kind is lost.
  static void Send(World& aWorld, InTransit aMessage)
  {
    const bool isReport = aMessage.mReport.has_value();
    const std::ptrdiff_t room = isReport ? 1 : 2;
    const auto isSameKind = [&](const InTransit& aOther) {
      return aOther.mReport.has_value() == isReport;
    };
    std::vector<InTransit>& transit = aWorld.mTransit;
    if (std::count_if(transit.begin(), transit.end(), isSameKind) == room) {
      transit.erase(std::find_if(transit.begin(), transit.end(), isSameKind));
    }
    transit.push_back(std::move(aMessage));
  }

  void Step(World& aNext, Trace& aTrace, std::string aName)
  {
    DropSpent(aNext);
    aTrace.push_back(std::move(aName));
    Visit(aNext, aTrace);
    aTrace.pop_back();
  }

  void SendReport(const World& aWorld, std::size_t aVm, Trace& aTrace)
  {
    if (aWorld.mReports == mBounds.mReports) {
      return;
    }
    World next = aWorld;
    ++next.mReports;
    InTransit message;
    message.mVm = aVm;
    message.mReport =
      next.mCredits[aVm].MakeReport(next.mEpoch, mLimit, next.mNow);
    Send(next, std::move(message));
    Step(next, aTrace, kNames[aVm] + " sends a report");
  }

  void SendRequests(const World& aWorld, std::size_t aVm, Trace& aTrace)
  {
    if (aWorld.mCredits[aVm].Free(aWorld.mNow) == 0) {
      return;
    }
    World next = aWorld;
    while (next.mCredits[aVm].TryAcquire(next.mNow)) {
      next.mFlights.push_back(
        { aVm, static_cast<int>(kTimes.mMaxRequestTime.count()) });
    }
    Step(next,
         aTrace,
         kNames[aVm] + " sends as many requests as its credits allow");
  }

  void Deliver(const World& aWorld, std::size_t aIndex, Trace& aTrace)
  {
    World next = aWorld;
    const InTransit message = next.mTransit[aIndex];
    next.mTransit.erase(next.mTransit.begin() +
                        static_cast<std::ptrdiff_t>(aIndex));
    const std::string& name = kNames[message.mVm];
    if (message.mGrant) {
      next.mCredits[message.mVm].OnGrant(*message.mGrant, next.mNow);
      Step(next, aTrace, "a grant is delivered to " + name);
      return;
    }
    next.mReached[message.mVm] = message.mReport->mReportSequence;
    for (const CreditGrant& grant :
         next.mLedger.OnReport(name, *message.mReport, mLimit, next.mNow)) {
      const auto it = std::find(kNames.begin(), kNames.end(), grant.mVm);
      InTransit answer;
      answer.mVm = static_cast<std::size_t>(it - kNames.begin());
      answer.mGrant = grant;
      Send(next, std::move(answer));
    }
    Step(next, aTrace, "a report of " + name + " is delivered");
  }

  void PassTime(const World& aWorld, Trace& aTrace)
  {
    if (aWorld.mTicks == mBounds.mTicks) {
      return;
    }
    World next = aWorld;
    ++next.mTicks;
    next.mNow += Milliseconds{ 1 };
    std::erase_if(next.mFlights, [&](Flight& aFlight) {
      const bool isOver = --aFlight.mTicksLeft == 0;
      if (isOver) {
        next.mCredits[aFlight.mVm].Release();
      }
      return isOver;
    });
    Step(next, aTrace, "one tick elapses");
  }

  void ReplaceOwner(const World& aWorld, Trace& aTrace)
  {
    if (aWorld.mEpoch == mBounds.mOwners) {
      return;
    }
    World next = aWorld;
    ++next.mEpoch;
    next.mReached.assign(kVms, 0);
    const Instant started = mRules.mReserveFormerGrants
                              ? next.mNow
                              : next.mNow - std::chrono::hours{ 1 };
    next.mLedger =
      CreditLedger::Create(Holders(), next.mEpoch, started, kTimes);
    Step(next, aTrace, "a new owner starts");
  }

  std::uint32_t mLimit;
  Bounds mBounds;
  Rules mRules;
  std::unordered_set<std::uint64_t> mSeen;
  std::uint64_t mFullStates = 0;
  std::string mViolation;
};

class CreditProtocolForLimit : public testing::TestWithParam<std::uint32_t>
{};

TEST_P(CreditProtocolForLimit, IsKeptOverALongTimeInAnyInterleaving)
{
  Explorer explorer{ GetParam(), ManyTicksBounds(GetParam()), Rules{} };
  explorer.Run();
  EXPECT_EQ(explorer.Violation(), "");
  EXPECT_GT(explorer.FullStates(), 0U);
  RecordProperty("states", std::to_string(explorer.States()));
}

TEST_P(CreditProtocolForLimit, IsKeptWithManyReportsInAnyInterleaving)
{
  Explorer explorer{ GetParam(), ManyReportsBounds(GetParam()), Rules{} };
  explorer.Run();
  EXPECT_EQ(explorer.Violation(), "");
  EXPECT_GT(explorer.FullStates(), 0U);
  RecordProperty("states", std::to_string(explorer.States()));
}

TEST_P(CreditProtocolForLimit, IsExceededWithoutReservedShares)
{
  Rules rules;
  rules.mReserveShares = false;
  Explorer explorer{ GetParam(), ManyTicksBounds(GetParam()), rules };
  explorer.Run();
  EXPECT_NE(explorer.Violation(), "");
}

TEST_P(CreditProtocolForLimit, IsExceededIfANewOwnerIgnoresFormerGrants)
{
  Rules rules;
  rules.mReserveFormerGrants = false;
  Explorer explorer{ GetParam(), ManyReportsBounds(1), rules };
  explorer.Run();
  EXPECT_NE(explorer.Violation(), "");
}

INSTANTIATE_TEST_SUITE_P(SmallLimits,
                         CreditProtocolForLimit,
                         testing::Values(1U, 2U, 3U));

} // namespace
} // namespace cactusgw
