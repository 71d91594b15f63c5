#ifndef CACTUSGW_TESTS_SOAK_WORK_HPP
#define CACTUSGW_TESTS_SOAK_WORK_HPP

/// What a client asks of an upstream; it stands in the path of the request.

#include <cstddef>
#include <string>
#include <string_view>

namespace cactusgw::soak {

enum class AnswerShape : char
{
  /// With a stated length.
  Length = 'l',
  Chunks = 'c',
  /// Ends with its connection.
  UntilClose = 'u',
  /// Reset in the middle.
  ResetMidway = 'r',
  /// Refused as not run, with status 503.
  Refusal = 'f',
  /// Refused as another upstream's, with status 421.
  Misdirected = 'm',
  /// The body in pieces with pauses.
  Drip = 'd',
};

struct Work
{
  /// The part of the path after the route's prefix.
  std::string Text() const;
  /// From a path that ends with a Text().
  static Work FromPath(std::string_view aPath);

  long mMs = 20;
  std::size_t mBytes = 20;
  AnswerShape mShape = AnswerShape::Length;
  /// Events of a stream; zero for a plain answer.
  int mEvents = 0;
  long mGapMs = 0;
};

/// A body that belongs to this id and no other.
std::string BodyOf(std::string_view aId, std::size_t aBytes);
/// One event of a stream, as text/event-stream.
std::string EventOf(std::string_view aId, int aNumber, int aEvents);

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_WORK_HPP
