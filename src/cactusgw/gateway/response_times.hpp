#ifndef CACTUSGW_GATEWAY_RESPONSE_TIMES_HPP
#define CACTUSGW_GATEWAY_RESPONSE_TIMES_HPP

/// Recent response times of each route, to predict how long a request takes.

#include "cactusgw/core/verdict.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe.
class ResponseTimes
{
public:
  /// Responses remembered of each route.
  static constexpr std::size_t kSamples = 64;
  /// Routes remembered; further ones are not predicted.
  static constexpr std::size_t kMaxRoutes = 1024;
  /// Fraction of the remembered responses that took at most the predicted time.
  static constexpr double kQuantile = 0.9;

  ResponseTimes() = default;

  void Record(std::string_view aRoute, Milliseconds aTime);
  /// The time within which most responses of the route were complete; nullopt
  /// if there was none.
  std::optional<Milliseconds> Predict(std::string_view aRoute) const;

private:
  struct Samples
  {
    std::array<std::uint32_t, kSamples> mMs{};
    std::size_t mCount = 0;
    std::size_t mNext = 0;
  };

  std::map<std::string, Samples, std::less<>> mRoutes;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RESPONSE_TIMES_HPP
