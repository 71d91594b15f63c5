#include "cactusgw/core/request_fingerprint.hpp"

#include "cactusgw/core/sha256.hpp"

#include <charconv>
#include <system_error>

namespace cactusgw {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kDigits = 16;

/// Adds the length as well, so that no two lists of fields yield one text.
void
Append(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

} // namespace

RequestFingerprint
FingerprintOf(const RequestContent& aContent)
{
  std::string text;
  text.reserve(aContent.mBody.size() + aContent.mTarget.size() + 256);
  Append(text, aContent.mMethod);
  Append(text, aContent.mHost);
  Append(text, aContent.mTarget);
  Append(text, aContent.mWorkspace);
  Append(text, aContent.mBody);
  const std::string digest = Sha256Hex(text);
  return *ParseFingerprint(std::string_view{ digest }.substr(0, kDigits));
}

std::string
ToString(RequestFingerprint aFingerprint)
{
  std::string digits(kDigits, '0');
  std::string shortest(kDigits, '0');
  const std::to_chars_result written =
    std::to_chars(shortest.data(),
                  shortest.data() + shortest.size(),
                  aFingerprint.mValue,
                  kHexadecimal);
  shortest.resize(static_cast<std::size_t>(written.ptr - shortest.data()));
  digits.replace(kDigits - shortest.size(), shortest.size(), shortest);
  return digits;
}

std::optional<RequestFingerprint>
ParseFingerprint(std::string_view aText)
{
  RequestFingerprint fingerprint;
  const char* const end = aText.data() + aText.size();
  const std::from_chars_result read =
    std::from_chars(aText.data(), end, fingerprint.mValue, kHexadecimal);
  if (aText.size() != kDigits || read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return fingerprint;
}

} // namespace cactusgw
