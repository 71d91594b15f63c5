#ifndef CACTUSGW_CONFIG_CONFIG_HEAD_HPP
#define CACTUSGW_CONFIG_CONFIG_HEAD_HPP

/// The platform object that says which configuration is in force.
///
/// The head names a snapshot of a whole document and the merge patches that
/// lead from it to the present revision. A change is accepted by one
/// conditional write of the head; watchers read the small head only.

#include "cactusgw/core/verdict.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Platform key of the head.
inline constexpr const char* kConfigHeadKey = "config/head";

struct ConfigPatch
{
  /// The revision that the patch leads to, from the one before.
  std::uint64_t mRevision = 0;
  /// Digest of the document at that revision.
  std::uint64_t mDigest = 0;
  boost::json::value mPatch;
};

struct ConfigHead
{
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::string mSnapshotKey;
  std::uint64_t mSnapshotRevision = 0;
  /// In order of revision, up to the present one.
  std::vector<ConfigPatch> mPatches;
};

/// Patches kept in the head before a new snapshot is due.
inline constexpr std::size_t kMaxHeadPatches = 16;
inline constexpr std::size_t kMaxHeadBytes = std::size_t{ 64 } * 1024;

/// Errors: InvalidInput for a malformed head.
Result<ConfigHead> ParseConfigHead(std::string_view aText);

std::string SerializeConfigHead(const ConfigHead& aHead);

/// Whether the next change should come with a new snapshot.
bool NeedsSnapshot(const ConfigHead& aHead);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_CONFIG_HEAD_HPP
