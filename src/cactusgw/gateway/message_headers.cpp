#include "cactusgw/gateway/message_headers.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw {

namespace {

/// Upper bound of a stated number of tokens: counts of all requests in progress
/// and of all parts of a prompt are added up.
constexpr std::uint64_t kMaxTokens = std::uint64_t{ 1 } << 40U;

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade"
};

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(' ');
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(' ') - first + 1);
}

beast::string_view
ToBeastView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Returns the names of the hop-by-hop headers, which must not be forwarded:
/// the standard ones and those that the Connection header lists.
std::vector<std::string>
HopByHopHeaders(const http::fields& aFields)
{
  std::vector<std::string> names{ kHopByHopHeaders.begin(),
                                  kHopByHopHeaders.end() };
  const auto range = aFields.equal_range(http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    for (const beast::string_view token : http::token_list{ it->value() }) {
      names.emplace_back(token);
    }
  }
  return names;
}

bool
ContainsName(beast::string_view aName, const std::vector<std::string>& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&](const std::string& aOther) {
      return beast::iequals(aName, aOther);
    });
}

} // namespace

HttpRequest
ForwardedRequest(const HttpRequest& aRequest, const HeaderNames& aNames)
{
  const std::vector<std::string> dropped = HopByHopHeaders(aRequest);
  HttpRequest forwarded;
  forwarded.version(11);
  forwarded.method_string(aRequest.method_string());
  forwarded.target(aRequest.target());
  for (const http::fields::value_type& field : aRequest) {
    const beast::string_view name = field.name_string();
    const bool passes = !ContainsName(name, dropped) &&
                        !ContainsName(name, aNames.mReserved) &&
                        field.name() != http::field::authorization &&
                        field.name() != http::field::content_length &&
                        field.name() != http::field::expect;
    if (passes) {
      forwarded.insert(name, field.value());
    }
  }
  const bool hadBody = aRequest.has_content_length() || aRequest.chunked();
  if (hadBody) {
    forwarded.content_length(aRequest.body().size());
  }
  return forwarded;
}

HttpResponse
ForwardedHeader(unsigned aStatus, const http::fields& aFields)
{
  const std::vector<std::string> dropped = HopByHopHeaders(aFields);
  HttpResponse forwarded;
  forwarded.result(aStatus);
  for (const http::fields::value_type& field : aFields) {
    if (!ContainsName(field.name_string(), dropped) &&
        field.name() != http::field::content_length) {
      forwarded.insert(field.name_string(), field.value());
    }
  }
  return forwarded;
}

std::string_view
BearerKey(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view scheme = aAuthorization.substr(0, kScheme.size());
  if (!beast::iequals(ToBeastView(scheme), ToBeastView(kScheme))) {
    return {};
  }
  return aAuthorization.substr(kScheme.size());
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const std::from_chars_result read =
    std::from_chars(aText.data(), end, number);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<PromptPart>
ParsePromptParts(std::string_view aText)
{
  std::vector<PromptPart> parts;
  std::size_t comma = aText.find(',');
  while (comma != std::string_view::npos && parts.size() < kMaxPromptParts) {
    const std::string_view entry = aText.substr(0, comma);
    const std::size_t colon = entry.find(':');
    const std::string_view id = Trimmed(entry.substr(0, colon));
    if (!id.empty()) {
      const std::string_view count =
        colon == std::string_view::npos ? "" : entry.substr(colon + 1);
      parts.push_back(
        { std::string{ id },
          std::min(ParseNumber(Trimmed(count)).value_or(0), kMaxTokens) });
    }
    aText.remove_prefix(comma + 1);
    comma = aText.find(',');
  }
  return parts;
}

std::vector<std::string>
ParseSharedParts(std::string_view aText)
{
  std::vector<std::string> ids;
  for (PromptPart& part : ParsePromptParts(aText)) {
    ids.push_back(std::move(part.mId));
  }
  return ids;
}

std::string
JoinParts(std::span<const std::string> aParts)
{
  constexpr std::size_t kMaxListed = 8;
  std::string text;
  for (const std::string& part :
       aParts.first(std::min(aParts.size(), kMaxListed))) {
    text += text.empty() ? part : "," + part;
  }
  return aParts.size() > kMaxListed ? text + ",..." : text;
}

std::optional<double>
ParseDecimal(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const std::from_chars_result read =
    std::from_chars(aText.data(), end, number, std::chars_format::fixed);
  if (read.ec != std::errc{} || read.ptr != end || !std::isfinite(number) ||
      number < 0) {
    return std::nullopt;
  }
  return number;
}

std::optional<Milliseconds>
ParseRetryAfter(std::string_view aText)
{
  constexpr double kMsPerSecond = 1000;
  constexpr double kMaxSeconds = 1e9;
  const std::optional<double> seconds = ParseDecimal(aText);
  if (!seconds) {
    return std::nullopt;
  }
  return Milliseconds{ static_cast<std::int64_t>(
    std::ceil(std::min(*seconds, kMaxSeconds) * kMsPerSecond)) };
}

std::optional<TokenCounts>
ParseTokenCounts(std::string_view aText)
{
  const std::size_t comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> prompt =
    ParseNumber(aText.substr(0, comma));
  const std::optional<std::uint64_t> output =
    ParseNumber(aText.substr(comma + 1));
  if (!prompt || !output) {
    return std::nullopt;
  }
  return TokenCounts{ std::min(*prompt, kMaxTokens),
                      std::min(*output, kMaxTokens) };
}

} // namespace cactusgw
