#ifndef CACTUSGW_GATEWAY_EVENT_SPLITTER_HPP
#define CACTUSGW_GATEWAY_EVENT_SPLITTER_HPP

/// Cuts a server-sent event stream after whole events, so that a stream that
/// breaks off can be continued behind the last whole one.

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe; one instance per connection that carries the stream.
class EventSplitter
{
public:
  /// Adds received bytes.
  /// @return all whole events that were not returned before
  std::string Feed(std::string_view aBytes);

  /// Bytes of an event that has not ended.
  const std::string& Remainder() const { return mRemainder; }
  /// The id of the last whole event; empty before the first.
  const std::string& LastId() const { return mLastId; }
  std::uint64_t EventCount() const { return mEventCount; }

private:
  void ReadIds(std::string_view aEvents);

  std::string mRemainder;
  std::string mLastId;
  std::uint64_t mEventCount = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_EVENT_SPLITTER_HPP
