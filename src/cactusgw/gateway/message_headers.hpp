#ifndef CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP
#define CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP

/// Which headers pass from callers to upstreams and back.

#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/net/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cactusgw {

/// Sizes of a generation as the caller declares them, in tokens.
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mMaxOutput = 0;
};

/// The caller's request as any upstream may get it: without headers that
/// concern one connection, without the key, without reserved ones.
HttpRequest ForwardedRequest(const HttpRequest& aRequest,
                             const HeaderNames& aNames);

/// An upstream's status and headers as the caller may get them.
HttpResponse ForwardedHeader(unsigned aStatus, const http::fields& aFields);

/// The bearer key of an Authorization header, or empty.
std::string_view BearerKey(std::string_view aAuthorization);

/// The prompt's tokens and the most output tokens, if well-formed.
std::optional<TokenCounts> ParseTokenCounts(std::string_view aText);

/// A whole number without sign, if well-formed.
std::optional<std::uint64_t> ParseNumber(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP
