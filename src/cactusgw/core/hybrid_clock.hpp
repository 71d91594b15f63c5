#ifndef CACTUSGW_CORE_HYBRID_CLOCK_HPP
#define CACTUSGW_CORE_HYBRID_CLOCK_HPP

/// Hybrid logical clock: timestamps that respect causality and stay close to
/// wall-clock time. See Kulkarni et al., "Logical Physical Clocks", 2014.

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
  /// Timestamps further ahead of the local wall clock are rejected.
  static constexpr std::int64_t kMaxSkewMs = 60'000;

  static HybridClock Create();

  /// Returns the timestamp of a local event or of a message to be sent.
  EventStamp Tick(std::int64_t aWallMs);

  /// Advances the clock past the timestamp of a received message.
  /// @return false, with the clock unchanged, if the timestamp is more than
  ///   kMaxSkewMs ahead of the local wall clock
  bool Observe(EventStamp aRemote, std::int64_t aWallMs);

private:
  HybridClock() = default;

  EventStamp mLast;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_HYBRID_CLOCK_HPP
