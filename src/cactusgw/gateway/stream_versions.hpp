#ifndef CACTUSGW_GATEWAY_STREAM_VERSIONS_HPP
#define CACTUSGW_GATEWAY_STREAM_VERSIONS_HPP

/// Which versions of a service's software may have begun a stream. The store
/// holds a record of each: it is written before the first stream begins at the
/// version, and removed only when the streams of the version can't be resumed
/// any more. So a read of the records names all versions that can have begun a
/// stream before the read, whatever this gateway has missed.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/stream_origins.hpp"
#include "cactusgw/interfaces/registry_source.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw {

/// A record as the store holds it.
struct StoredStreamVersion
{
  std::string mService;
  std::string mVersion;
  /// Whether streams may begin at the version. False once all of its upstreams
  /// have left.
  bool mIsServing = true;
  /// Revision of the record's last change.
  std::uint64_t mRevision = 0;
};

/// The name under which every gateway stores the record of a version.
std::string StreamVersionName(std::string_view aService,
                              std::string_view aVersion);

/// A change that the store lacks.
struct StreamVersionEdit
{
  enum class Kind
  {
    Add,
    /// Conditional on the revision of the record.
    Replace,
    /// Conditional on the revision of the record.
    Remove,
  };

  Kind mKind = Kind::Add;
  /// What the record is to hold; its revision is the one to replace.
  StoredStreamVersion mRecord;
};

/// A service and a version of its software.
using ServiceVersion = std::pair<std::string, std::string>;

/// Functions that read and change the records. Empty where the platform has no
/// place for them; then streams begin at any version, and only the versions of
/// streams that gateways tell each other of are known.
struct StreamVersionRecords
{
  /// Returns all records. The result contains each write that was completed
  /// before the call.
  std::function<boost::asio::awaitable<Result<CollectionUpdate>>()> mRead;
  /// Errors: Conflict if the record has changed or is there already,
  /// StoreUnavailable.
  std::function<boost::asio::awaitable<Result<void>>(StreamVersionEdit)> mWrite;
};

/// Not thread-safe. Time is passed in.
class StreamVersions
{
public:
  /// Longest time for which a gateway may go on beginning streams at a version
  /// after the store recorded that it has left. Gateways that have not heard of
  /// the store for the shorter maximum age of the configuration serve nothing.
  static constexpr Milliseconds kMaxLag{ 15'000 };
  /// How long no upstream of a version must serve before the version counts as
  /// left. Registrations of upstreams that restart lapse for a shorter time.
  static constexpr Milliseconds kLeaveTime{ 5000 };
  /// Time after which a record of a version that has left is removed.
  static constexpr Milliseconds kRetention = StreamOrigins::kLifetime + kMaxLag;
  /// Time for a record to be written. Streams then begin at a version without
  /// one if the service has no other version.
  static constexpr Milliseconds kMaxWriteTime{ 2000 };
  /// Number of records from which on no more are added.
  static constexpr std::size_t kMaxRecords = 1024;

  /// @param aAreRecorded whether the platform has a place for records
  static StreamVersions Create(bool aAreRecorded)
  {
    return StreamVersions{ aAreRecorded };
  }

  /// Applies a change in the store.
  /// @param aName the record's name; the content is empty if it was removed
  void OnStored(const std::string& aName,
                std::optional<StoredStreamVersion> aRecord,
                Instant aNow);
  /// All records that the store holds have been applied once.
  void OnListed() { mIsListed = true; }
  bool IsListed() const { return mIsListed; }
  /// Sets the versions of all services whose upstreams take new requests.
  void OnServing(const std::set<ServiceVersion>& aVersions, Instant aNow);

  /// Whether a new stream may begin at the version.
  bool MayBegin(std::string_view aService,
                std::string_view aVersion,
                Instant aNow) const;

  /// The versions that may have begun a stream of the service within a time, as
  /// far as the records are known here.
  /// @param aMaxAge longest time since the begin of the stream
  std::vector<std::string> MayHaveBegun(std::string_view aService,
                                        Milliseconds aMaxAge,
                                        Instant aNow) const;

  /// The next change that the store lacks, if any. To be asked only while this
  /// gateway knows the upstreams and the records as the store holds them.
  std::optional<StreamVersionEdit> NextEdit(Instant aNow) const;

private:
  struct Record
  {
    StoredStreamVersion mStored;
    /// False once the store has removed the record.
    bool mIsStored = true;
    /// When this gateway learned of the present state. Not earlier than the
    /// state itself.
    Instant mLearnedAt;
  };
  /// A version whose upstreams this gateway knows, or knew lately.
  struct Serving
  {
    Instant mSince;
    Instant mLastSeen;
    bool mIsServing = true;
  };

  explicit StreamVersions(bool aAreRecorded)
    : mAreRecorded(aAreRecorded)
  {
  }
  void Expire(Instant aNow);
  /// The record of a version; null if the store holds none.
  const Record* Find(const ServiceVersion& aVersion) const;
  /// Whether the store has a record that lets streams begin at the version.
  bool IsRecordedAsServing(const ServiceVersion& aVersion) const;
  /// Whether no upstream of the version has served for long enough.
  bool HasLeft(const Record& aRecord, Instant aNow) const;

  bool mAreRecorded;
  bool mIsListed = false;
  /// By the record's name.
  std::map<std::string, Record> mRecords;
  std::map<ServiceVersion, Serving> mServing;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STREAM_VERSIONS_HPP
