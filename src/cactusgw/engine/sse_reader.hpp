#ifndef CACTUSGW_ENGINE_SSE_READER_HPP
#define CACTUSGW_ENGINE_SSE_READER_HPP

/// Incremental parser for server-sent events; returns the data of each event.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe; one instance per stream.
class SseReader
{
public:
  /// Maximum size of an event.
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } * 1024;

  /// Appends received bytes.
  /// @return false when an incomplete event exceeds kMaxEventBytes
  bool Feed(std::string_view aBytes);

  /// Removes and returns the data of the next complete event, if any.
  std::optional<std::string> Next();

private:
  std::string mBuffer;
};

} // namespace cactusgw

#endif // CACTUSGW_ENGINE_SSE_READER_HPP
