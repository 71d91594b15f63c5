#ifndef CACTUSGW_CONFIG_CONFIG_STORE_HPP
#define CACTUSGW_CONFIG_CONFIG_STORE_HPP

/// The configuration a VM has in force. It only ever moves to higher
/// revisions, whatever arrives in whatever order.

#include "cactusgw/config/config_head.hpp"
#include "cactusgw/config/deployment.hpp"
#include "cactusgw/core/verdict.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace cactusgw {

/// What brings a VM that holds one revision to a later one.
struct ConfigUpdate
{
  /// Zero when the document is whole, not a patch.
  std::uint64_t mFromRevision = 0;
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::string mDocument;
};

enum class ApplyOutcome
{
  Applied,
  /// The update is not newer than what is in force.
  NotNewer,
  /// The update starts at a revision this VM does not hold.
  NeedsWhole,
  /// Malformed, or the digest does not match: nothing was applied.
  Refused,
};

/// Not thread-safe; one instance per agent.
class ConfigStore
{
public:
  /// Patches kept to serve VMs that are a little behind.
  static constexpr std::size_t kMaxHistory = 64;

  /// @param aDataCentre whose overlay applies here
  static ConfigStore Create(std::string aDataCentre);

  ApplyOutcome Apply(const ConfigUpdate& aUpdate);
  /// Applies the patches of a head, as far as they connect.
  ApplyOutcome ApplyHead(const ConfigHead& aHead);

  /// The smallest update for a VM that holds the given revision.
  ConfigUpdate UpdateFrom(std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return mRevision; }
  std::uint64_t Digest() const { return mDigest; }
  const Deployment& Current() const { return mDeployment; }
  const boost::json::value& Document() const { return mDocument; }

private:
  explicit ConfigStore(std::string aDataCentre);
  ApplyOutcome Install(boost::json::value aDocument,
                       std::uint64_t aRevision,
                       std::uint64_t aDigest);

  std::string mDataCentre;
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  boost::json::value mDocument;
  Deployment mDeployment;
  std::deque<ConfigPatch> mHistory;
};

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_CONFIG_STORE_HPP
