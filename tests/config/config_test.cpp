#include "cactusgw/config/config_head.hpp"
#include "cactusgw/config/config_store.hpp"
#include "cactusgw/config/deployment.hpp"
#include "cactusgw/config/layering.hpp"
#include "cactusgw/config/object_reader.hpp"
#include "cactusgw/config/process_settings.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace cactusgw {
namespace {

namespace json = boost::json;

std::string
FileOf(std::string_view, std::string_view aDataCentre)
{
  return aDataCentre.empty() ? "base" : "overlay " + std::string{ aDataCentre };
}

json::value
Document(std::string_view aOverlay)
{
  json::value document = json::parse(R"({
    "base": {
      "dataCentres": {
        "a": { "region": "r", "vms": { "v": { "peer": "127.0.0.1:1" } } } },
      "services": { "s": { "queueMs": 500 } },
      "models": { "m": { "service": "s" } },
      "upstreams": {
        "u": { "dataCentre": "a", "service": "s", "models": ["m"],
               "address": "127.0.0.1:2", "coldLimit": 1, "warmLimit": 4 } },
      "workspaces": {}
    },
    "overlays": {}
  })");
  if (!aOverlay.empty()) {
    document.get_object()["overlays"] =
      json::parse({ aOverlay.data(), aOverlay.size() });
  }
  return document;
}

std::string
FaultsOf(std::string_view aOverlay)
{
  return ToString(CheckDocument(Document(aOverlay), &FileOf, ""));
}

TEST(CheckDocument, AcceptsAnOverlayThatStatesWhatDiffers)
{
  EXPECT_EQ(FaultsOf(R"({ "a": { "services": { "s": { "queueMs": 900 } } } })"),
            "");
}

TEST(CheckDocument, RefusesAnOverlayThatRepeatsTheBase)
{
  EXPECT_EQ(FaultsOf(R"({ "a": { "services": { "s": { "queueMs": 500 } } } })"),
            "overlay a: /services/s/queueMs: repeats the value of the base\n");
}

TEST(CheckDocument, RefusesAnUnknownMemberWithFileAndPath)
{
  EXPECT_EQ(FaultsOf(R"({ "a": { "services": { "s": { "queMs": 1 } } } })"),
            "overlay a: /services/s/queMs: unknown member\n");
}

TEST(CheckDocument, RefusesAnOverlayOfAnUnknownDataCentre)
{
  EXPECT_EQ(FaultsOf(R"({ "z": {} })"),
            "overlay z: /: overlay of an unknown data centre\n");
}

TEST(CheckDocument, RefusesAnOverlayThatBreaksALimit)
{
  EXPECT_EQ(
    FaultsOf(R"({ "a": { "upstreams": { "u": { "coldLimit": 9 } } } })"),
    "overlay a: /upstreams/u/coldLimit: must not exceed warmLimit\n");
}

TEST(CheckDocument, NamesAllFaultsAtOnce)
{
  const std::string faults = FaultsOf(
    R"({ "a": { "services": { "s": { "queueMs": "x", "kind": "y" } } } })");
  EXPECT_THAT(faults, testing::HasSubstr("queueMs: must be a whole number"));
  EXPECT_THAT(faults, testing::HasSubstr("kind: must be one of"));
}

TEST(CheckDocument, RefusesReferencesToWhatDoesNotExist)
{
  json::value document = Document("");
  document.at("base").at("models").at("m").get_object()["service"] = "none";
  const std::string faults = ToString(CheckDocument(document, &FileOf, ""));
  EXPECT_THAT(faults,
              testing::HasSubstr("base: /models/m/service: unknown service"));
}

/// Faults of a document whose service "s" and workspace "w" are restricted to
/// the given regions.
std::string
FaultsOfRegions(const json::value& aRegions)
{
  json::value document = Document("");
  json::value& base = document.at("base");
  base.at("services").at("s").get_object()["regions"] = aRegions;
  base.at("workspaces").get_object()["w"] =
    json::object{ { "keySha256", json::array{ std::string(64, '1') } },
                  { "regions", aRegions } };
  return ToString(CheckDocument(document, &FileOf, ""));
}

// A restriction that operators can't state.
TEST(CheckDocument, AcceptsRegionsOfServicesAndWorkspaces)
{
  EXPECT_EQ(FaultsOfRegions(json::array{ "r" }), "");
}

// A malformed restriction that counts as none.
TEST(CheckDocument, RefusesMalformedRegions)
{
  for (const json::value& regions :
       { json::value(json::array{ "r", "nowhere" }),
         json::value(json::array{}),
         json::value(json::array{ "r", 1 }),
         json::value("r"),
         json::value(nullptr) }) {
    const std::string faults = FaultsOfRegions(regions);
    EXPECT_THAT(faults, testing::HasSubstr("base: /services/s/regions: "));
    EXPECT_THAT(faults, testing::HasSubstr("base: /workspaces/w/regions: "));
    EXPECT_THAT(faults, testing::Not(testing::HasSubstr("unknown member")));
  }
}

// An overlay that lifts a restriction by a null.
TEST(CheckDocument, RefusesAnOverlayThatRemovesRegions)
{
  json::value document =
    Document(R"({ "a": { "services": { "s": { "regions": null } } } })");
  json::value& base = document.at("base");
  base.at("services").at("s").get_object()["regions"] = json::array{ "r" };
  EXPECT_THAT(ToString(CheckDocument(document, &FileOf, "")),
              testing::HasSubstr("overlay a: /services/s/regions: "));
}

TEST(MergeOverlay, ReplacesOnlyWhatTheOverlayStates)
{
  const json::value merged =
    MergeOverlay(json::parse(R"({ "x": { "a": 1, "b": 2 }, "y": 3 })"),
                 json::parse(R"({ "x": { "b": 5 } })"));
  EXPECT_EQ(merged, json::parse(R"({ "x": { "a": 1, "b": 5 }, "y": 3 })"));
}

TEST(MergePatch, LeadsFromOneDocumentToTheOther)
{
  const json::value from =
    json::parse(R"({ "a": 1, "b": { "c": 2, "d": [1] }, "e": true })");
  const json::value to =
    json::parse(R"({ "a": 2, "b": { "d": [2] }, "f": { "g": 1 } })");
  EXPECT_EQ(ApplyPatch(from, MakePatch(from, to)), to);
}

TEST(Digest, DoesNotDependOnTheOrderOfMembers)
{
  EXPECT_EQ(DigestOfText(R"({"a":1,"b":{"c":2,"d":3}})"),
            DigestOfText(R"({"b":{"d":3,"c":2},"a":1})"));
  EXPECT_NE(DigestOfText(R"({"a":1})"), DigestOfText(R"({"a":2})"));
}

class ConfigStoreTest : public testing::Test
{
protected:
  static json::value Version(std::int64_t aQueueMs)
  {
    json::value document = Document("");
    document.at("base").at("services").at("s").get_object()["queueMs"] =
      aQueueMs;
    return document;
  }

  static ConfigUpdate Whole(std::uint64_t aRevision, std::int64_t aQueueMs)
  {
    const json::value document = Version(aQueueMs);
    return { 0, aRevision, DigestOf(document), json::serialize(document) };
  }

  static ConfigUpdate Step(std::uint64_t aFrom,
                           std::int64_t aOldQueueMs,
                           std::int64_t aNewQueueMs)
  {
    const json::value to = Version(aNewQueueMs);
    return { aFrom,
             aFrom + 1,
             DigestOf(to),
             json::serialize(MakePatch(Version(aOldQueueMs), to)) };
  }

  std::int64_t QueueMs() const
  {
    return mStore.Current().FindService("s")->mQueueTime.count();
  }

  ConfigStore mStore = ConfigStore::Create("a");
};

TEST_F(ConfigStoreTest, NeverGoesBackToALowerRevision)
{
  EXPECT_EQ(mStore.Apply(Whole(5, 100)), ApplyOutcome::Applied);
  EXPECT_EQ(mStore.Apply(Whole(4, 200)), ApplyOutcome::NotNewer);
  EXPECT_EQ(mStore.Apply(Whole(5, 300)), ApplyOutcome::NotNewer);
  EXPECT_EQ(QueueMs(), 100);
}

TEST_F(ConfigStoreTest, AppliesAPatchOverTheRevisionItStartsFrom)
{
  mStore.Apply(Whole(5, 100));
  EXPECT_EQ(mStore.Apply(Step(5, 100, 200)), ApplyOutcome::Applied);
  EXPECT_EQ(QueueMs(), 200);
}

TEST_F(ConfigStoreTest, AsksForTheWholeWhenAPatchDoesNotConnect)
{
  mStore.Apply(Whole(5, 100));
  EXPECT_EQ(mStore.Apply(Step(6, 100, 200)), ApplyOutcome::NeedsWhole);
  EXPECT_EQ(mStore.Revision(), 5U);
}

TEST_F(ConfigStoreTest, RefusesADocumentThatDoesNotMatchItsDigest)
{
  ConfigUpdate update = Whole(5, 100);
  ++update.mDigest;
  EXPECT_EQ(mStore.Apply(update), ApplyOutcome::Refused);
  EXPECT_EQ(mStore.Revision(), 0U);
}

TEST_F(ConfigStoreTest, RefusesADocumentWithFaults)
{
  const ConfigUpdate update = Whole(5, -1);
  EXPECT_EQ(mStore.Apply(update), ApplyOutcome::Refused);
}

TEST_F(ConfigStoreTest, ServesAVmThatIsBehindStepByStep)
{
  mStore.Apply(Whole(5, 100));
  mStore.Apply(Step(5, 100, 200));
  mStore.Apply(Step(6, 200, 300));
  ConfigStore behind = ConfigStore::Create("a");
  behind.Apply(Whole(5, 100));
  while (behind.Revision() < mStore.Revision()) {
    const ConfigUpdate update = mStore.UpdateFrom(behind.Revision());
    EXPECT_NE(update.mFromRevision, 0U);
    ASSERT_EQ(behind.Apply(update), ApplyOutcome::Applied);
  }
  EXPECT_EQ(behind.Digest(), mStore.Digest());
}

TEST_F(ConfigStoreTest, ServesANewVmWithTheWholeDocument)
{
  mStore.Apply(Whole(5, 100));
  ConfigStore fresh = ConfigStore::Create("a");
  EXPECT_EQ(fresh.Apply(mStore.UpdateFrom(0)), ApplyOutcome::Applied);
}

TEST_F(ConfigStoreTest, FollowsTheHeadsPatches)
{
  mStore.Apply(Whole(5, 100));
  ConfigHead head;
  head.mRevision = 6;
  const json::value next = Version(200);
  head.mPatches.push_back({ 6, DigestOf(next), MakePatch(Version(100), next) });
  const Result<ConfigHead> parsed = ParseConfigHead(SerializeConfigHead(head));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(mStore.ApplyHead(parsed.value()), ApplyOutcome::Applied);
  EXPECT_EQ(QueueMs(), 200);
}

TEST_F(ConfigStoreTest, NeedsTheSnapshotWhenTheHeadsPatchesStartLater)
{
  mStore.Apply(Whole(5, 100));
  ConfigHead head;
  head.mRevision = 9;
  head.mPatches.push_back({ 9, 0, json::object{} });
  EXPECT_EQ(mStore.ApplyHead(head), ApplyOutcome::NeedsWhole);
}

std::string
SettingsFaults(std::string_view aText)
{
  const SettingsResult<EntrySettings> settings =
    ReadEntrySettings(aText, "entry.json");
  return settings ? "" : ToString(settings.error());
}

constexpr const char* kGoodSettings = R"({
  // A comment.
  "vm": "v", "dataCentre": "a", "listen": "127.0.0.1:1",
  "agent": "127.0.0.1:2",
  "operator": { "listen": "127.0.0.1:3", "token": "t" },
})";

TEST(Settings, MayHoldComments)
{
  EXPECT_EQ(SettingsFaults(kGoodSettings), "");
}

TEST(Settings, NameFilePathAndReasonOfEveryFault)
{
  const std::string faults = SettingsFaults(R"({
    "vm": 3, "dataCentre": "a", "listen": "nowhere",
    "agent": "127.0.0.1:2", "operator": { "listen": "127.0.0.1:3" },
    "stopMs": 1, "extra": true
  })");
  EXPECT_EQ(faults,
            "entry.json: /vm: must be a string\n"
            "entry.json: /listen: must be an IP address and port, as in "
            "127.0.0.1:8080\n"
            "entry.json: /operator/token: is missing\n"
            "entry.json: /stopMs: must lie between 10 and 3600000\n"
            "entry.json: /extra: unknown member\n");
}

TEST(Settings, AreRefusedWhenTheyAreNotJson)
{
  EXPECT_THAT(SettingsFaults("{"),
              testing::StartsWith("entry.json: /: is not valid JSON"));
}

} // namespace
} // namespace cactusgw
