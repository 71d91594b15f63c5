#include "soak_run.hpp"

#include "soak_documents.hpp"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace cactusgw::soak {

namespace {

constexpr int kUpstreams = 7;
constexpr long kTickMs = 5;
constexpr long kReadyMs = 15'000;
/// After this a stopping process is killed and counts as late.
constexpr long kOverdueMs = 8200;
constexpr long kForever = 1'000'000'000;

/// The services in order of the upstreams' numbers.
const char*
ServiceOf(int aUpstream)
{
  return aUpstream < 3 ? "app" : aUpstream < 5 ? "other" : "events";
}

} // namespace

SoakRun::SoakRun(RunOptions aOptions)
  : mOptions(std::move(aOptions))
{
  Connect();
}

SoakRun::~SoakRun()
{
  mIsOver = true;
  mIsWatchOver = true;
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
SoakRun::Connect()
{
  for (int i = 0; i < kUpstreams; ++i) {
    mUpstreams.push_back(
      std::make_unique<UpstreamStandin>(mLedger, mStore, i, ServiceOf(i)));
  }
  PutConfiguration(0);
  for (int i = 0; i < mOptions.mGateways; ++i) {
    mMembers.push_back(std::make_unique<Member>());
    mMembers.back()->mProcess = std::make_unique<GatewayProcess>(
      GatewayOptions{ mOptions.mProgram,
                      mOptions.mFolder,
                      "gateway-" + std::to_string(i),
                      mOptions.mDescriptors });
  }
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    StoreStandin::Rewrites rewrites;
    for (std::size_t k = 0; mOptions.mHasPeerLinks && k < mMembers.size();
         ++k) {
      const int peer = mMembers[k]->mProcess->Peer();
      mMembers[k]->mPeerLinks.push_back(std::make_unique<LinkProxy>(peer));
      if (k != i) {
        rewrites.emplace_back(
          AddressOf(peer), AddressOf(mMembers[k]->mPeerLinks.back()->Port()));
      }
    }
    mMembers[i]->mStoreLink =
      std::make_unique<LinkProxy>(mStore.Open(rewrites));
    mMembers[i]->mProcess->SetStorePort(mMembers[i]->mStoreLink->Port());
  }
}

void
SoakRun::PutConfiguration(unsigned aVariant)
{
  const auto route = [&](const char* aName,
                         const char* aKind,
                         const char* aService,
                         long aTimeoutMs,
                         int aAttempts,
                         bool aIsResumable) {
    RouteDocument it;
    it.mName = aName;
    it.mPrefix = std::string{ "/" } + aName + "/";
    it.mKind = aKind;
    it.mService = aService;
    it.mTimeoutMs = aTimeoutMs;
    it.mAttempts = aAttempts;
    it.mIsResumable = aIsResumable;
    return RouteText(it);
  };
  std::string routes =
    route("read", "safe", "app", 6000, 2, false) + "," +
    route("submit", "unsafe", "app", 2000, 1, false) + "," +
    route("other", "safe", "other", 6000, 2, false) + "," +
    route("stream", "streaming", "events", 20'000, 1, false) + "," +
    route("resume", "streaming", "events", 20'000, 2, true);
  // Each version adds or takes away routes that nobody uses.
  for (unsigned i = 0; i < aVariant % 5; ++i) {
    const std::string name = "extra-" + std::to_string(aVariant % 97 + i);
    routes += "," + route(name.c_str(), "safe", "app", 3000, 1, false);
  }
  const std::string services = ServiceText("app") + "," + ServiceText("other") +
                               "," + ServiceText("events");
  mStore.Put("config", "main", ConfigText(++mVersion, routes, services));
}

bool
SoakRun::Run()
{
  for (int i = 0; i < mOptions.mGateways; ++i) {
    Start(i);
    mThreads.emplace_back([this, i] { WatchReady(i); });
  }
  const long untilMs = NowMs() + kReadyMs;
  const auto isReady = [](const std::unique_ptr<Member>& aMember) {
    return aMember->mReadyMs >= 0;
  };
  while (!std::all_of(mMembers.begin(), mMembers.end(), isReady)) {
    if (NowMs() > untilMs) {
      StopAll();
      return false;
    }
    Tick();
  }
  ScheduleOptions schedule;
  schedule.mSeed = mOptions.mSeed;
  schedule.mProfile = mOptions.mProfile;
  schedule.mBeginMs = 1000;
  schedule.mEndMs = mOptions.mMs;
  schedule.mGateways = mOptions.mGateways;
  schedule.mUpstreams = kUpstreams;
  mSchedule = MakeSchedule(schedule);
  StartClients();
  const long beganMs = NowMs();
  for (const Action& action : mSchedule) {
    while (NowMs() < beganMs + action.mAtMs) {
      Tick();
    }
    Apply(action);
  }
  while (NowMs() < beganMs + mOptions.mMs) {
    Tick();
  }
  StopAll();
  return true;
}

void
SoakRun::StartClients()
{
  std::vector<int> fronts;
  for (const std::unique_ptr<Member>& member : mMembers) {
    fronts.push_back(member->mProcess->Front());
  }
  for (int i = 0; i < mOptions.mClients; ++i) {
    mThreads.emplace_back([this, i, fronts] {
      SoakClient{ mLedger,
                  { mOptions.mSeed,
                    i,
                    fronts,
                    mOptions.mHasLargeBodies,
                    mOptions.mPauseMs },
                  mIsOver }
        .Run();
    });
  }
}

void
SoakRun::WatchReady(int aGateway)
{
  Member& member = *mMembers[static_cast<std::size_t>(aGateway)];
  while (!mIsWatchOver) {
    SleepMs(100);
    const std::unique_ptr<Channel> channel =
      Channel::Connect(member.mProcess->Ready());
    if (!channel || !channel->Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      continue;
    }
    const std::optional<Message> answer = channel->Read(NowMs() + 1000, true);
    if (answer && answer->Status() == 200 && member.mReadyMs < 0) {
      member.mReadyMs = NowMs();
    }
  }
}

void
SoakRun::Start(int aGateway)
{
  Member& member = *mMembers[static_cast<std::size_t>(aGateway)];
  member.mReadyMs = -1;
  member.mTerminatedMs = -1;
  member.mIsKilled = false;
  member.mIsFrozen = false;
  member.mWasFrozen = false;
  member.mRestartDelayMs = -1;
  member.mRestartAtMs = -1;
  member.mPeakBytes = 0;
  member.mStartedMs = NowMs();
  member.mProcess->Start();
}

void
SoakRun::Tick()
{
  SleepMs(kTickMs);
  std::vector<Later> due;
  for (std::size_t i = 0; i < mLater.size();) {
    if (mLater[i].mAtMs <= NowMs()) {
      due.push_back(std::move(mLater[i]));
      mLater.erase(mLater.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  for (const Later& later : due) {
    later.mDo();
  }
  for (int i = 0; i < mOptions.mGateways; ++i) {
    Watch(i);
  }
}

void
SoakRun::Watch(int aGateway)
{
  Member& member = *mMembers[static_cast<std::size_t>(aGateway)];
  if (const std::optional<int> status = member.mProcess->TakeEnding()) {
    NoteEnding(aGateway, *status);
    return;
  }
  if (member.mProcess->IsRunning()) {
    member.mPeakBytes =
      std::max(member.mPeakBytes, member.mProcess->PeakBytes());
    if (member.mTerminatedMs >= 0 && !member.mWasFrozen && !member.mIsKilled &&
        NowMs() > member.mTerminatedMs + kOverdueMs) {
      member.mProcess->Signal(SIGKILL);
    }
  } else if (member.mRestartAtMs >= 0 && NowMs() >= member.mRestartAtMs) {
    Start(aGateway);
  }
}

void
SoakRun::NoteEnding(int aGateway, int aStatus)
{
  Member& member = *mMembers[static_cast<std::size_t>(aGateway)];
  Ending ending;
  ending.mGateway = aGateway;
  ending.mAtMs = NowMs();
  ending.mStatus = aStatus;
  ending.mTerminatedMs = member.mTerminatedMs;
  ending.mWasKilled = member.mIsKilled;
  ending.mWasFrozen = member.mWasFrozen;
  mLedger.Add(ending);
  mLedger.Add(
    soak::Start{ aGateway, member.mStartedMs, member.mReadyMs, ending.mAtMs });
  mLedger.Add(Peak{ aGateway, member.mPeakBytes });
  if (member.mTerminatedMs < 0 && !member.mIsKilled) {
    // What its clients lose is reported as the end, not once more each.
    mLedger.Add(Disturbance{
      DisturbanceKind::Kill, aGateway, ending.mAtMs, ending.mAtMs });
  }
  member.mRestartAtMs = NowMs() + std::max(0L, member.mRestartDelayMs);
}

void
SoakRun::Apply(const Action& aAction)
{
  switch (aAction.mKind) {
    case ActionKind::Store:
      ApplyStore(aAction);
      break;
    case ActionKind::StoreLink:
    case ActionKind::PeerLink:
    case ActionKind::UpstreamLink:
      ApplyToLinks(aAction);
      break;
    case ActionKind::UpstreamLeaves:
    case ActionKind::UpstreamDrains:
    case ActionKind::UpstreamStartsAgain:
      ApplyToUpstream(aAction);
      break;
    case ActionKind::Configuration:
      PutConfiguration(aAction.mVariant);
      Note(DisturbanceKind::Configuration, -1, 0);
      break;
    default:
      ApplyToGateway(aAction);
  }
}

void
SoakRun::ApplyToGateway(const Action& aAction)
{
  Member& member = *mMembers[static_cast<std::size_t>(aAction.mTarget)];
  const bool isStopping = member.mTerminatedMs >= 0 || member.mIsKilled;
  if (!member.mProcess->IsRunning()) {
    return;
  }
  switch (aAction.mKind) {
    case ActionKind::Terminate:
      member.mProcess->Signal(SIGTERM);
      if (!isStopping) {
        member.mTerminatedMs = NowMs();
        member.mRestartDelayMs = aAction.mDurationMs;
        Note(DisturbanceKind::Terminate, aAction.mTarget, kOverdueMs);
      }
      break;
    case ActionKind::Kill:
      member.mIsKilled = true;
      member.mRestartDelayMs = aAction.mDurationMs;
      Note(DisturbanceKind::Kill, aAction.mTarget, aAction.mDurationMs);
      member.mProcess->Signal(SIGKILL);
      break;
    case ActionKind::Freeze:
      if (!member.mIsFrozen) {
        member.mIsFrozen = true;
        member.mWasFrozen = true;
        Note(DisturbanceKind::Freeze, aAction.mTarget, aAction.mDurationMs);
        member.mProcess->Signal(SIGSTOP);
        After(aAction.mDurationMs, [&member] {
          member.mIsFrozen = false;
          member.mProcess->Signal(SIGCONT);
        });
      }
      break;
    case ActionKind::Reload:
      Note(DisturbanceKind::Reload, aAction.mTarget, 0);
      member.mProcess->Signal(SIGHUP);
      break;
    case ActionKind::OddSettings:
      if (member.mReadyMs < 0) {
        // A process that starts with a faulty file ends, as it must.
        return;
      }
      Note(DisturbanceKind::Reload, aAction.mTarget, aAction.mDurationMs);
      member.mProcess->WriteOddSettings(aAction.mVariant);
      member.mProcess->Signal(SIGHUP);
      After(aAction.mDurationMs, [&member] {
        member.mProcess->WriteSettings();
        member.mProcess->Signal(SIGHUP);
      });
      break;
    default:
      SendNoise(aAction.mTarget, aAction.mVariant);
  }
}

void
SoakRun::ApplyToUpstream(const Action& aAction)
{
  UpstreamStandin& upstream =
    *mUpstreams[static_cast<std::size_t>(aAction.mTarget)];
  if (aAction.mKind == ActionKind::UpstreamStartsAgain) {
    Note(DisturbanceKind::UpstreamGone, aAction.mTarget, 0);
    upstream.StartAgain();
  } else if (aAction.mKind == ActionKind::UpstreamDrains) {
    upstream.Register("draining");
    After(aAction.mDurationMs, [&upstream] { upstream.Register("ready"); });
  } else {
    upstream.Leave();
    After(aAction.mDurationMs, [&upstream] { upstream.Register("ready"); });
  }
}

void
SoakRun::ApplyToLinks(const Action& aAction)
{
  constexpr LinkFault kFaults[] = { LinkFault::Delay,   LinkFault::CutForward,
                                    LinkFault::CutBack, LinkFault::Silence,
                                    LinkFault::Drip,    LinkFault::Reset };
  const LinkFault fault = kFaults[aAction.mVariant % std::size(kFaults)];
  std::vector<LinkProxy*> links;
  const auto target = static_cast<std::size_t>(aAction.mTarget);
  if (aAction.mKind == ActionKind::UpstreamLink) {
    links.push_back(&mUpstreams[target]->Link());
    Note(DisturbanceKind::UpstreamLink, aAction.mTarget, aAction.mDurationMs);
  } else if (aAction.mKind == ActionKind::StoreLink) {
    links.push_back(mMembers[target]->mStoreLink.get());
    Note(DisturbanceKind::GatewayLink, aAction.mTarget, aAction.mDurationMs);
  } else {
    for (const std::unique_ptr<LinkProxy>& link :
         mMembers[target]->mPeerLinks) {
      links.push_back(link.get());
    }
    Note(DisturbanceKind::GatewayLink, -1, aAction.mDurationMs);
  }
  for (LinkProxy* const link : links) {
    link->SetFault(fault);
    if (fault == LinkFault::Reset) {
      link->ResetAll();
    }
    After(aAction.mDurationMs, [link] { link->SetFault(LinkFault::None); });
  }
}

void
SoakRun::ApplyStore(const Action& aAction)
{
  constexpr StoreFault kFaults[] = {
    StoreFault::Reset,        StoreFault::Silent,   StoreFault::Slow,
    StoreFault::LosesAnswers, StoreFault::Garbage,  StoreFault::Forgets,
    StoreFault::Refuses,      StoreFault::HalfAway,
  };
  mStore.SetFault(kFaults[aAction.mVariant % std::size(kFaults)]);
  Note(DisturbanceKind::Store, -1, aAction.mDurationMs);
  After(aAction.mDurationMs, [this] { mStore.SetFault(StoreFault::None); });
}

void
SoakRun::SendNoise(int aGateway, unsigned aVariant)
{
  const GatewayProcess& process =
    *mMembers[static_cast<std::size_t>(aGateway)]->mProcess;
  const int ports[] = { process.Ready(), process.Metrics(), process.Peer() };
  const int port = ports[aVariant % std::size(ports)];
  Note(DisturbanceKind::Noise, aGateway, 0);
  std::thread{
    [port, aVariant] {
      constexpr int kChannels = 20;
      std::mt19937 random{ aVariant };
      for (int i = 0; i < kChannels; ++i) {
        const std::unique_ptr<Channel> channel = Channel::Connect(port);
        std::string bytes(random() % 4000, '\0');
        std::generate(bytes.begin(), bytes.end(), [&random] {
          return static_cast<char>(random());
        });
        if (channel && channel->Send(bytes) && random() % 2 == 0) {
          channel->Reset();
        }
      }
    }
  }.detach();
}

void
SoakRun::After(long aMs, std::function<void()> aDo)
{
  mLater.push_back({ NowMs() + aMs, std::move(aDo) });
}

void
SoakRun::Note(DisturbanceKind aKind, int aTarget, long aMs)
{
  const long nowMs = NowMs();
  mLedger.Add(Disturbance{ aKind, aTarget, nowMs, nowMs + aMs });
}

void
SoakRun::StopAll()
{
  // The faults in force end, and the last requests are answered first.
  while (!mLater.empty()) {
    Tick();
  }
  mIsOver = true;
  for (std::size_t i = mMembers.size(); i < mThreads.size(); ++i) {
    while (mThreads[i].joinable()) {
      // A client ends at the end of its request.
      mThreads[i].join();
    }
  }
  mIsWatchOver = true;
  for (int i = 0; i < mOptions.mGateways; ++i) {
    Member& member = *mMembers[static_cast<std::size_t>(i)];
    Watch(i);
    if (member.mProcess->IsRunning() && member.mTerminatedMs < 0 &&
        !member.mIsKilled) {
      member.mTerminatedMs = NowMs();
      member.mRestartDelayMs = kForever;
      member.mProcess->Signal(SIGTERM);
    }
  }
  const auto isRunning = [](const std::unique_ptr<Member>& aMember) {
    return aMember->mProcess->IsRunning();
  };
  while (std::any_of(mMembers.begin(), mMembers.end(), isRunning)) {
    SleepMs(kTickMs);
    for (int i = 0; i < mOptions.mGateways; ++i) {
      if (mMembers[static_cast<std::size_t>(i)]->mProcess->IsRunning()) {
        Watch(i);
      }
    }
  }
}

} // namespace cactusgw::soak
