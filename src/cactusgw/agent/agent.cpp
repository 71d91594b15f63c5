#include "cactusgw/agent/agent.hpp"

#include "cactusgw/agent/agent_report.hpp"
#include "cactusgw/net/operator_port.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/programs/event_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace cactusgw {

namespace net = boost::asio;

Agent::Agent(net::io_context& aContext, AgentSettings aSettings)
  : mContext(aContext)
  , mZmq(1)
  , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
  , mRecorder("agent/" + aSettings.mPlace.mVm)
  , mState(std::move(aSettings), mIncarnation, SteadyNow(), mRecorder)
  , mPlatform(mState.Settings().mPlatform)
  , mLog("agent")
{
}

Result<std::unique_ptr<Agent>>
Agent::Start(net::io_context& aContext, AgentSettings aSettings)
{
  std::unique_ptr<Agent> agent{ new Agent{ aContext, std::move(aSettings) } };
  const Result<void> listening = agent->Listen();
  if (!listening) {
    return listening.error();
  }
  agent->StartLoops();
  return agent;
}

Result<void>
Agent::Listen()
{
  Result<std::unique_ptr<EntryPort>> entry =
    EntryPort::Listen(mZmq, mContext, mState, mPlatform, [this] {
      mPeers->SendReports(SteadyNow());
    });
  if (!entry) {
    return entry.error();
  }
  mEntry = std::move(entry.value());
  Result<std::unique_ptr<PeerPort>> peers =
    PeerPort::Listen(mZmq,
                     mContext,
                     mState,
                     [this](const AdmissionControl::Decisions& aDecisions) {
                       mEntry->SendDecisions(aDecisions);
                     });
  if (!peers) {
    return peers.error();
  }
  mPeers = std::move(peers.value());
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    mContext,
    mState.Settings().mOperator.mListen,
    [] { return HttpServerLimits{}; },
    [this](HttpExchange& aExchange) { return HandleOperator(aExchange); });
  if (!server) {
    return server.error();
  }
  mOperator = std::move(server.value());
  return boost::outcome_v2::success();
}

void
Agent::StartLoops()
{
  mRecorder.Record(EventKind::ProcessStarted, "", mState.Vm());
  mSync = std::make_unique<PlatformSync<HttpPlatformClient>>(
    mPlatform,
    mState,
    mContext,
    LeaseEvents{ [this] { mPeers->AnnounceLease(SteadyNow()); }, [] {} });
  mSync->Start();
  const auto every = [](Milliseconds aTime) {
    return [aTime] { return aTime; };
  };
  RunEvery(mContext, every(kTick), [this] { return OnTick(); });
  RunEvery(
    mContext,
    [this] { return mState.HeartbeatInterval(); },
    [this] { return OnHeartbeatTime(); });
  RunEvery(mContext, every(kRelayPause), [this] { return OnRelayTime(); });
  RunEvery(mContext, every(kLoadPause), [this] { return OnLoadTime(); });
}

bool
Agent::OnTick()
{
  const Instant now = SteadyNow();
  ExtendLease();
  mEntry->SendDecisions(mState.mAdmission.OnTick(now));
  mPeers->SendReports(now);
  if (mState.MayActAsOwner(now)) {
    for (auto& [name, owner] : mState.Owned()) {
      mPeers->SendGrants(name, owner.OnTick(now));
    }
  }
  return !mState.mStopping;
}

void
Agent::ExtendLease()
{
  // The holder needs no promise of its own.
  std::vector<std::string> others = mState.mLease.Group();
  std::erase(others, mState.Vm());
  mState.mLease.ExtendUntil(mState.mMembers.PromisedUntil(others));
}

bool
Agent::OnHeartbeatTime()
{
  if (mState.mConfig.Revision() == 0) {
    mPeers->AskSeeds();
  } else {
    mPeers->SendHeartbeats(SteadyNow());
  }
  return !mState.mStopping;
}

bool
Agent::OnRelayTime()
{
  if (mState.HoldsLease(SteadyNow())) {
    mPeers->SendRelayHeartbeat(SteadyNow());
  }
  return !mState.mStopping;
}

bool
Agent::OnLoadTime()
{
  for (const auto& [name, owner] : mState.Owned()) {
    const UpstreamConfig* config = mState.mConfig.Current().FindUpstream(name);
    const ServiceConfig* service =
      config == nullptr
        ? nullptr
        : mState.mConfig.Current().FindService(config->mService);
    const bool reports =
      service != nullptr && service->mKind == ServiceKind::Model;
    if (!reports) {
      continue;
    }
    StartPoll(name, config->mAddress);
    if (mHeld.insert(name).second) {
      net::co_spawn(
        mContext, HoldConnection(name, config->mAddress), net::detached);
    }
  }
  return !mState.mStopping;
}

void
Agent::StartPoll(const std::string& aUpstream, const std::string& aAddress)
{
  if (mPolling.insert(aUpstream).second) {
    net::co_spawn(mContext, PollLoad(aUpstream, aAddress), net::detached);
  }
}

Task<void>
Agent::HoldConnection(std::string aUpstream, std::string aAddress)
{
  const bool wasOpen = co_await WaitForClose(aAddress);
  mHeld.erase(aUpstream);
  if (wasOpen) {
    OnConnectionLost(aUpstream, aAddress);
  }
}

void
Agent::OnConnectionLost(const std::string& aUpstream,
                        const std::string& aAddress)
{
  const auto it = mState.Owned().find(aUpstream);
  if (it == mState.Owned().end()) {
    return;
  }
  const std::vector<CreditGrant> revoked =
    it->second.OnConnectionLost(SteadyNow());
  mPeers->SendGrants(aUpstream, revoked);
  mRecorder.Record(EventKind::UpstreamLost, "", aUpstream);
  mLog.Warn(aUpstream + " closed its connection and counts as cold.");
  StartPoll(aUpstream, aAddress);
}

Task<void>
Agent::PollLoad(std::string aUpstream, std::string aAddress)
{
  Instant asked = SteadyNow();
  Result<EngineLoad> load = co_await mEngines.Load(aAddress);
  while (!load && AwaitsLoad(aUpstream)) {
    net::steady_timer timer{ mContext, kAwaitedLoadPause };
    co_await timer.async_wait(net::use_awaitable);
    asked = SteadyNow();
    load = co_await mEngines.Load(aAddress);
  }
  mPolling.erase(aUpstream);
  const auto it = mState.Owned().find(aUpstream);
  if (it == mState.Owned().end()) {
    co_return;
  }
  UpstreamOwner& owner = it->second;
  const bool wasDown = owner.IsDown();
  const std::uint64_t timesCold = owner.TimesCold();
  if (!load) {
    owner.OnLoadFailed();
  } else {
    const LoadObservation observation{ load.value().mIncarnation,
                                       load.value().mRunning,
                                       load.value().mOverloads,
                                       asked - load.value().mAge };
    const std::vector<CreditGrant> grants =
      owner.OnLoad(observation, SteadyNow());
    if (mState.MayActAsOwner(SteadyNow())) {
      mPeers->SendGrants(aUpstream, grants);
    }
  }
  if (owner.IsDown() != wasDown) {
    mLog.Warn(aUpstream + (wasDown ? " is back." : " does not answer."));
  }
  if (owner.TimesCold() != timesCold) {
    mRecorder.Record(EventKind::UpstreamCold, "", aUpstream);
    mLog.Warn(aUpstream + " counts as cold.");
  }
}

bool
Agent::AwaitsLoad(const std::string& aUpstream) const
{
  const auto it = mState.Owned().find(aUpstream);
  return it != mState.Owned().end() && it->second.AwaitsLoad() &&
         !mState.mStopping;
}

void
Agent::Stop(std::function<void()> aOnStopped)
{
  mRecorder.Record(EventKind::ProcessStopping, "", mState.Vm());
  mLog.Info("The agent stops.");
  net::co_spawn(mContext, HandOver(std::move(aOnStopped)), net::detached);
}

Task<void>
Agent::HandOver(std::function<void()> aOnStopped)
{
  // Ownership ends here first, so that a successor may start at once.
  mState.mStopping = true;
  mPeers->SendStopping(SteadyNow());
  co_await mSync->Resign();
  net::steady_timer timer{ mContext, Milliseconds{ 200 } };
  co_await timer.async_wait(net::use_awaitable);
  aOnStopped();
}

bool
Agent::IsReady() const
{
  return !mState.mStopping && mState.mConfig.Revision() != 0;
}

Task<void>
Agent::HandleOperator(HttpExchange& aExchange)
{
  OperatorPages pages;
  pages.mReady = IsReady();
  pages.mMetrics = [this] { return WriteMetrics(); };
  pages.mEvents = [this] { return mRecorder.WriteJsonLines(); };
  pages.mStatus = [this] { return WriteStatus(); };
  if (aExchange.Path() == "/drain") {
    if (!IsOperator(aExchange, mState.Settings().mOperator.mToken)) {
      co_await SendUnauthorized(aExchange);
      co_return;
    }
    co_await HandleDrain(aExchange);
    co_return;
  }
  co_await ServeOperatorPage(
    aExchange, mState.Settings().mOperator.mToken, pages);
}

Task<void>
Agent::HandleDrain(HttpExchange& aExchange)
{
  boost::json::error_code ec;
  const boost::json::value body =
    boost::json::parse(aExchange.Request().body(), ec);
  const boost::json::object* order = ec ? nullptr : body.if_object();
  const boost::json::value* name =
    order == nullptr ? nullptr : order->if_contains("dataCentre");
  const boost::json::value* drained =
    order == nullptr ? nullptr : order->if_contains("drained");
  const bool isWhole = name != nullptr && name->is_string() &&
                       drained != nullptr && drained->is_bool();
  if (!isWhole) {
    co_await SendBadRequest(aExchange, "needs \"dataCentre\" and \"drained\"");
    co_return;
  }
  const std::string dataCentre{ name->get_string() };
  if (mState.mConfig.Current().FindDataCentre(dataCentre) == nullptr) {
    co_await SendBadRequest(aExchange,
                            "unknown data centre \"" + dataCentre + "\"");
    co_return;
  }
  const DrainState state = mState.OrderDrain(dataCentre, drained->get_bool());
  mPeers->SpreadDrain(state);
  mLog.Info("An operator's order " +
            std::string{ state.mDrained ? "drains " : "returns " } +
            dataCentre + ".");
  const bool stored = co_await mSync->WriteDrains();
  boost::json::object answer{ { "dataCentre", dataCentre },
                              { "drained", state.mDrained },
                              { "version", state.mVersion },
                              { "stored", stored } };
  co_await SendJson(aExchange, answer);
}

std::string
Agent::WriteMetrics() const
{
  return WriteAgentMetrics(mState, *mPeers, mPlatform.Counts(), SteadyNow());
}

std::string
Agent::WriteStatus() const
{
  return WriteAgentStatus(mState, SteadyNow());
}

} // namespace cactusgw
