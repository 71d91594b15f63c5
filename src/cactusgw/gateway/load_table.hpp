#ifndef CACTUSGW_GATEWAY_LOAD_TABLE_HPP
#define CACTUSGW_GATEWAY_LOAD_TABLE_HPP

/// What each upstream has to do for this gateway and, as far as heard, for the
/// others.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/upstream_use.hpp"

#include <cstdint>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class LoadTable
{
public:
  /// The others' figures count for this long after they were heard.
  static constexpr Milliseconds kValidity{ 2000 };

  static LoadTable Create() { return LoadTable{}; }

  void Add(std::string_view aUpstream, const UpstreamUse& aUse);
  void Subtract(std::string_view aUpstream, const UpstreamUse& aUse);
  /// Replaces what is known of the others. @param aHeard when it was true
  void SetOthers(UseSums aOthers, Instant aHeard);

  /// Use by this gateway and, if heard lately, by the others.
  UpstreamUse Total(std::string_view aUpstream, Instant aNow) const;
  /// What the gateways whose turn comes first have there to move.
  MoveTurn MovedFirst(std::string_view aUpstream, Instant aNow) const;
  const UseByUpstream& Own() const { return mOwn; }
  /// Rises with each change of this gateway's use.
  std::uint64_t OwnVersion() const { return mOwnVersion; }

private:
  LoadTable() = default;
  const UseSum* FindOthers(std::string_view aUpstream, Instant aNow) const;

  UseByUpstream mOwn;
  std::uint64_t mOwnVersion = 1;
  UseSums mOthers;
  Instant mHeard;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LOAD_TABLE_HPP
