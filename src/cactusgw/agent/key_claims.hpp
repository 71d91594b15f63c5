#ifndef CACTUSGW_AGENT_KEY_CLAIMS_HPP
#define CACTUSGW_AGENT_KEY_CLAIMS_HPP

/// Claims on idempotency keys, kept in the platform so that a request that
/// must not repeat runs at most once over all VMs.

#include "cactusgw/interfaces/platform_client.hpp"
#include "cactusgw/wire/cactusgw.pb.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// The platform's record of a key.
struct KeyRecord
{
  std::string mRequestId;
  std::uint64_t mFingerprint = 0;
  bool mDone = false;
  std::uint32_t mStatus = 0;
  std::string mContentType;
  std::string mBody;
  /// Wall-clock milliseconds after which the key may be used anew.
  std::int64_t mExpiresAtMs = 0;
};

/// The platform key of an idempotency key: a hash, as keys may hold anything.
std::string KeyObjectName(std::string_view aWorkspace, std::string_view aKey);

std::string SerializeKeyRecord(const KeyRecord& aRecord);

/// Nothing when the text is malformed.
std::optional<KeyRecord> ParseKeyRecord(std::string_view aText);

/// What a repeat of a claimed key is told.
wire::ClaimOutcome OutcomeOfExisting(const KeyRecord& aRecord,
                                     std::uint64_t aFingerprint,
                                     std::string_view aRequestId);

/// Not thread-safe.
template<PlatformClient Client>
class KeyClaims
{
public:
  /// Answers larger than this are remembered by their status only.
  static constexpr std::size_t kMaxRememberedBytes = std::size_t{ 64 } * 1024;
  /// Tries of a write whose answer was lost, or that found no connection.
  static constexpr int kTries = 3;

  explicit KeyClaims(Client& aClient)
    : mClient(aClient)
  {
  }

  /// Creates the record, or tells what is there.
  boost::asio::awaitable<wire::KeyClaimReply> Claim(wire::KeyClaim aClaim,
                                                    std::int64_t aNowMs,
                                                    Milliseconds aRetention);

  /// Records how a claimed request ended; a request that did not run frees
  /// the key.
  boost::asio::awaitable<void> Finish(wire::KeyResult aResult,
                                      std::int64_t aNowMs,
                                      Milliseconds aRetention);

private:
  Client& mClient;
};

template<PlatformClient Client>
boost::asio::awaitable<wire::KeyClaimReply>
KeyClaims<Client>::Claim(wire::KeyClaim aClaim,
                         std::int64_t aNowMs,
                         Milliseconds aRetention)
{
  wire::KeyClaimReply reply;
  reply.set_call(aClaim.call());
  reply.set_outcome(wire::CLAIM_STORE_UNAVAILABLE);
  const std::string name = KeyObjectName(aClaim.workspace(), aClaim.key());
  KeyRecord record;
  record.mRequestId = aClaim.request_id();
  record.mFingerprint = aClaim.fingerprint();
  record.mExpiresAtMs = aNowMs + aRetention.count();
  std::uint64_t expected = 0;
  for (int i = 0; i < kTries; ++i) {
    const std::string value = SerializeKeyRecord(record);
    const WriteReply write = co_await mClient.Put(name, expected, value);
    if (write.mOutcome == WriteOutcome::Written) {
      reply.set_outcome(wire::CLAIM_OURS);
      co_return reply;
    }
    if (write.mOutcome == WriteOutcome::Unavailable) {
      continue;
    }
    // A conflict, or an answer lost: the record itself tells whose it is.
    const Result<StoredObject> object = co_await mClient.Get(name);
    if (!object) {
      continue;
    }
    const std::optional<KeyRecord> existing =
      ParseKeyRecord(object.value().mValue);
    const bool isAbsent = object.value().mVersion == 0;
    if (!isAbsent && !existing) {
      // A record that can't be read may stand for a request that ran.
      reply.set_outcome(wire::CLAIM_IN_PROGRESS);
      co_return reply;
    }
    if (isAbsent || existing->mExpiresAtMs <= aNowMs) {
      expected = object.value().mVersion;
      continue;
    }
    reply.set_outcome(
      OutcomeOfExisting(*existing, aClaim.fingerprint(), aClaim.request_id()));
    reply.set_status(existing->mStatus);
    reply.set_body(existing->mBody);
    reply.set_content_type(existing->mContentType);
    co_return reply;
  }
  co_return reply;
}

template<PlatformClient Client>
boost::asio::awaitable<void>
KeyClaims<Client>::Finish(wire::KeyResult aResult,
                          std::int64_t aNowMs,
                          Milliseconds aRetention)
{
  const std::string name = KeyObjectName(aResult.workspace(), aResult.key());
  for (int i = 0; i < kTries; ++i) {
    const Result<StoredObject> object = co_await mClient.Get(name);
    if (!object) {
      continue;
    }
    const std::optional<KeyRecord> existing =
      ParseKeyRecord(object.value().mValue);
    const bool isOurs =
      existing && existing->mRequestId == aResult.request_id();
    if (!isOurs || existing->mDone) {
      co_return;
    }
    WriteReply write;
    if (aResult.not_run()) {
      write = co_await mClient.Delete(name, object.value().mVersion);
    } else {
      KeyRecord record = *existing;
      record.mDone = true;
      record.mStatus = aResult.status();
      record.mContentType = aResult.content_type();
      record.mExpiresAtMs = aNowMs + aRetention.count();
      if (aResult.body().size() <= kMaxRememberedBytes) {
        record.mBody = aResult.body();
      }
      std::string value = SerializeKeyRecord(record);
      if (!ParseKeyRecord(value)) {
        record.mBody.clear(); // Not a text: remember the status only.
        value = SerializeKeyRecord(record);
      }
      write = co_await mClient.Put(name, object.value().mVersion, value);
    }
    if (write.mOutcome == WriteOutcome::Written) {
      co_return;
    }
  }
}

} // namespace cactusgw

#endif // CACTUSGW_AGENT_KEY_CLAIMS_HPP
