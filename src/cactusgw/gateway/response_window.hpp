#ifndef CACTUSGW_GATEWAY_RESPONSE_WINDOW_HPP
#define CACTUSGW_GATEWAY_RESPONSE_WINDOW_HPP

/// The responses of upstreams to this gateway within the last seconds, as a
/// part of the load that gateways report to each other.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/load_table.hpp"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe. Time is passed in.
class ResponseWindow
{
public:
  /// Time for which a response counts. Upstreams fail for some seconds at a
  /// time.
  static constexpr Milliseconds kWindow{ 3000 };
  /// A gateway counts one failure of an upstream in this time, so that one
  /// whose own link is bad can't eject upstreams for the others.
  static constexpr Milliseconds kFailureInterval{ 500 };

  static ResponseWindow Create() { return ResponseWindow{}; }

  void OnResponse(std::string_view aUpstream,
                  bool aIsFailure,
                  LoadTable& aLoads,
                  Instant aNow);
  /// Removes the responses that have left the window from the loads.
  void Expire(LoadTable& aLoads, Instant aNow);

private:
  struct Response
  {
    Instant mAt;
    std::string mUpstream;
    bool mIsFailure = false;
  };

  ResponseWindow() = default;

  std::deque<Response> mResponses;
  /// The last counted failure of each upstream in the window.
  std::map<std::string, Instant, std::less<>> mFailedAt;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RESPONSE_WINDOW_HPP
