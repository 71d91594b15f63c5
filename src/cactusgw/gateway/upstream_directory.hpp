#ifndef CACTUSGW_GATEWAY_UPSTREAM_DIRECTORY_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_DIRECTORY_HPP

/// The upstreams that exist, as registered by themselves, and the data centres
/// that operators have taken out.

#include "cactusgw/core/verdict.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// What an upstream registered about itself.
struct UpstreamRecord
{
  std::string mId;
  std::string mService;
  /// `IP:port`.
  std::string mAddress;
  std::string mDataCentre;
  /// Unix time of its start; tells two starts under one id apart.
  std::int64_t mStartedMs = 0;
  /// Requests that it works on at once.
  std::uint32_t mSlots = 0;
  bool mIsDraining = false;
  /// How long it stays cold, counted from when the record was written.
  Milliseconds mColdTime{ 0 };
};

/// A record and what this process concluded from it.
struct KnownUpstream
{
  UpstreamRecord mRecord;
  Instant mColdUntil;
  /// Set while the registration is missing and may only have lapsed.
  bool mIsMissing = false;
  Instant mMissingSince;
};

/// What a change to the directory calls for.
enum class DirectoryChange
{
  None,
  Added,
  /// It leaves, or is gone: its generations should go elsewhere.
  DrainingOrRemoved,
  Updated,
};

/// Not thread-safe. Time is passed in.
class UpstreamDirectory
{
public:
  /// Longest time that a registration may stay missing after the store came
  /// back before the upstream counts as gone: the platform re-registers live
  /// upstreams within about two seconds.
  static constexpr Milliseconds kReregistrationGrace{ 2000 };

  static UpstreamDirectory Create() { return UpstreamDirectory{}; }

  /// Takes a registration that was added or has changed.
  DirectoryChange Put(UpstreamRecord aRecord, Instant aNow);
  /// Takes the end of a registration.
  DirectoryChange Remove(std::string_view aId, Instant aNow);

  /// Takes word from elsewhere that this start of an upstream leaves.
  /// @return whether that was news
  bool MarkDraining(std::string_view aId, std::int64_t aStartedMs);

  /// The store answers again after an outage: what is missing may have lapsed.
  void OnStoreRecovered(Instant aNow)
  {
    mGraceUntil = aNow + kReregistrationGrace;
  }
  /// Until when missing registrations may only have lapsed.
  Instant GraceUntil() const { return mGraceUntil; }
  void ExtendGrace(Instant aUntil)
  {
    mGraceUntil = std::max(mGraceUntil, aUntil);
  }
  /// Forgets what has been missing for too long. Returns the ids.
  std::vector<std::string> RemoveExpired(Instant aNow);

  void SetDrained(const std::string& aDataCentre, bool aIsDrained);
  bool IsDrained(const std::string& aDataCentre) const
  {
    return mDrained.count(aDataCentre) != 0;
  }

  const KnownUpstream* Find(std::string_view aId) const;
  /// All that may get new work, of one service.
  std::vector<const KnownUpstream*> Serving(std::string_view aService) const;
  std::size_t Size() const { return mUpstreams.size(); }

private:
  UpstreamDirectory() = default;

  std::map<std::string, KnownUpstream, std::less<>> mUpstreams;
  std::set<std::string> mDrained;
  Instant mGraceUntil;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_DIRECTORY_HPP
