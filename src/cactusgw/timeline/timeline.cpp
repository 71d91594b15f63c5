#include "cactusgw/timeline/timeline.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <ctime>
#include <exception>
#include <iomanip>
#include <optional>
#include <sstream>
#include <tuple>

namespace cactusgw {

namespace json = boost::json;

namespace {

std::optional<TimelineEvent>
ParseLine(const std::string& aLine)
{
  try {
    const json::value value = json::parse(aLine);
    const json::object& object = value.as_object();
    TimelineEvent event;
    event.mStamp = { object.at("ms").as_int64(),
                     object.at("logical").to_number<std::uint32_t>() };
    event.mProcess = std::string{ object.at("process").as_string() };
    event.mKind = std::string{ object.at("event").as_string() };
    event.mRequest = std::string{ object.at("request").as_string() };
    event.mSubject = std::string{ object.at("subject").as_string() };
    event.mValue = object.at("value").as_int64();
    event.mLine = aLine;
    return event;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
TimeText(std::int64_t aMs)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::time_t seconds = aMs / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%H:%M:%S") << '.' << std::setw(3)
      << std::setfill('0') << aMs % kMsPerSecond;
  return out.str();
}

} // namespace

std::size_t
Timeline::Add(std::string_view aLines)
{
  std::size_t malformed = 0;
  std::istringstream in{ std::string{ aLines } };
  for (std::string line; std::getline(in, line);) {
    std::optional<TimelineEvent> event = ParseLine(line);
    if (event) {
      mEvents.push_back(std::move(*event));
    } else {
      ++malformed;
    }
  }
  return malformed;
}

void
Timeline::KeepRequest(std::string_view aRequest)
{
  std::erase_if(mEvents, [&](const TimelineEvent& aEvent) {
    return aEvent.mRequest != aRequest;
  });
}

const std::vector<TimelineEvent>&
Timeline::Ordered()
{
  std::stable_sort(mEvents.begin(),
                   mEvents.end(),
                   [](const TimelineEvent& aLeft, const TimelineEvent& aRight) {
                     return std::tie(aLeft.mStamp, aLeft.mProcess) <
                            std::tie(aRight.mStamp, aRight.mProcess);
                   });
  return mEvents;
}

std::string
Timeline::WriteText()
{
  constexpr int kProcessWidth = 24;
  constexpr int kKindWidth = 20;
  std::ostringstream out;
  for (const TimelineEvent& event : Ordered()) {
    out << TimeText(event.mStamp.mPhysicalMs) << '+' << std::left
        << std::setw(4) << event.mStamp.mLogical << std::setw(kProcessWidth)
        << event.mProcess << std::setw(kKindWidth) << event.mKind;
    out << (event.mRequest.empty() ? "-" : event.mRequest) << ' '
        << event.mSubject << ' ' << event.mValue << '\n';
  }
  return out.str();
}

std::string
Timeline::WriteJsonLines()
{
  std::string text;
  for (const TimelineEvent& event : Ordered()) {
    text += event.mLine + "\n";
  }
  return text;
}

} // namespace cactusgw
