#ifndef CACTUSGW_CORE_HYBRID_CLOCK_HPP
#define CACTUSGW_CORE_HYBRID_CLOCK_HPP

/// Hybrid logical clock: stamps that respect causality and stay close to
/// wall-clock time. Source: Kulkarni et al., "Logical Physical Clocks", 2014.

#include <chrono>
#include <compare>
#include <cstdint>

namespace cactusgw {

struct EventStamp
{
  /// Milliseconds since the Unix epoch.
  std::int64_t mPhysicalMs = 0;
  std::uint32_t mLogical = 0;

  std::strong_ordering operator<=>(const EventStamp&) const = default;
};

/// Not thread-safe.
class HybridClock
{
public:
  /// A stamp further ahead of local wall-clock time than this is not adopted.
  static constexpr std::int64_t kMaxSkewMs = 60'000;

  static HybridClock Create();

  /// Stamp for a local event or a message about to be sent.
  EventStamp Tick(std::int64_t aWallMs);

  /// Adopts the stamp of a received message. Returns false, and leaves the
  /// clock alone, when the stamp is too far ahead to be believed.
  bool Observe(EventStamp aRemote, std::int64_t aWallMs);

private:
  HybridClock() = default;

  EventStamp mLast;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_HYBRID_CLOCK_HPP
