#ifndef CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP
#define CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP

/// Selects the headers that are forwarded from clients to upstreams and back,
/// and parses header values.

#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/net/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cactusgw {

/// Size of a generation in tokens, as declared by the client.
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mMaxOutput = 0;
};

/// Returns the client's request as it may be forwarded to any upstream: without
/// hop-by-hop headers, the client's key and reserved headers.
HttpRequest ForwardedRequest(const HttpRequest& aRequest,
                             const HeaderNames& aNames);

/// Returns an upstream's status and headers as they may be forwarded to the
/// client: without hop-by-hop headers.
HttpResponse ForwardedHeader(unsigned aStatus, const http::fields& aFields);

/// Returns the bearer key of an Authorization header, or an empty string.
std::string_view BearerKey(std::string_view aAuthorization);

/// Parses the number of prompt tokens and the maximum number of output tokens,
/// separated by a comma. Returns no value if the text is malformed.
std::optional<TokenCounts> ParseTokenCounts(std::string_view aText);

/// Parses an unsigned integer. Returns no value if the text is malformed.
std::optional<std::uint64_t> ParseNumber(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP
