#ifndef CACTUSGW_GATEWAY_RESPONSE_ATTRIBUTION_HPP
#define CACTUSGW_GATEWAY_RESPONSE_ATTRIBUTION_HPP

/// Attributes the responses on a persistent connection to its requests. An
/// upstream may write a response again when the next one is expected.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

enum class ResponseOwner
{
  CurrentRequest,
  OtherRequest,
  /// The response has no id, and the connection has carried others before.
  Unknown,
};

/// Not thread-safe; one instance per connection.
class ResponseAttribution
{
public:
  /// Maximum number of refusals on a connection.
  static constexpr std::size_t kMaxRefusals = 32;

  /// Called before a request is sent.
  void OnRequest(std::string_view aRequestId) { mRequestId = aRequestId; }
  /// Called for each response, with the request id in its header or with an
  /// empty string.
  ResponseOwner OnResponse(std::string_view aRequestId);
  /// Called when the response says that the current request did not run.
  void OnRefused() { mRefused.push_back(mRequestId); }

  /// Whether the connection has carried a refusal of this request. The response
  /// to sending the request again can't be told from the earlier refusal.
  bool HasRefused(std::string_view aRequestId) const;
  /// Whether the response to a further request could be attributed.
  bool IsReusable() const
  {
    return !mHasUnidentified && mRefused.size() < kMaxRefusals;
  }

private:
  std::string mRequestId;
  /// Ids of the requests that were refused on this connection.
  std::vector<std::string> mRefused;
  bool mHasResponse = false;
  /// Whether a response had no id.
  bool mHasUnidentified = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_RESPONSE_ATTRIBUTION_HPP
