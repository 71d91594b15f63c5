#include "cactusgw/tunnel/gateway_tunnels.hpp"

#include "cactusgw/gateway/gateway_call.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cactusgw {

namespace {

/// What a gateway reported before its links were found lost, and for this long,
/// is no evidence: links may fail one by one, and several attempts to connect
/// pass before that shows.
constexpr Milliseconds kDoubtfulTime{ 1000 };

std::string_view
TextOf(TunnelFailure aFailure)
{
  switch (aFailure) {
    case TunnelFailure::CarrierUnreachable:
      return "carrier-unreachable";
    case TunnelFailure::CarrierRefused:
      return "carrier-refused";
    case TunnelFailure::UpstreamUnknown:
      return "upstream-unknown";
    case TunnelFailure::UpstreamUnreachable:
      return "upstream-unreachable";
  }
  return "unknown";
}

} // namespace

GatewayTunnels::GatewayTunnels(boost::asio::io_context& aContext,
                               GatewayState& aState)
  : mContext(aContext)
  , mState(aState)
  , mConnector(UpstreamConnector::Create(aState.mSettings.mPlace,
                                         Events(),
                                         ConnectorTransport::Tcp()))
{
  mConnector->Carriers().SetRegions(mState.mSettings.mRegions);
  mState.mConnector = mConnector;
}

GatewayTunnels::~GatewayTunnels()
{
  mConnector->Stop();
}

Result<void>
GatewayTunnels::Listen()
{
  const std::string& address = mState.mSettings.mTunnelListen;
  if (address.empty()) {
    return boost::outcome_v2::success();
  }
  Result<std::unique_ptr<TunnelServer>> server =
    TunnelServer::Listen(mContext, address, Access(), mState.mMemory);
  if (!server) {
    return server.error();
  }
  mServer = std::move(server.value());
  return boost::outcome_v2::success();
}

TunnelAccess
GatewayTunnels::Access()
{
  return { [this](std::string_view aVm, const net::ip::address& aIp) {
            const auto it = mPeerIps.find(aVm);
            return it != mPeerIps.end() && it->second == aIp.to_string();
          },
           [this](std::string_view aId,
                  std::int64_t aStartedMs) -> std::optional<std::string> {
             const KnownUpstream* const known = mState.mDirectory.Find(aId);
             if (known == nullptr || known->mRecord.mStartedMs != aStartedMs) {
               return std::nullopt;
             }
             return known->mRecord.mAddress;
           },
           [this] { return !mConnector->Links().AreBroken(); } };
}

ConnectorEvents
GatewayTunnels::Events()
{
  return { [this] { OnLinksLost(); },
           [this] { OnLinksBack(); },
           [this](const TunnelUse& aUse) {
             mState.mMetrics.mTunnelsOpened.Add();
             mState.mLog.Write("tunnel-opened",
                               { { "upstream", aUse.mRequest.mUpstream.mId },
                                 { "carrier", aUse.mCarrier.mName },
                                 { "tunnel", aUse.mRequest.mToken } },
                               SteadyNow());
           },
           [this](const TunnelUse& aUse, TunnelFailure aFailure) {
             mState.mMetrics.mTunnelsFailed.Add();
             mState.mLog.Write("tunnel-refused",
                               { { "upstream", aUse.mRequest.mUpstream.mId },
                                 { "carrier", aUse.mCarrier.mName },
                                 { "reason", TextOf(aFailure) } },
                               SteadyNow());
           },
           [this](std::size_t aCount) { return NextUpstreams(aCount); } };
}

std::vector<UpstreamTarget>
GatewayTunnels::NextUpstreams(std::size_t aCount)
{
  std::set<std::string> ids;
  if (mState.mTable) {
    for (const GatewayService& service : mState.mTable->Config().mServices) {
      for (const KnownUpstream* const known :
           mState.mDirectory.Serving(service.mName)) {
        ids.insert(known->mRecord.mId);
      }
    }
  }
  std::vector<UpstreamTarget> targets;
  auto it = ids.upper_bound(mLastProbed);
  while (targets.size() < std::min(aCount, ids.size())) {
    it = it == ids.end() ? ids.begin() : it;
    targets.push_back(TargetOf(mState.mDirectory.Find(*it)->mRecord));
    mLastProbed = *it++;
  }
  return targets;
}

void
GatewayTunnels::OnLinksLost()
{
  const std::size_t withdrawn =
    mState.mRequestCrashes.WithdrawOwn(SteadyNow() - kDoubtfulTime);
  mState.mMetrics.mLinksBroken.Set(1);
  mState.mLog.WriteAlways(
    "links-lost",
    { { "upstreams", static_cast<std::int64_t>(mState.mDirectory.Size()) },
      { "crashesWithdrawn", static_cast<std::int64_t>(withdrawn) } });
}

void
GatewayTunnels::OnLinksBack()
{
  mState.mMetrics.mLinksBroken.Set(0);
  mState.mPool.CloseTunnels();
  mState.mLog.WriteAlways("links-back", {});
}

void
GatewayTunnels::SetPeer(const GatewayPeer& aPeer)
{
  mConnector->Carriers().SetPeer(
    { aPeer.mName, aPeer.mTunnelAddress, aPeer.mDataCentre }, aPeer.mCapacity);
  mPeerIps[aPeer.mName] = aPeer.mAddress.substr(0, aPeer.mAddress.rfind(':'));
}

void
GatewayTunnels::RemovePeer(const std::string& aName)
{
  mConnector->Carriers().RemovePeer(aName);
  mPeerIps.erase(aName);
}

void
GatewayTunnels::Tick(Instant aNow)
{
  LinkMonitor& links = mConnector->Links();
  links.SetUpstreamCount(mState.mDirectory.Size());
  mConnector->Tick(mContext.get_executor(), aNow);
  if (links.AreOpenLinksDead(aNow)) {
    mState.mPool.CloseDirect();
    InterruptCalls();
  }
}

void
GatewayTunnels::InterruptCalls()
{
  // A call may end, and leave the set, while it is interrupted.
  const std::set<GatewayCall*> calls = *mState.mCalls;
  for (GatewayCall* const call : calls) {
    if (mState.mCalls->contains(call)) {
      call->OnLinksDead();
    }
  }
}

void
GatewayTunnels::Drain()
{
  if (mServer) {
    mServer->Drain();
  }
}

} // namespace cactusgw
