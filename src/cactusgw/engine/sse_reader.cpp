#include "cactusgw/engine/sse_reader.hpp"

namespace cactusgw {

namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEventEnd = "\n\n";

/// Appends the value of a data line, without the optional space after the
/// colon; ignores other lines.
void
AppendData(std::string_view aLine, std::string& aData)
{
  if (!aLine.starts_with(kDataPrefix)) {
    return;
  }
  std::string_view data = aLine.substr(kDataPrefix.size());
  if (data.starts_with(' ')) {
    data.remove_prefix(1);
  }
  if (!aData.empty()) {
    aData += '\n';
  }
  aData += data;
}

std::string
DataOf(std::string_view aEvent)
{
  std::string data;
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = aEvent.find('\n', start);
    AppendData(aEvent.substr(start, end - start), data);
    if (end == std::string_view::npos) {
      break;
    }
    start = end + 1;
  }
  return data;
}

} // namespace

bool
SseReader::Feed(std::string_view aBytes)
{
  for (const char c : aBytes) {
    if (c != '\r') {
      mBuffer += c;
    }
  }
  const bool hasWhole = mBuffer.find(kEventEnd) != std::string::npos;
  return hasWhole || mBuffer.size() <= kMaxEventBytes;
}

std::optional<std::string>
SseReader::Next()
{
  const std::size_t end = mBuffer.find(kEventEnd);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string data = DataOf(std::string_view{ mBuffer }.substr(0, end));
  mBuffer.erase(0, end + kEventEnd.size());
  return data;
}

} // namespace cactusgw
