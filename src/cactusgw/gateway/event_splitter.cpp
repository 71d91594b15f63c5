#include "cactusgw/gateway/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace cactusgw {

namespace {

/// Returns the offset after the last blank line, or zero when there is none.
std::size_t
EndOfLastEvent(std::string_view aText)
{
  const std::size_t plain = aText.rfind("\n\n");
  const std::size_t crlf = aText.rfind("\r\n\r\n");
  const std::size_t afterPlain =
    plain == std::string_view::npos ? 0 : plain + 2;
  const std::size_t afterCrlf = crlf == std::string_view::npos ? 0 : crlf + 4;
  return std::max(afterPlain, afterCrlf);
}

std::optional<std::uint64_t>
ParseId(std::string_view aId)
{
  std::uint64_t number = 0;
  const char* const end = aId.data() + aId.size();
  const std::from_chars_result read = std::from_chars(aId.data(), end, number);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string
EventSplitter::Feed(std::string_view aBytes)
{
  mRemainder += aBytes;
  const std::size_t end = EndOfLastEvent(mRemainder);
  std::string whole = mRemainder.substr(0, end);
  mRemainder.erase(0, end);
  ReadIds(whole);
  return whole;
}

void
EventSplitter::ReadIds(std::string_view aEvents)
{
  constexpr std::string_view kIdField = "id:";
  std::size_t at = 0;
  while (at < aEvents.size()) {
    const std::size_t end = std::min(aEvents.find('\n', at), aEvents.size());
    std::string_view line = aEvents.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, kIdField.size()) != kIdField) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    const std::size_t first = line.find_first_not_of(' ');
    const std::size_t last = line.find_last_not_of(" \r");
    if (first != std::string_view::npos) {
      mLastId = line.substr(first, last - first + 1);
      if (mIdCount == 0) {
        mFirstId = mLastId;
      }
      ++mIdCount;
    }
  }
}

bool
MayFollow(std::string_view aEarlierId, std::string_view aLaterId)
{
  if (aEarlierId.empty() || aLaterId.empty()) {
    return true;
  }
  const std::optional<std::uint64_t> earlier = ParseId(aEarlierId);
  const std::optional<std::uint64_t> later = ParseId(aLaterId);
  return earlier && later ? *earlier < *later : aEarlierId != aLaterId;
}

} // namespace cactusgw
