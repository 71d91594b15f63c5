#include "work.hpp"

#include <cstdlib>

namespace cactusgw::soak {

namespace {

std::string_view
Field(std::string_view aPath, std::string_view aMark)
{
  const std::size_t at = aPath.find(aMark);
  return at == std::string_view::npos ? std::string_view{ "0/" }
                                      : aPath.substr(at + aMark.size());
}

long
Number(std::string_view aPath, std::string_view aMark)
{
  return std::strtol(std::string{ Field(aPath, aMark) }.c_str(), nullptr, 10);
}

} // namespace

std::string
Work::Text() const
{
  return "w=" + std::to_string(mMs) + "/b=" + std::to_string(mBytes) +
         "/s=" + static_cast<char>(mShape) + "/e=" + std::to_string(mEvents) +
         "/g=" + std::to_string(mGapMs);
}

Work
Work::FromPath(std::string_view aPath)
{
  Work work;
  work.mMs = Number(aPath, "/w=");
  work.mBytes = static_cast<std::size_t>(Number(aPath, "/b="));
  work.mShape = static_cast<AnswerShape>(Field(aPath, "/s=").front());
  work.mEvents = static_cast<int>(Number(aPath, "/e="));
  work.mGapMs = Number(aPath, "/g=");
  return work;
}

std::string
BodyOf(std::string_view aId, std::size_t aBytes)
{
  std::string body;
  body.reserve(aBytes + aId.size() + 1);
  while (body.size() < aBytes) {
    body += aId;
    body += '.';
  }
  body.resize(aBytes);
  return body;
}

std::string
EventOf(std::string_view aId, int aNumber, int aEvents)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + std::string{ aId } +
         " " + std::to_string(aNumber) + " of " + std::to_string(aEvents) +
         "\n\n";
}

} // namespace cactusgw::soak
