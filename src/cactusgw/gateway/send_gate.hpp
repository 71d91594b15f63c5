#ifndef CACTUSGW_GATEWAY_SEND_GATE_HPP
#define CACTUSGW_GATEWAY_SEND_GATE_HPP

/// Decides whether a request, or the state of one, may go to an upstream. The
/// decision holds for one moment: routes, workspaces, regions and upstreams may
/// change while a request waits, and it is made anew for each send.

#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/core/allowed_regions.hpp"
#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/request_crashes.hpp"
#include "cactusgw/core/send_clearance.hpp"
#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/routing_table.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"
#include "cactusgw/gateway/upstream_pauses.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// What the gate needs to know of a request. It stays with the request, so that
/// each send is decided by the newest configuration and evidence.
struct RequestOrigin
{
  std::string mHost;
  std::string mPath;
  /// API key, also on routes that need none; empty if the client sent none.
  std::string mKey;
  /// Workspace that the key belonged to at admission; empty if to none.
  std::string mWorkspace;
  /// Prefix of the route and service that were selected at admission.
  std::string mRoutePrefix;
  std::string mService;
  /// Restrictions at admission. They, or newer ones that the routing table
  /// remembers, stay in force when a later version does not contain the route
  /// or the workspace, or leads to another service.
  AllowedRegions mRouteRegions = AllowedRegions::Everywhere();
  AllowedRegions mWorkspaceRegions = AllowedRegions::Everywhere();
  RequestFingerprint mFingerprint;
  /// Supposed crashes that ended attempts of this request itself. A sound
  /// stream may be broken off more than once and is retried for its client.
  std::size_t mOwnCrashes = 0;
  /// Version of the upstream that began the stream; empty before its first
  /// event.
  std::string mStreamVersion;
  /// IDs of the prompt's parts that other requests may share.
  std::vector<std::string> mSharedParts;
};

enum class SendPurpose
{
  /// Sends the request, for the first time or again.
  Request,
  /// Copies the state of its generation.
  Copy,
  /// Continues a generation where its state is already; the upstream may be
  /// draining, and a paused upstream takes a few.
  Continuation,
};

/// What the gate decides by, as it is at one moment. Refers to the state of the
/// gateway and must not outlive a function that waits for nothing.
struct SendFacts
{
  /// The newest configuration; null before the first one.
  const RoutingTable* mTable = nullptr;
  /// Whether the newest version in the store could be decoded.
  bool mIsTableNewest = true;
  /// Whether the configuration is young enough for requests to be sent by it,
  /// and for its restrictions to regions to be trusted: a gateway that is cut
  /// off from the store, or was suspended, doesn't know what has changed.
  bool mIsTableFresh = true;
  bool mAreRegionsFresh = true;
  const UpstreamDirectory& mDirectory;
  const RegionMap& mRegions;
  const UpstreamPauses& mPauses;
  const CrashEvidence& mCrashes;
  const RequestCrashes& mRequestCrashes;
  Instant mNow;
};

/// Cheap to make. Not thread-safe.
class SendGate
{
public:
  explicit SendGate(const SendFacts& aFacts)
    : mFacts(aFacts)
  {
  }

  /// Regions in which the newest configuration allows the request: those that
  /// both its route and its workspace allow.
  AllowedRegions RegionsFor(const RequestOrigin& aOrigin) const;

  /// The same, for a decision. Errors: NotRun with StoreUnavailable when the
  /// request is restricted by a configuration that is too old.
  Result<AllowedRegions> TrustedRegionsFor(const RequestOrigin& aOrigin) const;

  /// Whether some data centre lies in these regions. Without one, no wait can
  /// help the request.
  bool HasDataCentre(const AllowedRegions& aRegions) const;

  /// Whether the upstream is known to be in these regions. An upstream whose
  /// region is unknown, or whose address is also registered by an upstream
  /// elsewhere, is in no particular region.
  bool IsWithin(const AllowedRegions& aRegions,
                const UpstreamRecord& aUpstream) const;

  /// Refuses a request that crashed upstreams, or whose prompt parts did.
  /// Errors: NotRun with Quarantined.
  Result<void> CheckQuarantine(const RequestOrigin& aOrigin) const;
  /// Also refuses a request that may have crashed upstreams a moment ago, or of
  /// which a copy is on trial. Errors: as above.
  Result<void> CheckSuspicion(const RequestOrigin& aOrigin) const;

  /// The one of the two checks that applies to a send. The state of a
  /// generation is where it is already: it is not held back.
  Result<void> CheckCrashes(const RequestOrigin& aOrigin,
                            SendPurpose aPurpose) const;

  /// Clears one send. Errors, all NotRun: Quarantined; UpstreamUnreachable when
  /// the upstream has left, restarted or moved, is paused, or accepts no new
  /// work; StoreUnavailable; OutsideHomeRegions.
  /// @param aCarrierDataCentre where the gateway is that passes the request on;
  ///        empty without one
  Result<SendClearance> Clear(const RequestOrigin& aOrigin,
                              const UpstreamTarget& aTarget,
                              SendPurpose aPurpose,
                              std::string_view aCarrierDataCentre = {}) const;
  /// Whether these regions allow that a gateway in this data centre passes a
  /// request on.
  bool MayCarry(const AllowedRegions& aRegions,
                std::string_view aDataCentre) const;

private:
  Result<void> HeldBack(const RequestOrigin& aOrigin) const;
  AllowedRegions RouteRegionsFor(const RequestOrigin& aOrigin) const;
  AllowedRegions WorkspaceRegionsFor(const RequestOrigin& aOrigin) const;
  /// Whether the newest configuration serves the request as at admission.
  static bool IsRouteOf(const GatewayRoute& aRoute,
                        const RequestOrigin& aOrigin);
  bool IsPausedFor(const UpstreamRecord& aUpstream, SendPurpose aPurpose) const;
  std::string RegionOf(std::string_view aDataCentre) const;

  SendFacts mFacts;
};

/// The start and address at which an upstream is registered.
UpstreamTarget TargetOf(const UpstreamRecord& aUpstream);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_SEND_GATE_HPP
