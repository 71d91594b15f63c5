#ifndef CACTUSGW_TIMELINE_TIMELINE_HPP
#define CACTUSGW_TIMELINE_TIMELINE_HPP

/// Orders the events of many processes by their hybrid logical clocks.

#include "cactusgw/core/hybrid_clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

struct TimelineEvent
{
  EventStamp mStamp;
  std::string mProcess;
  std::string mKind;
  std::string mRequest;
  std::string mSubject;
  std::int64_t mValue = 0;
  /// The line as the process wrote it.
  std::string mLine;
};

class Timeline
{
public:
  /// Adds a process's buffer of JSON lines.
  /// @return how many lines were malformed
  std::size_t Add(std::string_view aLines);

  /// Keeps the events of one request only.
  void KeepRequest(std::string_view aRequest);

  /// The events in order; events with equal stamps by process.
  const std::vector<TimelineEvent>& Ordered();

  /// One event a line: time, process, kind, request, subject, value.
  std::string WriteText();
  /// The events as JSON lines.
  std::string WriteJsonLines();

private:
  std::vector<TimelineEvent> mEvents;
};

} // namespace cactusgw

#endif // CACTUSGW_TIMELINE_TIMELINE_HPP
