#include "cactusgw/net/message_framing.hpp"

#include <boost/beast/core/string.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cactusgw {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

enum class TransferCodings
{
  None,
  Chunked,
  /// Others, and chunked as the last one.
  ChunkedLast,
  Other,
};

std::string_view
TrimmedOfBlanks(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

/// The elements of a field's list over all of its lines, without empty ones
/// (RFC 9110, section 5.6.1). Commas in quoted strings separate too: no
/// element that contains one is of use here.
std::vector<std::string_view>
ElementsOf(const http::fields& aFields, http::field aName)
{
  std::vector<std::string_view> elements;
  const auto range = aFields.equal_range(aName);
  for (auto it = range.first; it != range.second; ++it) {
    std::string_view rest{ it->value().data(), it->value().size() };
    bool hasMore = true;
    while (hasMore) {
      const std::size_t comma = rest.find(',');
      const std::string_view element = TrimmedOfBlanks(rest.substr(0, comma));
      if (!element.empty()) {
        elements.push_back(element);
      }
      hasMore = comma != std::string_view::npos;
      rest.remove_prefix(hasMore ? comma + 1 : rest.size());
    }
  }
  return elements;
}

/// The chunked coding has no parameters (RFC 9112, section 7.1).
bool
IsChunked(std::string_view aCoding)
{
  return beast::iequals(beast::string_view{ aCoding.data(), aCoding.size() },
                        "chunked");
}

TransferCodings
TransferCodingsOf(const http::fields& aFields)
{
  if (aFields.count(http::field::transfer_encoding) == 0) {
    return TransferCodings::None;
  }
  const std::vector<std::string_view> codings =
    ElementsOf(aFields, http::field::transfer_encoding);
  if (codings.empty() || !IsChunked(codings.back())) {
    return TransferCodings::Other;
  }
  for (std::size_t i = 0; i + 1 < codings.size(); ++i) {
    if (IsChunked(codings[i])) {
      return TransferCodings::Other;
    }
  }
  return codings.size() == 1 ? TransferCodings::Chunked
                             : TransferCodings::ChunkedLast;
}

/// Whether all lengths are valid and the same.
bool
HasValidLength(const http::fields& aFields)
{
  std::optional<std::uint64_t> length;
  for (const std::string_view text :
       ElementsOf(aFields, http::field::content_length)) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result read =
      std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end ||
        length.value_or(value) != value) {
      return false;
    }
    length = value;
  }
  return length.has_value();
}

/// The framing by the fields alone.
/// @param aOtherwise the framing without any field
MessageFraming
FramingByFields(const http::fields& aFields,
                unsigned aVersion,
                MessageFraming aOtherwise)
{
  const bool hasLength = aFields.count(http::field::content_length) > 0;
  const TransferCodings codings = TransferCodingsOf(aFields);
  if (codings == TransferCodings::None) {
    if (!hasLength) {
      return aOtherwise;
    }
    return HasValidLength(aFields) ? MessageFraming::ContentLength
                                   : MessageFraming::Invalid;
  }
  // A sender of HTTP/1.0 may have passed the field on without knowing it.
  if (hasLength || aVersion < kHttp11) {
    return MessageFraming::Invalid;
  }
  switch (codings) {
    case TransferCodings::Chunked:
      return MessageFraming::Chunked;
    case TransferCodings::ChunkedLast:
      return MessageFraming::UnsupportedCoding;
    default:
      return MessageFraming::Invalid;
  }
}

/// Whether the parser ends the content where the framing does.
template<bool IsRequest>
bool
IsFramedSo(const http::basic_parser<IsRequest>& aParser,
           MessageFraming aFraming)
{
  const bool isChunked = aParser.chunked();
  const bool hasLength = aParser.content_length().has_value();
  switch (aFraming) {
    case MessageFraming::ContentLength:
      return hasLength && !isChunked;
    case MessageFraming::Chunked:
      return isChunked && !hasLength;
    case MessageFraming::NoContent:
      return aParser.is_done();
    case MessageFraming::UntilClose:
      return aParser.need_eof() && !isChunked && !hasLength;
    default:
      return true;
  }
}

} // namespace

MessageFraming
FramingOf(const http::request_header<>& aHeader)
{
  return FramingByFields(aHeader, aHeader.version(), MessageFraming::NoContent);
}

MessageFraming
FramingOf(const http::response_header<>& aHeader, bool aIsHead)
{
  const bool isInterim = http::to_status_class(aHeader.result_int()) ==
                         http::status_class::informational;
  if (aIsHead || isInterim || aHeader.result() == http::status::no_content ||
      aHeader.result() == http::status::not_modified) {
    return MessageFraming::NoContent;
  }
  return FramingByFields(
    aHeader, aHeader.version(), MessageFraming::UntilClose);
}

MessageFraming
FramingOf(const http::basic_parser<true>& aParser,
          const http::request_header<>& aHeader)
{
  const MessageFraming framing = FramingOf(aHeader);
  return IsFramedSo(aParser, framing) ? framing : MessageFraming::Invalid;
}

MessageFraming
FramingOf(const http::basic_parser<false>& aParser,
          const http::response_header<>& aHeader,
          bool aIsHead)
{
  const MessageFraming framing = FramingOf(aHeader, aIsHead);
  return IsFramedSo(aParser, framing) ? framing : MessageFraming::Invalid;
}

void
FoldingDetector::OnBytes(const char* aBytes, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount && !mIsHeaderDone; ++i) {
    const char c = aBytes[i];
    if (mIsAtLineStart) {
      mHasFolding = mHasFolding || c == ' ' || c == '\t';
      mIsHeaderDone = c == '\r' || c == '\n';
    }
    mIsAtLineStart = c == '\n';
  }
}

} // namespace cactusgw
