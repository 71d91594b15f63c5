#ifndef CACTUSGW_ENGINE_SSE_READER_HPP
#define CACTUSGW_ENGINE_SSE_READER_HPP

/// Splits a server-sent event stream into the data of its events.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe; one instance per stream.
class SseReader
{
public:
  /// Longest event accepted.
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } * 1024;

  /// Adds received bytes. Returns false when an event is too long.
  bool Feed(std::string_view aBytes);

  /// Takes the data of the next whole event, if there is one.
  std::optional<std::string> Next();

private:
  std::string mBuffer;
};

} // namespace cactusgw

#endif // CACTUSGW_ENGINE_SSE_READER_HPP
