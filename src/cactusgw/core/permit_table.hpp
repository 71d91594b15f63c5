#ifndef CACTUSGW_CORE_PERMIT_TABLE_HPP
#define CACTUSGW_CORE_PERMIT_TABLE_HPP

/// The permits of one VM: who holds a credit of which upstream.

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

/// A permit as the entry states that it is in use.
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
  /// Set while the entry does not claim the permit.
  std::optional<Instant> mAbandonedAt;
};

/// Not thread-safe.
class PermitTable
{
public:
  /// A permit this young may have crossed the entry's message.
  static constexpr Milliseconds kCrossingTime{ 1000 };

  /// @param aIncarnation of the agent, so that numbers are not used twice
  static PermitTable Create(std::uint64_t aIncarnation);

  const Permit& Add(std::string_view aUpstream,
                    std::string_view aWorkspace,
                    Instant aNow);
  /// Takes a permit out; nothing when it is unknown.
  std::optional<Permit> Remove(std::uint64_t aId);

  /// Compares with what the entry says. Permits unknown here are adopted;
  /// those the entry does not claim count as abandoned from now on.
  /// @param aIsNewEntry the entry has restarted: nothing can have crossed
  /// @return upstreams of adopted permits, one each
  std::vector<std::string> Reconcile(std::span<const LivePermit> aLive,
                                     bool aIsNewEntry,
                                     Instant aNow);
  /// Takes out the permits that have been abandoned for the given time.
  std::vector<Permit> RemoveAbandoned(Milliseconds aFor, Instant aNow);

  std::uint32_t InFlight(std::string_view aWorkspace) const;
  std::size_t Size() const { return mPermits.size(); }

private:
  explicit PermitTable(std::uint64_t aIncarnation);
  void CountOut(const Permit& aPermit);

  std::uint64_t mLastId;
  std::map<std::uint64_t, Permit> mPermits;
  std::map<std::string, std::uint32_t, std::less<>> mInFlight;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_PERMIT_TABLE_HPP
