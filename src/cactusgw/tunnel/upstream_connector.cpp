#include "cactusgw/tunnel/upstream_connector.hpp"

#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Timeout for a direct connection, so short that lost links are noticed in
/// less than a second. The one-way latency between regions is 20 ms. TCP
/// retransmits a lost SYN only after a second; another way is faster.
constexpr Milliseconds kConnectTime{ 300 };
/// Includes the carrier's own time to connect and the way to it.
constexpr Milliseconds kTunnelTime{ 600 };
/// Time after which a carrier is asked beside the direct attempt: more than two
/// round trips between regions.
constexpr Milliseconds kDirectHeadStart{ 100 };
/// The same between two carriers: a request to one and its connection to the
/// upstream are two round trips each.
constexpr Milliseconds kCarrierHeadStart{ 160 };
/// Time for all attempts together, after which another upstream is tried. Those
/// that still run show only whether links are broken.
constexpr Milliseconds kMaxTime{ 700 };
/// Carriers asked for one connection: as many near ones as show that their data
/// centre fails, and as many elsewhere as say that the upstream is down.
constexpr std::size_t kMaxCarriers = 5;
/// Carriers that can't reach an upstream, after which it counts as down.
constexpr std::size_t kMaxUnreachable = 3;
/// Upstreams that are probed at once while responses are owed and nothing
/// arrives. Links are broken if both can't be reached.
constexpr std::size_t kProbedUpstreams = 2;
/// Time without any way to upstreams after which a gateway has none: several
/// probes.
constexpr Milliseconds kNoWayTime{ 1500 };
/// A probe's connection must stay open for this long, a round trip between
/// regions and some: what accepts it in front of a broken link closes it then.
constexpr Milliseconds kProbeOpenTime{ 50 };
/// Longest time in which a check of the links ends: that of a direct attempt
/// and of a tunnel beside it.
constexpr Milliseconds kCheckTime{ 500 };
/// Minimum time between two checks, so that many connections that close
/// together cause a few probes only.
constexpr Milliseconds kCheckInterval{ 50 };

} // namespace

ConnectorTransport
ConnectorTransport::Tcp()
{
  return { [](std::string aAddress, Milliseconds aTime)
             -> Task<Result<std::unique_ptr<HttpConnection>>> {
            co_return co_await HttpConnection::Connect(aAddress, aTime);
          },
           &OpenTunnel };
}

/// Attempts to establish the same connection, of which the first one wins.
struct UpstreamConnector::Race
{
  explicit Race(const net::any_io_executor& aExecutor)
    : mWake(aExecutor)
  {
  }

  bool IsWon() const { return mWinner != nullptr; }
  void Win(std::unique_ptr<UpstreamConnection> aConnection)
  {
    // A connection that comes too late is closed.
    if (!mIsOver && !IsWon()) {
      mWinner = std::move(aConnection);
    }
  }
  void OnEnd()
  {
    ++mEnded;
    mWake.cancel();
  }

  net::steady_timer mWake;
  std::unique_ptr<UpstreamConnection> mWinner;
  std::size_t mStarted = 0;
  std::size_t mEnded = 0;
  std::string mDetail;
  /// Carriers that could not reach the upstream.
  std::size_t mUnreachable = 0;
  bool mIsOver = false;
};

UpstreamConnector::UpstreamConnector(PlaceSettings aSelf,
                                     ConnectorEvents aEvents,
                                     ConnectorTransport aTransport)
  : mSelf(aSelf)
  , mEvents(std::move(aEvents))
  , mTransport(std::move(aTransport))
  , mLinks(LinkMonitor::Create())
  , mCarriers(CarrierChoice::Create(std::move(aSelf)))
  , mTokenPrefix(std::to_string(SteadyNow().time_since_epoch().count()) + "-")
{
}

std::shared_ptr<UpstreamConnector>
UpstreamConnector::Create(PlaceSettings aSelf,
                          ConnectorEvents aEvents,
                          ConnectorTransport aTransport)
{
  return std::shared_ptr<UpstreamConnector>{ new UpstreamConnector{
    std::move(aSelf), std::move(aEvents), std::move(aTransport) } };
}

Task<UpstreamConnector::Connected>
UpstreamConnector::Connect(UpstreamTarget aTarget, AllowedRegions aRegions)
{
  const Ways ways = mLinks.PrefersTunnel(aTarget.mId, SteadyNow())
                      ? Ways::TunnelOnly
                      : Ways::DirectFirst;
  return Run(shared_from_this(), std::move(aTarget), std::move(aRegions), ways);
}

Task<UpstreamConnector::Connected>
UpstreamConnector::Run(std::shared_ptr<UpstreamConnector> aSelf,
                       UpstreamTarget aTarget,
                       AllowedRegions aRegions,
                       Ways aWays)
{
  const net::any_io_executor executor = co_await net::this_coro::executor;
  const std::shared_ptr<Race> race = std::make_shared<Race>(executor);
  const Instant end = SteadyNow() + kMaxTime;
  bool isDirectDue = aWays != Ways::TunnelOnly;
  bool isDirectTried = false;
  std::vector<Carrier> tried;
  while (!race->IsWon() && SteadyNow() < end) {
    Milliseconds headStart = kCarrierHeadStart;
    const std::optional<Carrier> carrier =
      isDirectDue ? std::nullopt
                  : aSelf->NextCarrier(*race, aTarget, aRegions, tried, aWays);
    if (std::exchange(isDirectDue, false)) {
      isDirectTried = true;
      headStart = aWays == Ways::ProbeFirst ? kDirectHeadStart + kProbeOpenTime
                  : aSelf->mLinks.HasHeardLately(SteadyNow())
                    ? kConnectTime
                    : kDirectHeadStart;
      ++race->mStarted;
      ++aSelf->mDirectAttempts;
      SpawnTask(
        executor, "connect-directly", TryDirectly(aSelf, race, aTarget, aWays));
    } else if (carrier) {
      ++race->mStarted;
      tried.push_back(*carrier);
      SpawnTask(executor,
                "connect-carrier",
                TryCarrier(aSelf, race, aTarget, *carrier));
    } else if (race->mEnded < race->mStarted) {
      headStart = kMaxTime;
    } else if (isDirectTried || aSelf->mLinks.AreBroken()) {
      break;
    } else {
      // Only the link to this upstream seemed to be cut.
      isDirectDue = true;
      continue;
    }
    const Instant until = std::min(end, SteadyNow() + headStart);
    const std::size_t ended = race->mEnded;
    while (!race->IsWon() && race->mEnded == ended && SteadyNow() < until) {
      beast::error_code ec;
      race->mWake.expires_at(until);
      co_await race->mWake.async_wait(
        net::redirect_error(net::use_awaitable, ec));
    }
  }
  race->mIsOver = true;
  if (race->IsWon()) {
    co_return std::move(race->mWinner);
  }
  const Instant now = SteadyNow();
  if (aSelf->mLinks.AreBroken() && race->mUnreachable == 0) {
    co_return NotRun(FailureCode::LinksLost,
                     "no links to upstreams, and no other gateway has some",
                     LinkMonitor::kProbeInterval);
  }
  if (race->mUnreachable > 0) {
    aSelf->mLinks.OnCarrierFailed(aTarget.mId, now);
  }
  co_return NotRun(FailureCode::UpstreamUnreachable, race->mDetail);
}

std::optional<Carrier>
UpstreamConnector::NextCarrier(const Race& aRace,
                               const UpstreamTarget& aTarget,
                               const AllowedRegions& aRegions,
                               std::span<const Carrier> aTried,
                               Ways aWays) const
{
  const Instant now = SteadyNow();
  const bool isWanted = mLinks.MayTunnel(aTarget.mId, now) &&
                        (aWays == Ways::ProbeFirst || mLinks.AreSuspected(now));
  const bool isLeftAlone =
    aWays != Ways::TunnelOnly && aTried.empty() && !isWanted;
  if (isLeftAlone || aTried.size() >= kMaxCarriers ||
      aRace.mUnreachable >= kMaxUnreachable) {
    return std::nullopt;
  }
  const std::vector<Carrier> order = mCarriers.Order(aRegions, now, aTried);
  return order.empty() ? std::nullopt : std::optional{ order.front() };
}

Task<void>
UpstreamConnector::TryDirectly(std::shared_ptr<UpstreamConnector> aSelf,
                               std::shared_ptr<Race> aRace,
                               UpstreamTarget aTarget,
                               Ways aWays)
{
  const Instant begun = SteadyNow();
  const bool isProbe = aWays == Ways::ProbeFirst;
  Result<std::unique_ptr<HttpConnection>> connected =
    co_await aSelf->mTransport.mConnect(aTarget.mAddress, kConnectTime);
  if (connected && isProbe) {
    net::steady_timer timer{ co_await net::this_coro::executor };
    timer.expires_after(kProbeOpenTime);
    co_await timer.async_wait(net::use_awaitable);
    if (!connected.value()->IsIdle()) {
      connected = NotRun(FailureCode::UpstreamUnreachable,
                         "the connection was closed at once");
    }
  }
  --aSelf->mDirectAttempts;
  if (connected) {
    if (isProbe) {
      aSelf->mReachedSince = std::max(aSelf->mReachedSince, begun);
      aSelf->mLinks.OnConnected(aTarget.mId, SteadyNow());
    } else if (!aSelf->mLinks.AreBroken()) {
      aSelf->mLinks.OnAccepted(SteadyNow());
    }
    aRace->Win(
      UpstreamConnection::Adopt(aTarget, std::move(connected.value()), {}));
  } else {
    aSelf->mLinks.OnConnectFailed(aTarget.mId, SteadyNow());
    aRace->mDetail = connected.error().mDetail;
  }
  aSelf->Report();
  aRace->OnEnd();
}

Task<void>
UpstreamConnector::TryCarrier(std::shared_ptr<UpstreamConnector> aSelf,
                              std::shared_ptr<Race> aRace,
                              UpstreamTarget aTarget,
                              Carrier aCarrier)
{
  TunnelUse use;
  use.mCarrier = aCarrier;
  use.mRequest = { aSelf->mSelf.mVm,
                   aSelf->mTokenPrefix + std::to_string(++aSelf->mTokens),
                   aTarget };
  TunnelResult<std::unique_ptr<HttpConnection>> opened =
    co_await aSelf->mTransport.mOpenTunnel(aCarrier, use.mRequest, kTunnelTime);
  if (opened) {
    const Instant now = SteadyNow();
    aSelf->mTunnelledAt = now;
    aSelf->mLinks.OnTunnelOpened(aTarget.mId, now);
    aSelf->mCarriers.OnOpened(aCarrier.mName, now);
    // Counts the tunnel of its carrier until its connection is closed.
    use.mLease = std::shared_ptr<void>{
      nullptr,
      [weak = std::weak_ptr<UpstreamConnector>{ aSelf },
       name = aCarrier.mName](void*) {
        if (const std::shared_ptr<UpstreamConnector> self = weak.lock()) {
          self->mCarriers.OnClosed(name);
        }
      }
    };
    if (!aSelf->mIsStopped && !aRace->mIsOver) {
      aSelf->mEvents.mOnTunnelOpened(use);
    }
    aRace->Win(UpstreamConnection::Adopt(
      aTarget, std::move(opened.value()), std::move(use)));
  } else {
    aSelf->OnTunnelFailed(use, opened.error(), *aRace);
  }
  aSelf->Report();
  aRace->OnEnd();
}

void
UpstreamConnector::OnTunnelFailed(const TunnelUse& aUse,
                                  TunnelFailure aFailure,
                                  Race& aRace)
{
  if (aFailure == TunnelFailure::CarrierRefused ||
      aFailure == TunnelFailure::CarrierUnreachable) {
    mCarriers.OnFailed(aUse.mCarrier.mName, SteadyNow());
  } else {
    ++aRace.mUnreachable;
  }
  if (!mIsStopped) {
    mEvents.mOnTunnelFailed(aUse, aFailure);
  }
}

Task<void>
UpstreamConnector::Probe(std::shared_ptr<UpstreamConnector> aSelf,
                         UpstreamTarget aTarget)
{
  // What it shows is recorded by the attempts.
  static_cast<void>(co_await Run(
    aSelf, std::move(aTarget), AllowedRegions::Everywhere(), Ways::ProbeFirst));
  --aSelf->mProbes;
  aSelf->Report();
}

Task<bool>
UpstreamConnector::AreLinksSound()
{
  return Check(shared_from_this());
}

Task<bool>
UpstreamConnector::Check(std::shared_ptr<UpstreamConnector> aSelf)
{
  const net::any_io_executor executor = co_await net::this_coro::executor;
  const Instant begun = SteadyNow();
  net::steady_timer timer{ executor };
  const auto wait = [&](Instant aUntil) -> Task<void> {
    beast::error_code ec;
    timer.expires_at(aUntil);
    aSelf->mChecks.insert(&timer);
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    aSelf->mChecks.erase(&timer);
  };
  const auto isDecided = [&] {
    return aSelf->mLinks.AreBroken() || aSelf->mReachedSince >= begun ||
           aSelf->mIsStopped;
  };
  while (!isDecided() && aSelf->mCheckedAt < begun) {
    const Instant due = aSelf->mCheckedAt + kCheckInterval;
    if (SteadyNow() < due) {
      co_await wait(due);
      continue;
    }
    aSelf->mCheckedAt = SteadyNow();
    aSelf->StartProbes(executor, kProbedUpstreams);
  }
  while (!isDecided() && aSelf->mProbes + aSelf->mDirectAttempts > 0 &&
         SteadyNow() < begun + kCheckTime) {
    co_await wait(begun + kCheckTime);
  }
  co_return !aSelf->mLinks.AreBroken();
}

void
UpstreamConnector::Report()
{
  for (net::steady_timer* const check : mChecks) {
    check->cancel();
  }
  if (mIsStopped || mLinks.AreBroken() == mIsReportedLost) {
    return;
  }
  mIsReportedLost = mLinks.AreBroken();
  if (mIsReportedLost) {
    mEvents.mOnLinksLost();
  } else {
    mEvents.mOnLinksBack();
  }
}

bool
UpstreamConnector::MayReuse(const UpstreamConnection& aConnection) const
{
  // A connection through a carrier stays of use while it is open.
  return aConnection.Tunnel() != nullptr || mLinks.MayUseOpenConnections();
}

bool
UpstreamConnector::HasWay(Instant aNow) const
{
  const std::optional<Instant> broken = mLinks.BrokenSince();
  return !broken ||
         aNow - std::max(*broken, mTunnelledAt.value_or(*broken)) < kNoWayTime;
}

void
UpstreamConnector::Tick(const net::any_io_executor& aExecutor, Instant aNow)
{
  if (mIsStopped || !mLinks.TakeProbe(aNow)) {
    return;
  }
  const std::size_t count = mLinks.AreBroken() ? 1 : kProbedUpstreams;
  StartProbes(aExecutor, count);
}

void
UpstreamConnector::StartProbes(const net::any_io_executor& aExecutor,
                               std::size_t aCount)
{
  for (UpstreamTarget& target : mEvents.mNextUpstreams(aCount)) {
    ++mProbes;
    SpawnTask(aExecutor,
              "probe-upstream",
              Probe(shared_from_this(), std::move(target)));
  }
}

} // namespace cactusgw
