#include "cactusgw/config/object_reader.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>
#include <utility>

namespace cactusgw {

namespace json = boost::json;

namespace {

/// The number without trailing zeros.
std::string
ShortNumber(double aNumber)
{
  std::ostringstream text;
  text << std::setprecision(std::numeric_limits<double>::digits10) << aNumber;
  return text.str();
}

} // namespace

ObjectReader::ObjectReader(const json::value& aValue,
                           std::string aPath,
                           FaultSink& aSink)
  : mObject(aValue.if_object())
  , mPath(std::move(aPath))
  , mSink(aSink)
{
  if (mObject == nullptr) {
    mSink.mFaults.push_back({ mSink.mFile, mPath, "must be an object" });
  }
}

std::string
ObjectReader::String(std::string_view aName)
{
  const json::value* value = Require(aName);
  return value == nullptr ? std::string{} : StringAt(aName, *value);
}

std::string
ObjectReader::StringOr(std::string_view aName, std::string_view aDefault)
{
  const json::value* value = Find(aName);
  return value == nullptr ? std::string{ aDefault } : StringAt(aName, *value);
}

std::string
ObjectReader::OneOf(std::string_view aName,
                    std::span<const std::string_view> aWords,
                    std::string_view aDefault)
{
  std::string text = StringOr(aName, aDefault);
  if (std::find(aWords.begin(), aWords.end(), text) != aWords.end()) {
    return text;
  }
  std::string reason = "must be one of";
  for (const std::string_view word : aWords) {
    reason += " \"" + std::string{ word } + "\"";
  }
  Fault(aName, reason);
  return std::string{ aDefault };
}

std::string
ObjectReader::Address(std::string_view aName)
{
  std::string text = String(aName);
  return text.empty() ? text : AddressAt(aName, std::move(text));
}

std::string
ObjectReader::AddressOr(std::string_view aName, std::string_view aDefault)
{
  std::string text = StringOr(aName, aDefault);
  return text.empty() ? text : AddressAt(aName, std::move(text));
}

std::int64_t
ObjectReader::Integer(std::string_view aName, IntegerRange aRange)
{
  const json::value* value = Require(aName);
  return value == nullptr ? aRange.mMin : IntegerAt(aName, *value, aRange);
}

std::int64_t
ObjectReader::IntegerOr(std::string_view aName,
                        IntegerRange aRange,
                        std::int64_t aDefault)
{
  const json::value* value = Find(aName);
  return value == nullptr ? aDefault : IntegerAt(aName, *value, aRange);
}

double
ObjectReader::NumberOr(std::string_view aName,
                       NumberRange aRange,
                       double aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number()) {
    Fault(aName, "must be a number");
    return aDefault;
  }
  const double n = value->to_number<double>();
  if (n < aRange.mMin || n > aRange.mMax) {
    Fault(aName, "is out of range");
    return aDefault;
  }
  return n;
}

Milliseconds
ObjectReader::DurationOr(std::string_view aStem,
                         IntegerRange aRange,
                         Milliseconds aDefault)
{
  const std::string inMs = std::string{ aStem } + "Ms";
  const std::string inSeconds = std::string{ aStem } + "S";
  const json::value* const ms = Find(inMs);
  const json::value* const seconds = Find(inSeconds);
  if (ms == nullptr && seconds == nullptr) {
    return aDefault;
  }
  if (ms != nullptr && seconds != nullptr) {
    Fault(inSeconds, "must not be given together with " + inMs);
    return aDefault;
  }
  constexpr double kMsPerSecond = 1000;
  const double unit = ms != nullptr ? 1 : kMsPerSecond;
  const std::string& name = ms != nullptr ? inMs : inSeconds;
  const json::value& value = ms != nullptr ? *ms : *seconds;
  if (!value.is_number()) {
    Fault(name, "must be a number");
    return aDefault;
  }
  const double n = value.to_number<double>() * unit;
  const double min = static_cast<double>(aRange.mMin);
  const double max = static_cast<double>(aRange.mMax);
  if (n < min || n > max) {
    Fault(name,
          "must lie between " + ShortNumber(min / unit) + " and " +
            ShortNumber(max / unit));
    return aDefault;
  }
  return Milliseconds{ std::llround(n) };
}

bool
ObjectReader::BoolOr(std::string_view aName, bool aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    Fault(aName, "must be true or false");
    return aDefault;
  }
  return value->get_bool();
}

std::vector<std::string>
ObjectReader::StringsOr(std::string_view aName)
{
  std::vector<std::string> texts;
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    Fault(aName, "must be an array of strings");
    return texts;
  }
  for (const json::value& item : value->get_array()) {
    if (!item.is_string()) {
      Fault(aName, "must be an array of strings");
      return texts;
    }
    texts.emplace_back(item.get_string());
  }
  return texts;
}

void
ObjectReader::ForEach(std::string_view aName, const MemberFunction& aFunction)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  const json::object* object = value->if_object();
  if (object == nullptr) {
    Fault(aName, "must be an object");
    return;
  }
  const std::string path = mPath + "/" + std::string{ aName };
  for (const json::key_value_pair& member : *object) {
    const std::string_view key{ member.key().data(), member.key().size() };
    ObjectReader reader{ member.value(),
                         path + "/" + std::string{ key },
                         mSink };
    aFunction(key, reader);
    reader.Finish();
  }
}

void
ObjectReader::ObjectOr(std::string_view aName, const ObjectFunction& aFunction)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  ObjectReader reader{ *value, mPath + "/" + std::string{ aName }, mSink };
  aFunction(reader);
  reader.Finish();
}

std::vector<std::string>
ObjectReader::Names() const
{
  std::vector<std::string> names;
  if (mObject != nullptr) {
    for (const json::key_value_pair& member : *mObject) {
      names.emplace_back(member.key());
    }
  }
  return names;
}

bool
ObjectReader::Has(std::string_view aName) const
{
  return mObject != nullptr && mObject->contains(aName);
}

void
ObjectReader::Fault(std::string_view aName, std::string aReason)
{
  mSink.mFaults.push_back(
    { mSink.mFile, mPath + "/" + std::string{ aName }, std::move(aReason) });
}

void
ObjectReader::Finish()
{
  if (mObject == nullptr) {
    return;
  }
  for (const json::key_value_pair& member : *mObject) {
    const std::string_view key{ member.key().data(), member.key().size() };
    if (!mAsked.contains(key)) {
      Fault(key, "unknown member");
    }
  }
}

const json::value*
ObjectReader::Find(std::string_view aName)
{
  mAsked.emplace(aName);
  return mObject == nullptr ? nullptr : mObject->if_contains(aName);
}

const json::value*
ObjectReader::Require(std::string_view aName)
{
  const json::value* value = Find(aName);
  if (value == nullptr && mObject != nullptr) {
    Fault(aName, "is missing");
  }
  return value;
}

std::string
ObjectReader::StringAt(std::string_view aName, const json::value& aValue)
{
  if (!aValue.is_string()) {
    Fault(aName, "must be a string");
    return {};
  }
  if (aValue.get_string().empty()) {
    Fault(aName, "must not be empty");
  }
  return std::string{ aValue.get_string() };
}

std::string
ObjectReader::AddressAt(std::string_view aName, std::string aText)
{
  if (!IsAddress(aText)) {
    Fault(aName, "must be an IP address and port, as in 127.0.0.1:8080");
  }
  return aText;
}

std::int64_t
ObjectReader::IntegerAt(std::string_view aName,
                        const json::value& aValue,
                        IntegerRange aRange)
{
  boost::system::error_code ec;
  const std::int64_t n =
    aValue.is_number() ? aValue.to_number<std::int64_t>(ec) : 0;
  if (!aValue.is_number() || ec) {
    Fault(aName, "must be a whole number");
    return aRange.mMin;
  }
  if (n < aRange.mMin || n > aRange.mMax) {
    Fault(aName,
          "must lie between " + std::to_string(aRange.mMin) + " and " +
            std::to_string(aRange.mMax));
    return aRange.mMin;
  }
  return n;
}

json::value
ParseJsonWithComments(std::string_view aText, FaultSink& aSink)
{
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::error_code ec;
  json::value value =
    json::parse({ aText.data(), aText.size() }, ec, {}, options);
  if (ec) {
    aSink.mFaults.push_back(
      { aSink.mFile, "", "is not valid JSON: " + ec.message() });
    return nullptr;
  }
  return value;
}

bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string ip{ aText.substr(0, colon) };
  in6_addr unused{};
  // inet_pton would stop reading at a zero byte.
  const bool hasZero = ip.find('\0') != std::string::npos;
  const bool isIp = inet_pton(AF_INET, ip.c_str(), &unused) == 1 ||
                    inet_pton(AF_INET6, ip.c_str(), &unused) == 1;
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const std::from_chars_result result =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool wholeRead = result.ptr == digits.data() + digits.size();
  return isIp && !hasZero && result.ec == std::errc{} && wholeRead && port != 0;
}

} // namespace cactusgw
