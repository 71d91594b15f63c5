#ifndef CACTUSGW_CORE_PERMIT_TABLE_HPP
#define CACTUSGW_CORE_PERMIT_TABLE_HPP

/// The permits granted on one VM. A permit is one credit of an upstream held by
/// one request.

#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// A permit that the entry reports as in use.
struct LivePermit
{
  std::uint64_t mPermit = 0;
  std::string mUpstream;
};

struct Permit
{
  std::uint64_t mId = 0;
  std::string mUpstream;
  std::string mWorkspace;
  Instant mGrantedAt;
  /// When the entry was first found not to report the permit; unset while it
  /// does.
  std::optional<Instant> mAbandonedAt;
};

/// Not thread-safe.
class PermitTable
{
public:
  /// A permit granted less than this ago isn't taken for abandoned: the entry
  /// may have sent its message before it received the permit.
  static constexpr Milliseconds kPermitTransitTime{ 1000 };

  /// @param aIncarnation incarnation of the agent; part of the permit ids, so
  ///        that they stay unique across restarts
  static PermitTable Create(std::uint64_t aIncarnation);

  const Permit& Add(std::string_view aUpstream,
                    std::string_view aWorkspace,
                    Instant aNow);
  /// Removes and returns a permit; returns nothing when it is unknown.
  std::optional<Permit> Remove(std::uint64_t aId);

  /// Reconciles the table with the permits that the entry reports. Permits
  /// unknown here are adopted; those that the entry doesn't report are marked
  /// as abandoned.
  /// @param aIsNewEntry the entry has restarted, so recently granted permits
  ///        can't be in transit to it
  /// @return the upstream of each adopted permit
  std::vector<std::string> Reconcile(std::span<const LivePermit> aLive,
                                     bool aIsNewEntry,
                                     Instant aNow);
  /// Removes and returns the permits abandoned for at least the given time.
  std::vector<Permit> RemoveAbandoned(Milliseconds aFor, Instant aNow);

  std::uint32_t InFlight(std::string_view aWorkspace) const;
  std::size_t Size() const { return mPermits.size(); }

private:
  explicit PermitTable(std::uint64_t aIncarnation);
  void DecrementInFlight(const Permit& aPermit);

  std::uint64_t mLastId;
  std::map<std::uint64_t, Permit> mPermits;
  std::map<std::string, std::uint32_t, std::less<>> mInFlight;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_PERMIT_TABLE_HPP
