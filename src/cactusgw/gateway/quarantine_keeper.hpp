#ifndef CACTUSGW_GATEWAY_QUARANTINE_KEEPER_HPP
#define CACTUSGW_GATEWAY_QUARANTINE_KEEPER_HPP

/// Keeps quarantines of prompt parts in the platform's store, so that they
/// outlast a restart of all gateways.

#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/request_crashes.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cactusgw {

/// A quarantine as the store holds it.
struct StoredQuarantine
{
  PartSet mParts;
  /// Unix time of the write.
  std::int64_t mWrittenMs = 0;
};

/// The form in which the store holds the quarantine of a request. No ID of a
/// prompt part contains a colon.
PartSet StoredFormOf(RequestFingerprint aRequest);

/// The name under which every gateway stores a quarantine of these parts.
std::string QuarantineName(const PartSet& aParts);

/// Functions that change the stored quarantines. All must be set.
struct QuarantineRecords
{
  /// Adds a quarantine; succeeds as well when it is there already.
  std::function<boost::asio::awaitable<Result<void>>(StoredQuarantine)> mAdd;
  /// Removes a quarantine by its name.
  std::function<boost::asio::awaitable<Result<void>>(std::string)> mRemove;
};

/// A change that the store lacks: a quarantine to add or a name to remove.
struct QuarantineEdit
{
  std::optional<StoredQuarantine> mAdded;
  std::string mRemoved;
};

/// Decides which stored quarantines to add and remove. Not thread-safe. Time is
/// passed in.
class QuarantineKeeper
{
public:
  /// Age from which a stored quarantine is removed. It is added again if its
  /// evidence lasts.
  static constexpr Milliseconds kMaxAge = CrashEvidence::kMaxAge;
  /// Maximum number of stored quarantines; further ones are not stored.
  static constexpr std::size_t kMaxStored = 256;

  static QuarantineKeeper Create() { return QuarantineKeeper{}; }

  /// Applies a change in the store.
  void OnChange(const std::string& aName,
                std::optional<StoredQuarantine> aStored);
  /// The store was restored from a copy, and may lack some quarantines. Those
  /// that were known stay in force and are added again.
  void OnStoreRestored();
  /// The stored quarantines of prompt parts, and of requests.
  std::vector<PartSet> StoredParts() const;
  std::set<RequestFingerprint> StoredRequests() const;

  /// Returns the next change that the store lacks, if any.
  /// @param aUnixMs the current Unix time
  std::optional<QuarantineEdit> NextEdit(
    const std::vector<Quarantine>& aQuarantines,
    std::int64_t aUnixMs) const;

private:
  QuarantineKeeper() = default;

  /// All that are in force: those in the store, and those that it has lost.
  std::map<std::string, StoredQuarantine> All() const;

  std::map<std::string, StoredQuarantine> mStored;
  /// Known before the store was restored, as far as it doesn't hold them.
  std::map<std::string, StoredQuarantine> mLost;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_QUARANTINE_KEEPER_HPP
