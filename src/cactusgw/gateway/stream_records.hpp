#ifndef CACTUSGW_GATEWAY_STREAM_RECORDS_HPP
#define CACTUSGW_GATEWAY_STREAM_RECORDS_HPP

/// Keeps what shows the versions of streams in the platform's store, and reads
/// it when a client resumes a stream that this gateway doesn't know.

#include "cactusgw/gateway/joined_read.hpp"
#include "cactusgw/gateway/store_view.hpp"
#include "cactusgw/gateway/stream_origin_batches.hpp"
#include "cactusgw/gateway/stream_versions.hpp"

#include <functional>
#include <optional>

namespace cactusgw {

class GatewayState;

/// What a gateway may write at present. All functions must be set.
struct StreamWriterRole
{
  /// Whether it knows the upstreams and reads the store.
  std::function<bool()> mMayWriteVersions;
  /// Whether it is the one that writes streams.
  std::function<bool()> mWritesStreams;
  /// Time for which gateways that come first may write what is due.
  std::function<Milliseconds()> mWriteDelay;
};

/// Not thread-safe; lives on one io_context as long as the process.
class StreamRecords
{
public:
  StreamRecords(net::io_context& aContext,
                GatewayState& aState,
                StoreView& aView,
                StreamVersionRecords aVersions,
                StreamOriginRecords aOrigins);

  /// Starts to write. To be called once.
  void Start(StreamWriterRole aRole);

  /// Another gateway has told the begins of streams: resumptions of them don't
  /// wait for reads any longer.
  void OnOriginsHeard();

private:
  /// Returns false if the records can't be read, or are older than what is
  /// known of the store.
  Task<bool> ReadVersions();
  /// Writes the records of versions that are due. Never returns.
  Task<void> WriteVersions();
  Task<void> Write(StreamVersionEdit aEdit);
  std::optional<StreamVersionEdit> NextEdit() const;
  Task<bool> ReadOrigins();
  /// Writes streams while that is this gateway's part, or removes what is left
  /// of them. Never returns.
  Task<void> WriteOrigins();
  Task<void> WriteNextBatch();
  Task<void> RemoveBatches();

  net::io_context& mContext;
  GatewayState& mState;
  StoreView& mView;
  StreamVersionRecords mVersions;
  StreamOriginRecords mOrigins;
  StreamOriginBatches mBatches;
  JoinedRead mVersionRead;
  JoinedRead mOriginRead;
  StreamWriterRole mRole;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STREAM_RECORDS_HPP
