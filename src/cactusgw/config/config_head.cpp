#include "cactusgw/config/config_head.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>

namespace cactusgw {

namespace json = boost::json;

namespace {

ConfigPatch
ToPatch(const json::value& aValue)
{
  const json::object& object = aValue.as_object();
  ConfigPatch patch;
  patch.mRevision = object.at("revision").to_number<std::uint64_t>();
  patch.mDigest = object.at("digest").to_number<std::uint64_t>();
  patch.mPatch = object.at("patch");
  return patch;
}

ConfigHead
ToHead(const json::value& aValue)
{
  const json::object& object = aValue.as_object();
  ConfigHead head;
  head.mRevision = object.at("revision").to_number<std::uint64_t>();
  head.mDigest = object.at("digest").to_number<std::uint64_t>();
  head.mSnapshotKey = std::string{ object.at("snapshot").as_string() };
  head.mSnapshotRevision =
    object.at("snapshotRevision").to_number<std::uint64_t>();
  for (const json::value& patch : object.at("patches").as_array()) {
    head.mPatches.push_back(ToPatch(patch));
  }
  return head;
}

} // namespace

Result<ConfigHead>
ParseConfigHead(std::string_view aText)
{
  try {
    return ToHead(json::parse({ aText.data(), aText.size() }));
  } catch (const std::exception& e) {
    return NotRun(FailureCode::InvalidInput, e.what());
  }
}

std::string
SerializeConfigHead(const ConfigHead& aHead)
{
  json::array patches;
  for (const ConfigPatch& patch : aHead.mPatches) {
    patches.push_back(json::object{ { "revision", patch.mRevision },
                                    { "digest", patch.mDigest },
                                    { "patch", patch.mPatch } });
  }
  const json::object head{ { "revision", aHead.mRevision },
                           { "digest", aHead.mDigest },
                           { "snapshot", aHead.mSnapshotKey },
                           { "snapshotRevision", aHead.mSnapshotRevision },
                           { "patches", std::move(patches) } };
  return json::serialize(head);
}

bool
NeedsSnapshot(const ConfigHead& aHead)
{
  return aHead.mSnapshotKey.empty() ||
         aHead.mPatches.size() >= kMaxHeadPatches ||
         SerializeConfigHead(aHead).size() >= kMaxHeadBytes;
}

} // namespace cactusgw
