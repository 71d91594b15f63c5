#include "cactusgw/tunnel/link_monitor.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

/// Fewer could be single upstreams that fail in some way of their own.
constexpr std::size_t kMinUpstreams = 2;

} // namespace

std::size_t
LinkMonitor::Needed() const
{
  return std::clamp<std::size_t>(mUpstreamCount, 1, kMinUpstreams);
}

bool
LinkMonitor::IsRecent(const std::optional<Instant>& aAt, Instant aNow)
{
  return aAt && aNow - *aAt < kEvidenceTime;
}

bool
LinkMonitor::IsCutOff(const Evidence& aEvidence, Instant aNow)
{
  return IsRecent(aEvidence.mFailedAt, aNow) &&
         IsRecent(aEvidence.mTunnelledAt, aNow) &&
         *aEvidence.mTunnelledAt >= *aEvidence.mFailedAt - kAttemptTime;
}

void
LinkMonitor::OnConnected(std::string_view aUpstream, Instant aNow)
{
  const auto it = mEvidence.find(aUpstream);
  if (it != mEvidence.end()) {
    mEvidence.erase(it);
  }
  mConnectedAt = aNow;
  if (!mBrokenSince) {
    // Whoever owes responses is slow.
    mHeardAt = aNow;
    return;
  }
  mReached.emplace(aUpstream);
  if (mReached.size() >= Needed()) {
    mBrokenSince.reset();
    mReached.clear();
    mEvidence.clear();
  }
}

void
LinkMonitor::OnAccepted(Instant aNow)
{
  // Whoever owes responses is slow.
  mConnectedAt = aNow;
  mHeardAt = aNow;
}

void
LinkMonitor::OnConnectFailed(std::string_view aUpstream, Instant aNow)
{
  mEvidence[std::string{ aUpstream }].mFailedAt = aNow;
  Update(aUpstream, aNow);
}

void
LinkMonitor::OnTunnelOpened(std::string_view aUpstream, Instant aNow)
{
  Evidence& evidence = mEvidence[std::string{ aUpstream }];
  evidence.mTunnelledAt = aNow;
  evidence.mDownAt.reset();
  Update(aUpstream, aNow);
}

void
LinkMonitor::OnCarrierFailed(std::string_view aUpstream, Instant aNow)
{
  Evidence& evidence = mEvidence[std::string{ aUpstream }];
  evidence.mDownAt = aNow;
  // Explains the direct failure, too.
  evidence.mFailedAt.reset();
  evidence.mTunnelledAt.reset();
}

void
LinkMonitor::Forget(std::string_view aUpstream)
{
  const auto it = mEvidence.find(aUpstream);
  if (it != mEvidence.end()) {
    mEvidence.erase(it);
  }
}

void
LinkMonitor::Update(std::string_view aUpstream, Instant aNow)
{
  if (IsCutOff(mEvidence.find(aUpstream)->second, aNow)) {
    mReached.clear();
  }
  std::erase_if(mEvidence, [&](const auto& aItem) {
    const Evidence& evidence = aItem.second;
    return !IsRecent(evidence.mFailedAt, aNow) &&
           !IsRecent(evidence.mTunnelledAt, aNow) &&
           !IsRecent(evidence.mDownAt, aNow);
  });
  const std::size_t cutOff = static_cast<std::size_t>(
    std::count_if(mEvidence.begin(), mEvidence.end(), [&](const auto& aItem) {
      return IsCutOff(aItem.second, aNow);
    }));
  if (!mBrokenSince && cutOff >= Needed()) {
    mBrokenSince = aNow;
    mReached.clear();
    mProbedAt = aNow;
  }
}

void
LinkMonitor::OnSent(std::string_view aUpstream, Instant aNow)
{
  if (mWaiting.empty()) {
    mWaitingSince = aNow;
  }
  ++mWaiting[std::string{ aUpstream }];
}

void
LinkMonitor::OnBytes(Instant aNow)
{
  mHeardAt = aNow;
}

void
LinkMonitor::OnEnded(std::string_view aUpstream)
{
  const auto it = mWaiting.find(aUpstream);
  if (it != mWaiting.end() && --it->second == 0) {
    mWaiting.erase(it);
  }
}

bool
LinkMonitor::PrefersTunnel(std::string_view aUpstream, Instant aNow) const
{
  const auto it = mEvidence.find(aUpstream);
  return mBrokenSince || (it != mEvidence.end() && IsCutOff(it->second, aNow));
}

bool
LinkMonitor::HasHeardLately(Instant aNow) const
{
  return aNow - std::max(mHeardAt, mConnectedAt) < kSilenceTime;
}

bool
LinkMonitor::AreSuspected(Instant aNow) const
{
  const auto failed =
    std::count_if(mEvidence.begin(), mEvidence.end(), [&](const auto& aItem) {
      const std::optional<Instant>& at = aItem.second.mFailedAt;
      return IsRecent(at, aNow) && *at > mConnectedAt;
    });
  return mBrokenSince || !HasHeardLately(aNow) ||
         static_cast<std::size_t>(failed) >= Needed();
}

bool
LinkMonitor::MayTunnel(std::string_view aUpstream, Instant aNow) const
{
  const auto it = mEvidence.find(aUpstream);
  return it == mEvidence.end() || !it->second.mDownAt ||
         aNow - *it->second.mDownAt >= kDownTime;
}

Instant::duration
LinkMonitor::SilenceUntil(Instant aNow) const
{
  return aNow - std::max(mHeardAt, mWaitingSince);
}

bool
LinkMonitor::IsSilent(Instant aNow) const
{
  const Milliseconds time =
    mWaiting.size() >= Needed() ? kSilenceTime : 2 * kSilenceTime;
  return !mWaiting.empty() && SilenceUntil(aNow) >= time;
}

bool
LinkMonitor::MayUseOpenConnections() const
{
  return !mBrokenSince || mHeardAt > *mBrokenSince;
}

bool
LinkMonitor::AreOpenLinksDead(Instant aNow) const
{
  return mBrokenSince && !mWaiting.empty() &&
         SilenceUntil(aNow) >= kSilenceTime;
}

bool
LinkMonitor::TakeProbe(Instant aNow)
{
  const bool isSuspicious = IsSilent(aNow) && aNow - mConnectedAt >= kCalmTime;
  if ((!mBrokenSince && !isSuspicious) || aNow - mProbedAt < kProbeInterval) {
    return false;
  }
  mProbedAt = aNow;
  return true;
}

} // namespace cactusgw
