#ifndef CACTUSGW_CORE_REQUEST_FINGERPRINT_HPP
#define CACTUSGW_CORE_REQUEST_FINGERPRINT_HPP

/// Recognises a request that a client sends again with another id.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// What a request asks an upstream to do and on whose behalf. The views must
/// outlive the call that they are passed to.
struct RequestContent
{
  std::string_view mMethod;
  std::string_view mHost;
  /// The request target with its query.
  std::string_view mTarget;
  /// Empty for a request without a key.
  std::string_view mWorkspace;
  std::string_view mBody;
};

/// Equal for two requests with the same content, on every VM and in every
/// release. A cryptographic hash: nobody can craft a request that shares the
/// fingerprint of another client's.
struct RequestFingerprint
{
  std::uint64_t mValue = 0;

  auto operator<=>(const RequestFingerprint&) const = default;
};

RequestFingerprint FingerprintOf(const RequestContent& aContent);

/// Sixteen lower-case hexadecimal digits.
std::string ToString(RequestFingerprint aFingerprint);
/// Parses the form above; nullopt if malformed.
std::optional<RequestFingerprint> ParseFingerprint(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_CORE_REQUEST_FINGERPRINT_HPP
