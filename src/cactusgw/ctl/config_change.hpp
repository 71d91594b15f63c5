#ifndef CACTUSGW_CTL_CONFIG_CHANGE_HPP
#define CACTUSGW_CTL_CONFIG_CHANGE_HPP

/// Reading and changing the configuration in the platform.

#include "cactusgw/config/config_head.hpp"
#include "cactusgw/config/layering.hpp"
#include "cactusgw/interfaces/platform_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace cactusgw {

/// The configuration as the platform holds it.
struct StoredConfig
{
  /// Version of the head object; zero when there is no configuration yet.
  std::uint64_t mHeadVersion = 0;
  ConfigHead mHead;
  boost::json::value mDocument;
};

/// Reads head, snapshot and patches. Errors: StoreUnavailable, InvalidInput.
template<PlatformClient Client>
boost::asio::awaitable<Result<StoredConfig>>
ReadStoredConfig(Client& aClient)
{
  Result<StoredObject> head = co_await aClient.Get(kConfigHeadKey);
  if (!head) {
    co_return head.error();
  }
  StoredConfig stored;
  stored.mHeadVersion = head.value().mVersion;
  if (stored.mHeadVersion == 0) {
    stored.mDocument = boost::json::object{};
    co_return stored;
  }
  Result<ConfigHead> parsed = ParseConfigHead(head.value().mValue);
  if (!parsed) {
    co_return parsed.error();
  }
  stored.mHead = std::move(parsed.value());
  Result<StoredObject> snapshot =
    co_await aClient.Get(stored.mHead.mSnapshotKey);
  if (!snapshot) {
    co_return snapshot.error();
  }
  boost::json::error_code ec;
  stored.mDocument = boost::json::parse(snapshot.value().mValue, ec);
  for (const ConfigPatch& patch : stored.mHead.mPatches) {
    stored.mDocument = ApplyPatch(stored.mDocument, patch.mPatch);
  }
  if (ec || DigestOf(stored.mDocument) != stored.mHead.mDigest) {
    co_return NotRun(FailureCode::InvalidInput,
                     "the stored configuration does not match its digest");
  }
  co_return stored;
}

/// Writes a checked document as the next revision.
///
/// The snapshot, when one is due, is written first under a name of its own, so
/// that the conditional write of the head decides alone. An answer that was
/// lost is settled by reading the head back.
/// @param aNonce distinguishes this change from every other
/// @return the new revision. Errors: Conflict when another change came first;
///         StoreUnavailable, with the verdict on whether it took effect
template<PlatformClient Client>
boost::asio::awaitable<Result<std::uint64_t>>
WriteConfigChange(Client& aClient,
                  StoredConfig aStored,
                  boost::json::value aDocument,
                  std::string aNonce)
{
  ConfigHead head = aStored.mHead;
  ++head.mRevision;
  head.mDigest = DigestOf(aDocument);
  if (NeedsSnapshot(aStored.mHead)) {
    head.mSnapshotKey = "config/snapshot/" + aNonce;
    head.mSnapshotRevision = head.mRevision;
    head.mPatches.clear();
    const std::string snapshot = boost::json::serialize(aDocument);
    const WriteReply reply =
      co_await aClient.Put(head.mSnapshotKey, 0, snapshot);
    if (reply.mOutcome != WriteOutcome::Written) {
      co_return NotRun(FailureCode::StoreUnavailable,
                       "the snapshot could not be written");
    }
  } else {
    head.mPatches.push_back({ head.mRevision,
                              head.mDigest,
                              MakePatch(aStored.mDocument, aDocument) });
  }
  const std::string value = SerializeConfigHead(head);
  const WriteReply reply =
    co_await aClient.Put(kConfigHeadKey, aStored.mHeadVersion, value);
  switch (reply.mOutcome) {
    case WriteOutcome::Written:
      co_return head.mRevision;
    case WriteOutcome::Conflict:
      co_return NotRun(FailureCode::Conflict, "another change came first");
    case WriteOutcome::Unavailable:
      co_return NotRun(FailureCode::StoreUnavailable,
                       "the platform can't be reached");
    case WriteOutcome::Unknown:
      break;
  }
  Result<StoredObject> now = co_await aClient.Get(kConfigHeadKey);
  if (!now) {
    co_return MayHaveRun(FailureCode::StoreUnavailable,
                         "the platform did not answer; look again with "
                         "\"config show\"");
  }
  if (now.value().mValue == value) {
    co_return head.mRevision;
  }
  const bool unchanged = now.value().mVersion == aStored.mHeadVersion;
  co_return NotRun(
    unchanged ? FailureCode::StoreUnavailable : FailureCode::Conflict,
    unchanged ? "the write was lost" : "another change came first");
}

} // namespace cactusgw

#endif // CACTUSGW_CTL_CONFIG_CHANGE_HPP
