#ifndef CACTUSGW_CORE_LIMIT_PACER_HPP
#define CACTUSGW_CORE_LIMIT_PACER_HPP

/// Spreads this gateway's requests to upstreams that state a limit, so that all
/// gateways together keep to it. Each gateway has an equal share, as a token
/// bucket for one request: the shares hold also while gateways can't reach each
/// other. The requests that all have sent lately, as far as they are reported,
/// bound what many full buckets could send at once. Reports come late: requests
/// that wait, probably at many gateways, are sent in turns of the gateways.

#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// An upstream's limit, and what counts towards it.
struct LimitUse
{
  /// Requests per second that the upstream takes from all gateways.
  double mPerSecond = 0;
  std::uint32_t mGateways = 1;
  /// Position of this gateway among them, from zero.
  std::uint32_t mRank = 0;
  /// Requests that all gateways have sent within LimitPacer::kWindow.
  std::uint32_t mRecent = 0;
};

/// Not thread-safe. Time is passed in.
class LimitPacer
{
public:
  /// Time over which sent requests count. Long enough for limits of less than
  /// one request a second.
  static constexpr Milliseconds kWindow{ 4000 };
  /// Factor by which shares grow while others leave theirs unused. Less than
  /// the 1.5 that upstreams bear, as gateways that can't reach each other all
  /// take the others' shares for unused.
  static constexpr double kMaxBoost = 1.4;
  /// Requests per second that an upstream gets however low its limit is:
  /// without requests it could not withdraw the limit.
  static constexpr double kMinPerSecond = 0.25;
  /// Requests that may be sent beyond the share, such as continued streams, and
  /// are made up for later.
  static constexpr double kMaxDebt = 8;

  /// Length of a turn: within it, the requests of other gateways are reported.
  static constexpr Milliseconds kTurn{ 150 };

  static LimitPacer Create() { return LimitPacer{}; }

  /// Adds this gateway's share of the time since the last call. The first call
  /// for an upstream begins to limit it.
  void Refill(const std::string& aUpstream, const LimitUse& aUse, Instant aNow);
  /// No longer limits an upstream.
  void Forget(std::string_view aUpstream);

  bool IsLimited(std::string_view aUpstream) const
  {
    return mShares.count(aUpstream) != 0;
  }
  /// Whether a request may be sent to the upstream now.
  /// @param aRecent requests that all gateways have sent within kWindow
  /// @param aIsWaiting whether the request has waited for an upstream
  bool Allows(std::string_view aUpstream,
              std::uint32_t aRecent,
              bool aIsWaiting,
              Instant aNow) const;
  /// Counts a request to an upstream that is limited.
  void OnSent(std::string_view aUpstream, Instant aNow);
  /// Drops requests older than kWindow and returns how many there were.
  std::uint32_t TakeExpired(std::string_view aUpstream, Instant aNow);

  /// Requests of this gateway that have not been taken as expired.
  std::uint32_t RecentlySent(std::string_view aUpstream) const;

  /// The limited upstreams.
  std::vector<std::string> Limited() const;

private:
  struct Share
  {
    double mPerSecond = 0;
    /// Number of turns after which the same gateways have theirs again, and
    /// which turn is this gateway's.
    std::uint32_t mTurns = 1;
    std::uint32_t mTurn = 0;
    double mTokens = 0;
    Instant mRefilledAt;
    /// Times of this gateway's requests within kWindow.
    std::deque<Instant> mSent;
  };

  LimitPacer() = default;

  std::map<std::string, Share, std::less<>> mShares;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_LIMIT_PACER_HPP
