#include "cactusgw/agent/key_claims.hpp"

#include "cactusgw/core/sha256.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>

namespace cactusgw {

namespace json = boost::json;

namespace {

KeyRecord
ToRecord(const json::object& aObject)
{
  KeyRecord record;
  record.mRequestId = std::string{ aObject.at("request").as_string() };
  record.mFingerprint = aObject.at("fingerprint").to_number<std::uint64_t>();
  record.mDone = aObject.at("done").as_bool();
  record.mStatus = aObject.at("status").to_number<std::uint32_t>();
  record.mContentType = std::string{ aObject.at("type").as_string() };
  record.mBody = std::string{ aObject.at("body").as_string() };
  record.mExpiresAtMs = aObject.at("expiresAtMs").as_int64();
  return record;
}

} // namespace

std::string
KeyObjectName(std::string_view aWorkspace, std::string_view aKey)
{
  // The length keeps apart pairs whose texts join to the same.
  const std::string text = std::to_string(aWorkspace.size()) + ":" +
                           std::string{ aWorkspace } + std::string{ aKey };
  return "key/" + Sha256Hex(text);
}

std::string
SerializeKeyRecord(const KeyRecord& aRecord)
{
  return json::serialize(
    json::object{ { "request", aRecord.mRequestId },
                  { "fingerprint", aRecord.mFingerprint },
                  { "done", aRecord.mDone },
                  { "status", aRecord.mStatus },
                  { "type", aRecord.mContentType },
                  { "body", aRecord.mBody },
                  { "expiresAtMs", aRecord.mExpiresAtMs } });
}

std::optional<KeyRecord>
ParseKeyRecord(std::string_view aText)
{
  try {
    const json::value value = json::parse({ aText.data(), aText.size() });
    return ToRecord(value.as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

wire::ClaimOutcome
OutcomeOfExisting(const KeyRecord& aRecord,
                  std::uint64_t aFingerprint,
                  std::string_view aRequestId)
{
  if (aRecord.mRequestId == aRequestId) {
    // This claim's own write took effect although its answer was lost.
    return wire::CLAIM_OURS;
  }
  if (aRecord.mFingerprint != aFingerprint) {
    return wire::CLAIM_MISMATCH;
  }
  return aRecord.mDone ? wire::CLAIM_FINISHED : wire::CLAIM_IN_PROGRESS;
}

} // namespace cactusgw
