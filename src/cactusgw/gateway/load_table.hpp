#ifndef CACTUSGW_GATEWAY_LOAD_TABLE_HPP
#define CACTUSGW_GATEWAY_LOAD_TABLE_HPP

/// Load of each upstream from this gateway and, as far as reported, from the
/// other gateways.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/upstream_load.hpp"

#include <cstdint>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class LoadTable
{
public:
  /// Figures of other gateways are ignored from this age on: twice the interval
  /// at which unchanged figures are repeated (LoadExchange::kRepeatInterval).
  static constexpr Milliseconds kValidity{ 2000 };

  static LoadTable Create() { return LoadTable{}; }

  void Add(std::string_view aUpstream, const UpstreamLoad& aLoad);
  void Subtract(std::string_view aUpstream, const UpstreamLoad& aLoad);
  /// Replaces the load of the other gateways.
  /// @param aAsOf the time at which the figures held
  void SetOthers(AggregatedLoads aOthers, Instant aAsOf);

  /// Load from this gateway and, if recent figures exist, from the others.
  UpstreamLoad Total(std::string_view aUpstream, Instant aNow) const;
  /// Pending migrations at the upstream of the gateways that migrate before
  /// this one.
  PendingMigrations MigrationsAhead(std::string_view aUpstream,
                                    Instant aNow) const;
  const LoadByUpstream& Own() const { return mOwn; }
  /// Incremented by each change of this gateway's load.
  std::uint64_t OwnVersion() const { return mOwnVersion; }

private:
  LoadTable() = default;
  const AggregatedLoad* FindOthers(std::string_view aUpstream,
                                   Instant aNow) const;

  LoadByUpstream mOwn;
  std::uint64_t mOwnVersion = 1;
  AggregatedLoads mOthers;
  Instant mOthersAsOf;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LOAD_TABLE_HPP
