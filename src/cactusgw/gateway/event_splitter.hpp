#ifndef CACTUSGW_GATEWAY_EVENT_SPLITTER_HPP
#define CACTUSGW_GATEWAY_EVENT_SPLITTER_HPP

/// Splits a server-sent event stream at event boundaries, so that an
/// interrupted stream can be resumed after the last complete event.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe; one instance per connection that carries the stream.
class EventSplitter
{
public:
  /// Maximum size of one event; more bytes without an event's end are not a
  /// stream.
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } * 1024;

  /// Appends received bytes.
  /// @return all complete events that were not returned before
  std::string Feed(std::string_view aBytes);

  /// Bytes of the incomplete last event.
  const std::string& Remainder() const { return mRemainder; }
  /// Id of the first complete event; empty before the first.
  const std::string& FirstId() const { return mFirstId; }
  /// Id of the last complete event; empty before the first.
  const std::string& LastId() const { return mLastId; }
  /// Number of id fields in the complete events.
  std::uint64_t IdCount() const { return mIdCount; }

private:
  void ReadIds(std::string_view aEvents);

  std::string mRemainder;
  std::string mFirstId;
  std::string mLastId;
  std::uint64_t mIdCount = 0;
};

/// Whether an event may come after another one in the same stream. Numbers
/// increase; other ids differ. An empty id restricts nothing.
bool MayFollow(std::string_view aEarlierId, std::string_view aLaterId);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_EVENT_SPLITTER_HPP
