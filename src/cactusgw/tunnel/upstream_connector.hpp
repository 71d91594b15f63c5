#ifndef CACTUSGW_TUNNEL_UPSTREAM_CONNECTOR_HPP
#define CACTUSGW_TUNNEL_UPSTREAM_CONNECTOR_HPP

/// Connects to upstreams: directly, through a carrier when the direct way is
/// slow or fails, and through carriers at once while this gateway's own links
/// are broken. Nothing is sent before a connection is established, so that an
/// attempt that loses against another one costs a connection only.

#include "cactusgw/core/allowed_regions.hpp"
#include "cactusgw/gateway/upstream_connection.hpp"
#include "cactusgw/tunnel/carrier_choice.hpp"
#include "cactusgw/tunnel/link_monitor.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// How connections are made; tests replace them.
struct ConnectorTransport
{
  std::function<Task<Result<std::unique_ptr<HttpConnection>>>(std::string,
                                                              Milliseconds)>
    mConnect;
  std::function<Task<TunnelResult<
    std::unique_ptr<HttpConnection>>>(Carrier, TunnelRequest, Milliseconds)>
    mOpenTunnel;

  static ConnectorTransport Tcp();
};

/// What the connector tells its owner, which must outlive the calls. All must
/// be set.
struct ConnectorEvents
{
  std::function<void()> mOnLinksLost;
  std::function<void()> mOnLinksBack;
  std::function<void(const TunnelUse&)> mOnTunnelOpened;
  std::function<void(const TunnelUse&, TunnelFailure)> mOnTunnelFailed;
  /// Upstreams to probe, at most this many; others at each call.
  std::function<std::vector<UpstreamTarget>(std::size_t)> mNextUpstreams;
};

/// Not thread-safe. Its tasks share its ownership.
class UpstreamConnector : public std::enable_shared_from_this<UpstreamConnector>
{
public:
  using Connected = Result<std::unique_ptr<UpstreamConnection>>;

  static std::shared_ptr<UpstreamConnector> Create(
    PlaceSettings aSelf,
    ConnectorEvents aEvents,
    ConnectorTransport aTransport);

  /// Errors, all NotRun: UpstreamUnreachable; LinksLost when neither this
  /// gateway nor a carrier that the regions allow has links.
  Task<Connected> Connect(UpstreamTarget aTarget, AllowedRegions aRegions);

  /// Whether this gateway reaches upstreams directly, as far as that shows
  /// soon. An upstream that closes its connection may have crashed only then.
  Task<bool> AreLinksSound();

  /// Whether a connection that is open may carry a new request.
  bool MayReuse(const UpstreamConnection& aConnection) const;
  /// Whether this gateway has reached upstreams in some way lately.
  bool HasWay(Instant aNow) const;
  /// Starts probes that are due. Called regularly.
  void Tick(const net::any_io_executor& aExecutor, Instant aNow);
  /// No events are told any more.
  void Stop() { mIsStopped = true; }

  LinkMonitor& Links() { return mLinks; }
  const LinkMonitor& Links() const { return mLinks; }
  CarrierChoice& Carriers() { return mCarriers; }

private:
  struct Race;
  enum class Ways
  {
    DirectFirst,
    /// As DirectFirst; the direct connection must also stay open for a while.
    ProbeFirst,
    TunnelOnly,
  };

  UpstreamConnector(PlaceSettings aSelf,
                    ConnectorEvents aEvents,
                    ConnectorTransport aTransport);
  /// @param aSelf keeps this object while the task runs
  static Task<Connected> Run(std::shared_ptr<UpstreamConnector> aSelf,
                             UpstreamTarget aTarget,
                             AllowedRegions aRegions,
                             Ways aWays);
  /// The carrier to ask next for a connection, if any.
  std::optional<Carrier> NextCarrier(const Race& aRace,
                                     const UpstreamTarget& aTarget,
                                     const AllowedRegions& aRegions,
                                     std::span<const Carrier> aTried,
                                     Ways aWays) const;
  static Task<void> TryDirectly(std::shared_ptr<UpstreamConnector> aSelf,
                                std::shared_ptr<Race> aRace,
                                UpstreamTarget aTarget,
                                Ways aWays);
  static Task<void> TryCarrier(std::shared_ptr<UpstreamConnector> aSelf,
                               std::shared_ptr<Race> aRace,
                               UpstreamTarget aTarget,
                               Carrier aCarrier);
  static Task<void> Probe(std::shared_ptr<UpstreamConnector> aSelf,
                          UpstreamTarget aTarget);
  void OnTunnelFailed(const TunnelUse& aUse,
                      TunnelFailure aFailure,
                      Race& aRace);
  void StartProbes(const net::any_io_executor& aExecutor, std::size_t aCount);
  static Task<bool> Check(std::shared_ptr<UpstreamConnector> aSelf);
  /// Tells the owner when links were lost or are back.
  void Report();

  PlaceSettings mSelf;
  ConnectorEvents mEvents;
  ConnectorTransport mTransport;
  LinkMonitor mLinks;
  CarrierChoice mCarriers;
  std::uint64_t mTokens = 0;
  std::string mTokenPrefix;
  std::optional<Instant> mTunnelledAt;
  /// When the last direct attempt began that succeeded.
  Instant mReachedSince;
  /// When upstreams were last probed for a check of the links.
  Instant mCheckedAt;
  /// In progress.
  std::size_t mDirectAttempts = 0;
  std::size_t mProbes = 0;
  /// Those that wait for the outcome of direct attempts.
  std::set<net::steady_timer*> mChecks;
  bool mIsReportedLost = false;
  bool mIsStopped = false;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_UPSTREAM_CONNECTOR_HPP
