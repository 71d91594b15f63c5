#ifndef CACTUSGW_GATEWAY_RESPONSE_WINDOW_HPP
#define CACTUSGW_GATEWAY_RESPONSE_WINDOW_HPP

/// The responses of upstreams to this gateway within the last seconds, as a
/// part of the load that gateways report to each other.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/load_table.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cactusgw {

/// Counts the first response of each upstream and no other one until it has
/// left the window: a gateway whose own link is bad then contributes less than
/// the failures that eject an upstream. Successes are left out as failures are,
/// so that the rate remains the same. Not thread-safe. Time is passed in.
class ResponseWindow
{
public:
  /// Time for which a response counts. Upstreams fail for some seconds at a
  /// time.
  static constexpr Milliseconds kWindow{ 3000 };

  static ResponseWindow Create() { return ResponseWindow{}; }

  /// Counts a response, or its absence, unless one is in the window.
  void OnResponse(std::string_view aUpstream,
                  bool aIsFailure,
                  LoadTable& aLoads,
                  Instant aNow);
  /// Removes the responses that have left the window from the loads.
  void Expire(LoadTable& aLoads, Instant aNow);
  /// Removes the response of an upstream that has restarted from the loads.
  void Forget(std::string_view aUpstream, LoadTable& aLoads);

private:
  struct Response
  {
    Instant mAt;
    bool mIsFailure = false;
  };

  ResponseWindow() = default;

  std::map<std::string, Response, std::less<>> mResponses;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RESPONSE_WINDOW_HPP
