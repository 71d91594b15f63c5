#ifndef CACTUSGW_CORE_LEASE_KEEPER_HPP
#define CACTUSGW_CORE_LEASE_KEEPER_HPP

/// A lease kept in a versioned object that is updated conditionally. Decides
/// what to read and write; the caller does the reading and writing.
///
/// The holder counts its validity from before its last successful write was
/// sent; others count the expiry from when they first saw that version. So the
/// holder always stops before another may start, whatever the delays.

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
  /// Distinguishes this write from every other, to settle lost answers.
  std::uint64_t mNonce = 0;
  Milliseconds mDuration{ 0 };
  /// The VMs whose promises let the holder go on without the platform.
  std::vector<std::string> mGroup;

  bool operator==(const LeaseRecord&) const = default;
};

struct LeaseSettings
{
  Milliseconds mDuration{ 10'000 };
  /// How often the holder renews.
  Milliseconds mRenewInterval{ 3000 };
  /// Subtracted by the holder, added by others: clock drift and pauses.
  Milliseconds mGuard{ 1000 };
  /// Longest time a holder goes on by promises alone. A VM outside the
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
  /// For Write: the version the object must have; zero to create it.
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

  /// What to do now. A Write must be sent at once and answered by one of the
  /// OnWrite functions before the next call.
  LeaseStep Next(Instant aNow, std::uint64_t aNonce);

  /// The object as read; no value when it does not exist.
  void OnRead(std::uint64_t aVersion,
              const std::optional<LeaseRecord>& aRecord,
              Instant aNow);
  void OnReadFailed();
  void OnWritten(std::uint64_t aVersion);
  void OnConflict();
  /// The answer was lost: the write may have taken effect.
  void OnWriteUnknown();

  /// Names the VMs that the next write states as the group.
  void SetGroup(std::vector<std::string> aGroup);
  /// The group as last written; promises of all of them extend the lease.
  const std::vector<std::string>& Group() const { return mSeen.mGroup; }
  /// All VMs of the group promised not to take the lease until then.
  void ExtendUntil(Instant aUntil);
  /// This VM promised a holder not to take the lease until then.
  void Promise(Instant aUntil);

  /// Gives the lease up early. The next Write releases the object.
  void Resign();

  /// Whether the lease may be acted on; ask right before each act.
  bool IsHeld(Instant aNow) const;
  /// Rises with each change of holder; zero while not held.
  std::uint64_t FencingToken() const { return mFencingToken; }
  /// Who holds the lease as far as known; empty when nobody is known to.
  const std::string& KnownHolder() const { return mSeen.mHolder; }
  std::uint64_t KnownIncarnation() const { return mSeen.mIncarnation; }
  Instant ValidUntil() const;
  /// Whether the lease is held by the promises of the group alone.
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

  /// The object as last seen, and since when at this version.
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
