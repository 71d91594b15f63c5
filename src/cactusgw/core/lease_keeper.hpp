#ifndef CACTUSGW_CORE_LEASE_KEEPER_HPP
#define CACTUSGW_CORE_LEASE_KEEPER_HPP

/// A lease stored in a versioned object that is updated by compare-and-swap.
/// This class decides what to read and write; the caller does the I/O.
///
/// The holder counts the validity of the lease from before it sent its last
/// successful write. Other VMs count the expiry from when they first saw that
/// version. So the holder always stops before another VM may take the lease,
/// however long messages are delayed.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw {

/// The content of the lease object.
struct LeaseRecord
{
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  /// Unique to each write. If the response to a write is lost, a later read
  /// shows by the nonce whether the write took effect.
  std::uint64_t mNonce = 0;
  Milliseconds mDuration{ 0 };
  /// The VMs whose promises not to take the lease let the holder keep it while
  /// the platform is unreachable.
  std::vector<std::string> mGroup;

  bool operator==(const LeaseRecord&) const = default;
};

struct LeaseSettings
{
  Milliseconds mDuration{ 10'000 };
  /// Interval at which the holder renews the lease.
  Milliseconds mRenewInterval{ 3000 };
  /// Safety margin for clock drift and process pauses: the holder subtracts it
  /// from the validity, other VMs add it to the expiry.
  Milliseconds mGuard{ 1000 };
  /// Longest time for which promises alone extend the lease. A VM outside the
  /// holder's group waits this much longer before it takes the lease.
  Milliseconds mMaxExtension{ 3'600'000 };
};

enum class LeaseAction
{
  Wait,
  Read,
  Write,
};

struct LeaseStep
{
  LeaseAction mAction = LeaseAction::Wait;
  /// For Write: the version that the object must have; zero to create it.
  std::uint64_t mExpectedVersion = 0;
  LeaseRecord mRecord;
};

/// Not thread-safe. One instance per agent and lease.
class LeaseKeeper
{
public:
  static LeaseKeeper Create(std::string aVm,
                            std::uint64_t aIncarnation,
                            LeaseSettings aSettings);

  /// Returns the next action. The caller must send a Write at once, and report
  /// its outcome by OnWritten(), OnConflict() or OnWriteUnknown() before it
  /// calls Next() again.
  LeaseStep Next(Instant aNow, std::uint64_t aNonce);

  /// Reports the object as read; no value if it does not exist.
  void OnRead(std::uint64_t aVersion,
              const std::optional<LeaseRecord>& aRecord,
              Instant aNow);
  void OnReadFailed();
  void OnWritten(std::uint64_t aVersion);
  void OnConflict();
  /// The response to the write was lost; it may have taken effect.
  void OnWriteUnknown();

  /// Sets the group that the next write stores.
  void SetGroup(std::vector<std::string> aGroup);
  /// The group as last written. If all of its VMs promise not to take the
  /// lease, the lease is extended.
  const std::vector<std::string>& Group() const { return mSeen.mGroup; }
  /// All VMs of the group have promised not to take the lease until aUntil.
  void ExtendUntil(Instant aUntil);
  /// This VM has promised the holder not to take the lease until aUntil.
  void Promise(Instant aUntil);

  /// Gives up the lease before it expires. The next Write clears the holder.
  void Resign();

  /// Whether this VM holds the lease. Check it right before each action that
  /// requires the lease.
  bool IsHeld(Instant aNow) const;
  /// Increases with each change of holder. Zero before the first acquisition,
  /// after a conflict and once a resignation is written. Expiry doesn't clear
  /// it: check IsHeld().
  std::uint64_t FencingToken() const { return mFencingToken; }
  /// The holder as last read or written; empty if there is none.
  const std::string& KnownHolder() const { return mSeen.mHolder; }
  std::uint64_t KnownIncarnation() const { return mSeen.mIncarnation; }
  /// End of the validity, extension included; a default-constructed time after
  /// Resign().
  Instant ValidUntil() const;
  /// Whether the lease is held only by the promises of the group.
  bool IsExtended(Instant aNow) const;

private:
  LeaseKeeper(std::string aVm,
              std::uint64_t aIncarnation,
              LeaseSettings aSettings);
  bool IsOurs(const LeaseRecord& aRecord) const;
  bool HasExpired(Instant aNow) const;
  LeaseStep StartWrite(Instant aNow, std::uint64_t aNonce);

  std::string mVm;
  std::uint64_t mIncarnation;
  LeaseSettings mSettings;

  /// The object as last read or written, and when this version was first
  /// seen.
  std::uint64_t mSeenVersion = 0;
  LeaseRecord mSeen;
  Instant mSeenSince;
  bool mHasRead = false;

  LeaseRecord mPending;
  Instant mPendingSentAt;
  bool mPendingUnknown = false;

  Instant mValidUntil;
  Instant mExtendedUntil;
  Instant mPromisedUntil;
  std::vector<std::string> mGroup;
  Instant mRenewedAt;
  std::uint64_t mFencingToken = 0;
  bool mResigning = false;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_LEASE_KEEPER_HPP
