#ifndef CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP
#define CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP

/// Selects the headers that are forwarded from clients to upstreams and back,
/// and parses header values.

#include "cactusgw/core/prompt_cache_index.hpp"
#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/net/http_types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Client-declared token counts of a generation.
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mMaxOutput = 0;
};

/// Maximum number of shared prompt parts that are evaluated of one request.
inline constexpr std::size_t kMaxPromptParts = 64;

/// Copies the header of a client's request for any upstream, dropping
/// hop-by-hop and reserved headers and the client's key.
HttpRequest ForwardedRequest(const HttpRequest& aRequest,
                             const HeaderNames& aNames);

/// Copies an upstream's status and headers for the client, dropping hop-by-hop
/// headers.
HttpResponse ForwardedHeader(unsigned aStatus, const http::fields& aFields);

/// Extracts the key from a Bearer Authorization value; empty if not Bearer.
std::string_view BearerKey(std::string_view aAuthorization);

/// Parses comma-separated prompt and maximum output token counts; nullopt if
/// malformed.
std::optional<TokenCounts> ParseTokenCounts(std::string_view aText);

/// Parses the IDs of a prompt's parts, without the last part: it belongs to the
/// request itself and is shared with no other. Parts beyond kMaxPromptParts are
/// left out.
std::vector<std::string> ParseSharedParts(std::string_view aText);

/// Parses the same parts with their token counts. A malformed count is zero,
/// and one beyond that of any prompt is lowered.
std::vector<PromptPart> ParsePromptParts(std::string_view aText);

/// Lists the first parts of a prompt for a log line.
std::string JoinParts(std::span<const std::string> aParts);

/// Parses a non-negative decimal number; nullopt if malformed.
std::optional<double> ParseDecimal(std::string_view aText);

/// Parses a Retry-After value in seconds, which may have a fraction; nullopt if
/// malformed or a date.
std::optional<Milliseconds> ParseRetryAfter(std::string_view aText);

/// Parses an unsigned integer; nullopt if malformed.
std::optional<std::uint64_t> ParseNumber(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_MESSAGE_HEADERS_HPP
