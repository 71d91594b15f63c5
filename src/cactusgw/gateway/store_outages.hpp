#ifndef CACTUSGW_GATEWAY_STORE_OUTAGES_HPP
#define CACTUSGW_GATEWAY_STORE_OUTAGES_HPP

/// Detects when the store returns from an outage that was long enough for
/// registrations to expire.

#include "cactusgw/core/verdict.hpp"

#include <optional>

namespace cactusgw {

/// All calls to the store, and the answers of gateways that pass on its
/// content, count together, so that an outage ends once: a call that was open
/// during the outage may end many seconds later, and tells nothing new then.
/// Not thread-safe. Time is passed in.
class StoreOutages
{
public:
  /// A shorter time without an answer is no outage. Reads of the configuration
  /// are closer together, and a registration expires only after three missed
  /// reports of its upstream, which take longer.
  static constexpr Milliseconds kShortestOutage{ 1200 };
  /// A time without an answer that is an outage even if no call has failed, as
  /// open calls may survive the outage.
  static constexpr Milliseconds kShortestUnnoticedOutage{ 2400 };

  static StoreOutages Create() { return StoreOutages{}; }

  /// Records that the store answered a call at this time, which may be in the
  /// past.
  /// @return how long the store had not answered, if an outage ends here
  std::optional<Milliseconds> OnAnswer(Instant aAt);
  /// Records that a call that was sent at this time got no answer. A call from
  /// before the last answer tells nothing about the time after it.
  void OnFailure(Instant aSentAt);

  /// Whether no call since the last answer has failed.
  bool IsAnswering() const { return !mFailures; }
  /// When the store last answered; empty before the first answer.
  std::optional<Instant> AnsweredAt() const { return mAnsweredAt; }

private:
  /// When the first and the last call since the last answer was sent that
  /// failed.
  struct Failures
  {
    Instant mFirstSentAt;
    Instant mLastSentAt;
  };

  StoreOutages() = default;

  std::optional<Instant> mAnsweredAt;
  std::optional<Failures> mFailures;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_OUTAGES_HPP
