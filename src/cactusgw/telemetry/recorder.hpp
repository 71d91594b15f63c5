#ifndef CACTUSGW_TELEMETRY_RECORDER_HPP
#define CACTUSGW_TELEMETRY_RECORDER_HPP

/// Records a process's events on its hybrid logical clock.

#include "cactusgw/core/event_log.hpp"
#include "cactusgw/core/hybrid_clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe; one instance per process.
class EventRecorder
{
public:
  /// @param aProcess name of the process in the time line
  explicit EventRecorder(std::string aProcess);

  void Record(EventKind aKind,
              std::string_view aRequestId,
              std::string_view aSubject,
              std::int64_t aValue = 0);

  /// Stamp for a message about to be sent.
  EventStamp Tick();
  /// Takes the stamp of a received message into account.
  void Observe(EventStamp aRemote);

  /// The buffer as JSON lines, one event a line, oldest first.
  std::string WriteJsonLines() const;

private:
  std::string mProcess;
  HybridClock mClock;
  EventLog mLog;
};

/// Wall-clock time in milliseconds since the Unix epoch.
std::int64_t WallClockMs();

} // namespace cactusgw

#endif // CACTUSGW_TELEMETRY_RECORDER_HPP
