#ifndef CACTUSGW_GATEWAY_UPSTREAM_PAUSES_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_PAUSES_HPP

/// Pauses that upstreams ask this gateway for when they refuse a request.

#include "cactusgw/core/upstream_start.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace cactusgw {

/// A pause holds for one start of an upstream. Not thread-safe. Time is passed
/// in.
class UpstreamPauses
{
public:
  /// Longer pauses are cut to this time: a wrong value must not take an
  /// upstream out of service for good.
  static constexpr Milliseconds kMaxPause{ 3'600'000 };
  /// The pauses that end first are dropped beyond this number.
  static constexpr std::size_t kMaxPauses = 4096;
  /// Generations that may continue at an upstream during its pause, where their
  /// state is already. All other requests have other upstreams to go to.
  static constexpr std::uint32_t kMaxContinuations = 2;

  static UpstreamPauses Create() { return UpstreamPauses{}; }

  /// Handles a refusal that asks for a pause. A statement that ends no later
  /// than the known one changes nothing.
  /// @return whether the upstream is paused longer than before
  bool OnRefusal(const UpstreamStart& aUpstream,
                 Milliseconds aTime,
                 Instant aNow);
  /// Counts a request that is sent to the upstream.
  void OnSent(const UpstreamStart& aUpstream, Instant aNow);

  /// The end of the upstream's pause; without a value it is not paused.
  std::optional<Instant> PausedUntil(const UpstreamStart& aUpstream,
                                     Instant aNow) const;
  /// Whether a generation may continue at the upstream.
  bool AllowsContinuation(const UpstreamStart& aUpstream, Instant aNow) const;

  /// Drops the pauses that have ended.
  void Expire(Instant aNow);
  std::size_t Size() const { return mPauses.size(); }

private:
  struct Pause
  {
    Instant mEnd;
    /// Requests sent since the first of the statements that overlap.
    std::uint32_t mSent = 0;
  };

  UpstreamPauses() = default;

  const Pause* Find(const UpstreamStart& aUpstream, Instant aNow) const;

  std::map<UpstreamStart, Pause> mPauses;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_PAUSES_HPP
