#ifndef CACTUSGW_GATEWAY_UPSTREAM_DIRECTORY_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_DIRECTORY_HPP

/// The registered upstreams and the data centres that operators have drained.

#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusgw {

/// The registration of an upstream, as written by the upstream.
struct UpstreamRecord
{
  std::string mId;
  std::string mService;
  /// `IP:port`.
  std::string mAddress;
  std::string mDataCentre;
  /// Version of its software; empty if unknown.
  std::string mVersion;
  /// Unix time at which the upstream started; distinguishes restarts under the
  /// same id.
  std::int64_t mStartedMs = 0;
  /// Requests that it can process concurrently.
  std::uint32_t mSlots = 0;
  bool mIsDraining = false;
  /// Remaining time for which the upstream is cold, counted from the write of
  /// the record.
  Milliseconds mColdTime{ 0 };
};

/// The start of an upstream that a registration is of.
UpstreamStart StartOf(const UpstreamRecord& aUpstream);

/// A registration and the state that this process derives from it.
struct KnownUpstream
{
  UpstreamRecord mRecord;
  Instant mColdUntil;
  /// Set while the registration is missing but may only have expired during a
  /// store outage.
  bool mIsMissing = false;
  Instant mMissingSince;
  /// When the registration was last read.
  Instant mReadAt;
};

/// Why an upstream counts as draining.
enum class DrainEvidence
{
  /// The upstream or its registration says so. Holds for this start of the
  /// upstream, whatever its registration says later.
  Stated,
  /// Another gateway says so, which may have found the registration removed.
  /// Holds until the registration is read again.
  Notice,
};

/// The effect of an update of the directory.
enum class DirectoryChange
{
  None,
  Added,
  /// The upstream is draining or was removed: its generations are migrated.
  DrainingOrRemoved,
  Updated,
};

/// Not thread-safe. Time is passed in.
class UpstreamDirectory
{
public:
  UpstreamDirectory(const UpstreamDirectory&) = delete;
  UpstreamDirectory& operator=(const UpstreamDirectory&) = delete;
  UpstreamDirectory(UpstreamDirectory&&) = default;
  UpstreamDirectory& operator=(UpstreamDirectory&&) = default;

  /// How long registrations may be missing after the store recovered before
  /// their upstreams are removed: the platform registers live upstreams again
  /// within about two seconds.
  static constexpr Milliseconds kReregistrationGrace{ 2000 };
  /// Maximum number of starts that are remembered as draining. Beyond it the
  /// oldest that are not registered are forgotten.
  static constexpr std::size_t kMaxDrainingStarts = 4096;

  static UpstreamDirectory Create() { return UpstreamDirectory{}; }

  /// Adds or updates a registration.
  DirectoryChange Put(UpstreamRecord aRecord, Instant aNow);
  /// Handles the removal of a registration. During the grace period the
  /// upstream is kept and marked as missing, unless the removal was meant: the
  /// upstream is draining, or its registration was written after the outage.
  DirectoryChange Remove(std::string_view aId, Instant aNow);

  /// Marks an upstream as draining after a notice from another source than its
  /// registration. When the start time differs, the notice concerns another
  /// start of the upstream, and is only remembered.
  /// @return whether the registered upstream was newly marked, or only by a
  /// notice before
  bool MarkDraining(std::string_view aId,
                    std::int64_t aStartedMs,
                    DrainEvidence aEvidence = DrainEvidence::Stated);
  /// Whether this start of an upstream, registered or not, is remembered to
  /// have stated that it is draining.
  bool HasStatedDraining(const UpstreamStart& aUpstream) const
  {
    return mDrainingStarts.count(aUpstream) != 0;
  }

  /// The store has returned from an outage at this time: starts the grace
  /// period for registrations that expired meanwhile. Must be called before the
  /// first changes after the outage.
  void OnStoreReturned(Instant aAt);
  /// End of the grace period.
  Instant GraceUntil() const { return mGraceUntil; }
  /// Removes the upstreams that are still missing after the grace period.
  /// Returns their ids.
  std::vector<std::string> RemoveExpired(Instant aNow);

  void SetDrained(const std::string& aDataCentre, bool aIsDrained);
  bool IsDrained(const std::string& aDataCentre) const
  {
    return mDrained.count(aDataCentre) != 0;
  }

  const KnownUpstream* Find(std::string_view aId) const;
  /// The upstreams of a service that accept new requests: neither draining nor
  /// in a drained data centre.
  std::vector<const KnownUpstream*> Serving(std::string_view aService) const;
  /// All registered upstreams of a service.
  std::vector<const KnownUpstream*> OfService(std::string_view aService) const;
  /// The upstreams that are registered at an address. There are several when
  /// one took over the address of another that has not expired yet.
  std::vector<const KnownUpstream*> AtAddress(std::string_view aAddress) const;
  std::size_t Size() const { return mUpstreams.size(); }

private:
  using Upstreams = std::map<std::string, KnownUpstream, std::less<>>;

  struct DrainingStart
  {
    /// Empty if unknown.
    std::string mAddress;
    /// Position in the order in which the starts were added.
    std::uint64_t mOrder = 0;
  };

  UpstreamDirectory() = default;
  Upstreams::iterator Erase(Upstreams::iterator aAt);
  void RemoveFromAddress(const KnownUpstream& aUpstream);

  /// Returns whether the start was not known to be draining.
  bool RememberDraining(const UpstreamStart& aUpstream,
                        const std::string& aAddress);
  void ForgetOldestUnregistered();
  /// Whether the registration is of a start that stated that it is draining.
  bool IsOfDrainingStart(const UpstreamRecord& aRecord) const;
  bool IsRegistered(const UpstreamStart& aUpstream) const;
  /// Whether a registration that is missing now may have expired in the outage.
  bool MayHaveExpired(const KnownUpstream& aUpstream, Instant aNow) const;

  Upstreams mUpstreams;
  /// Points into mUpstreams, whose entries stay where they are.
  std::unordered_multimap<std::string, const KnownUpstream*> mByAddress;
  /// Outlives the registrations, which may be stale or may return.
  std::map<UpstreamStart, DrainingStart> mDrainingStarts;
  std::uint64_t mNextOrder = 0;
  std::set<std::string> mDrained;
  Instant mGraceUntil;
  /// When the first changes after the outage were read: all that happened until
  /// then. Empty before.
  std::optional<Instant> mFirstChangesAt;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_DIRECTORY_HPP
