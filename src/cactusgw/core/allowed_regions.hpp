#ifndef CACTUSGW_CORE_ALLOWED_REGIONS_HPP
#define CACTUSGW_CORE_ALLOWED_REGIONS_HPP

/// The regions in which requests may be served.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// A restriction that can't be read allows no region: an empty list must never
/// stand for both "no restriction" and "unknown".
class AllowedRegions
{
public:
  /// No restriction.
  static AllowedRegions Everywhere() { return AllowedRegions{}; }
  /// Restricts to the listed regions; an empty list allows none.
  static AllowedRegions Only(std::vector<std::string> aRegions);
  /// There is a restriction, but it could not be read.
  static AllowedRegions Unreadable();

  bool Allows(std::string_view aRegion) const;
  bool IsRestricted() const { return mRegions.has_value(); }
  bool IsReadable() const { return mIsReadable; }
  /// Whether no region at all is allowed.
  bool IsNowhere() const { return mRegions && mRegions->empty(); }

  /// Returns the regions that both allow.
  AllowedRegions Intersect(const AllowedRegions& aOther) const;

  /// The regions for a log line, separated by commas, or one of "any", "none"
  /// and "unreadable". Long lists are cut.
  std::string Text() const;

  bool operator==(const AllowedRegions& aOther) const = default;

private:
  AllowedRegions() = default;

  /// Absent when there is no restriction. Sorted, without duplicates.
  std::optional<std::vector<std::string>> mRegions;
  bool mIsReadable = true;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_ALLOWED_REGIONS_HPP
