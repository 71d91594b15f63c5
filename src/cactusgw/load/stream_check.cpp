#include "cactusgw/load/stream_check.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace cactusgw {

namespace json = boost::json;

namespace {

const json::object*
Member(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value == nullptr ? nullptr : value->if_object();
}

std::string
Text(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  const bool isText = value != nullptr && value->is_string();
  return isText ? std::string{ value->get_string() } : std::string{};
}

/// The text of a chunk's first choice.
std::string
ChoiceText(const json::object& aEvent)
{
  const json::value* choices = aEvent.if_contains("choices");
  const bool hasChoice = choices != nullptr && choices->is_array() &&
                         !choices->get_array().empty() &&
                         choices->get_array()[0].is_object();
  if (!hasChoice) {
    return {};
  }
  const json::object& choice = choices->get_array()[0].get_object();
  const json::object* delta = Member(choice, "delta");
  return delta == nullptr ? Text(choice, "text") : Text(*delta, "content");
}

} // namespace

StreamCheck::StreamCheck(std::uint32_t aExpectedTokens)
  : mExpectedTokens(aExpectedTokens)
{
}

EventKindSeen
StreamCheck::Accept(std::string_view aData)
{
  if (mDone || mFailed) {
    return Violate("an event after the end");
  }
  if (aData == "[DONE]") {
    mDone = true;
    return mEnded ? EventKindSeen::Done : Violate("done without an end");
  }
  json::error_code ec;
  const json::value value = json::parse({ aData.data(), aData.size() }, ec);
  if (ec || !value.is_object()) {
    return Violate("a malformed event");
  }
  const json::object& event = value.get_object();
  if (event.contains("verdict")) {
    mFailed = true;
    mVerdict = Text(event, "verdict");
    mReason = Text(event, "detail");
    return EventKindSeen::Error;
  }
  // An engine asked directly puts the origin beside the text.
  const bool isDirect = event.contains("generation") && !event.contains("done");
  const json::object* origin = isDirect ? &event : Member(event, "cactusgw");
  if (origin == nullptr) {
    mEnded = true;
    return EventKindSeen::End;
  }
  const std::string generation = Text(*origin, "generation");
  const std::uint64_t offset = origin->at("offset").to_number<std::uint64_t>();
  if (mGeneration.empty()) {
    mGeneration = generation;
  }
  if (generation != mGeneration) {
    return Violate("a token of another generation");
  }
  if (offset != mNextOffset) {
    return Violate("a token out of order");
  }
  ++mNextOffset;
  mLastText = ChoiceText(event);
  return EventKindSeen::Token;
}

bool
StreamCheck::IsWhole() const
{
  const bool hasLength = mExpectedTokens == 0 || mExpectedTokens == mNextOffset;
  return mDone && mEnded && !mFailed && mViolations == 0 && hasLength;
}

EventKindSeen
StreamCheck::Violate(std::string_view aReason)
{
  ++mViolations;
  mReason = aReason;
  return EventKindSeen::Violation;
}

} // namespace cactusgw
