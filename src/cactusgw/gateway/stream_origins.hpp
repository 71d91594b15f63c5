#ifndef CACTUSGW_GATEWAY_STREAM_ORIGINS_HPP
#define CACTUSGW_GATEWAY_STREAM_ORIGINS_HPP

/// Which version of an upstream's software began a stream. What two versions
/// produce doesn't fit together, so a stream that has begun may go on only at
/// the version that began it, at whichever gateway its client resumes it.

#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw {

/// The version that began a stream, as gateways tell each other.
struct StreamOrigin
{
  /// Stable hash of the id of the request that received the first event.
  std::uint64_t mRequest = 0;
  std::string mVersion;
  Instant mBegunAt;
};

/// Not thread-safe. Time is passed in.
class StreamOrigins
{
public:
  /// How long a stream is remembered after its begin. Longer than clients wait
  /// for a stream.
  static constexpr Milliseconds kLifetime{ 60'000 };
  /// Streams that are remembered; beyond that the oldest is forgotten.
  static constexpr std::size_t kMaxStreams = 50'000;
  /// Maximum length of a version's name that is taken from other gateways.
  static constexpr std::size_t kMaxNameBytes = 256;

  static StreamOrigins Create() { return StreamOrigins{}; }

  /// Sets the services whose streams other gateways need to be told of, as they
  /// can't tell by other means which version began a stream.
  void SetShared(std::set<std::string, std::less<>> aServices);
  bool IsAnyShared() const { return !mSharedServices.empty(); }
  /// Records the first event of a stream.
  void OnBegun(std::string_view aService,
               std::string_view aRequestId,
               std::string_view aVersion,
               Instant aNow);
  /// Takes over what another gateway knows. The earlier begin of a stream
  /// counts.
  void Merge(const StreamOrigin& aOrigin, Instant aNow);
  /// Takes over what the store holds. Others aren't told: they can read it.
  void AddStored(const StreamOrigin& aOrigin, Instant aNow);
  /// Forgets what is older than kLifetime.
  void Expire(Instant aNow);

  /// The version that began a stream; empty if it isn't known.
  std::optional<std::string> VersionOf(std::string_view aRequestId) const;

  /// What other gateways need to be told, for ChangeSender: the streams of
  /// shared services.
  std::pair<std::vector<StreamOrigin>, std::uint64_t> ChangedSince(
    std::uint64_t aVersion,
    std::size_t aMax) const;
  std::uint64_t Version() const { return mVersion; }
  /// The same for all: what is lost on the way isn't repeated, but treated as
  /// unknown.
  std::uint64_t Digest() const { return 0; }
  std::size_t Size() const { return mStreams.size(); }

private:
  struct Stream
  {
    std::string mService;
    std::string mVersion;
    Instant mBegunAt;
    /// Version of the index with which the stream is to be sent; zero if it
    /// isn't.
    std::uint64_t mSharedAt = 0;
  };

  StreamOrigins() = default;
  void Share(std::uint64_t aRequest, Stream& aStream);
  void Unshare(const Stream& aStream);
  void Add(std::uint64_t aRequest, Stream aStream);
  void Forget(std::uint64_t aRequest);

  std::set<std::string, std::less<>> mSharedServices;
  std::map<std::uint64_t, Stream> mStreams;
  /// Streams by their begin.
  std::set<std::pair<Instant, std::uint64_t>> mByAge;
  /// Streams to send, by the version of the index.
  std::map<std::uint64_t, std::uint64_t> mShared;
  std::uint64_t mVersion = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STREAM_ORIGINS_HPP
