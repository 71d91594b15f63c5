#include "link_relay.hpp"
#include "platform/store_documents.hpp"
#include "platform/store_sources.hpp"
#include "scripted_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cactusgw::platform::test {

namespace json = boost::json;
using cactusgw::test::ScriptedExchange;
using cactusgw::test::ScriptedUpstream;

namespace {

json::object
UpstreamDocument()
{
  return json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"dc",
    "version":"v1","slots":32,"state":"ready","coldRemainingMs":12.5,
    "sequence":4,"born":1700000000000,"stage":"combined"})")
    .get_object();
}

/// A field with an invalid value that another writer may have stored.
struct BadField
{
  const char* mField;
  const char* mValue;
};

std::ostream&
operator<<(std::ostream& aOut, const BadField& aField)
{
  return aOut << aField.mField << "=" << aField.mValue;
}

} // namespace

class BadUpstreamTest : public ::testing::TestWithParam<BadField>
{};

TEST_P(BadUpstreamTest, IsRejectedNamingTheField)
{
  json::object document = UpstreamDocument();
  document[GetParam().mField] = json::parse(GetParam().mValue);
  const Result<UpstreamRecord> record = DecodeUpstream("u", document);
  ASSERT_FALSE(record.has_value());
  EXPECT_THAT(record.error().mDetail, ::testing::HasSubstr(GetParam().mField));
}

INSTANTIATE_TEST_SUITE_P(AllFields,
                         BadUpstreamTest,
                         ::testing::Values(BadField{ "service", "7" },
                                           BadField{ "service", "null" },
                                           BadField{ "address", "\"host\"" },
                                           BadField{ "address", "[]" },
                                           BadField{ "zone", "{}" },
                                           BadField{ "slots", "\"32\"" },
                                           BadField{ "slots", "-1" },
                                           BadField{ "slots", "1.5" },
                                           BadField{ "state", "\"asleep\"" },
                                           BadField{ "state", "1" },
                                           BadField{ "born", "\"now\"" },
                                           BadField{ "coldRemainingMs",
                                                     "\"1\"" }));

TEST(StoreDocumentsTest, AnUpstreamIsDecodedAndUnknownFieldsAreIgnored)
{
  const Result<UpstreamRecord> record = DecodeUpstream("u", UpstreamDocument());
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record.value().mId, "u");
  EXPECT_EQ(record.value().mSlots, 32U);
  EXPECT_EQ(record.value().mColdTime, Milliseconds{ 13 });
  EXPECT_EQ(record.value().mStartedMs, 1'700'000'000'000);
  EXPECT_FALSE(record.value().mIsDraining);
}

TEST(StoreDocumentsTest, AConfigurationIsDecoded)
{
  const Result<GatewayConfig> config = DecodeConfig(json::parse(R"({
    "version":7,
    "routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"streaming",
      "timeoutMs":6000,"targetLatencyMs":1500,"priority":2,"attempts":2,
      "streamResumption":true,"allowedRegions":["north"],
      "trafficSplit":[{"service":"a","weight":90},
                      {"service":"b","weight":10}]},
     {"name":"q","host":"h","pathPrefix":"/q/","kind":"unsafe",
      "timeoutMs":100,"service":"a","public":true}],
    "services":[{"name":"a","maxConnections":302,"coldPerS":39.5,
      "engine":{"slots":32,"cacheTokens":34297,"kvBytes":262144,
                "linkMbps":38000.0,"moves":true}}],
    "limits":{"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeoutMs":3,
              "idleTimeoutMs":4},
    "tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})"));
  ASSERT_TRUE(config.has_value()) << config.error().mDetail;
  const GatewayConfig& value = config.value();
  EXPECT_EQ(value.mVersion, 7U);
  EXPECT_EQ(value.mRoutes[0].mKind, RouteKind::ResumableStream);
  EXPECT_EQ(value.mRoutes[0].mTargets[1].mWeight, 10U);
  EXPECT_EQ(value.mRoutes[1].mKind, RouteKind::NonIdempotent);
  EXPECT_TRUE(value.mRoutes[1].mIsPublic);
  EXPECT_EQ(value.mServices[0].mEngine->mMemoryTokens, 34297U);
  EXPECT_TRUE(value.mServices[0].mEngine->mCanMigrate);
  EXPECT_EQ(value.mLimits.mIdleTime, Milliseconds{ 4 });
  EXPECT_EQ(value.mWorkspaces[0].mRank, 1U);
}

TEST(StoreDocumentsTest, AnUnknownKindOfRouteMakesTheConfigurationUnusable)
{
  const Result<GatewayConfig> config = DecodeConfig(
    json::parse(R"({"version":1,"routes":[{"host":"h","pathPrefix":"/",
      "kind":"odd","timeoutMs":1,"service":"s"}]})"));
  ASSERT_FALSE(config.has_value());
  EXPECT_THAT(config.error().mDetail, ::testing::HasSubstr("kind"));
}

/// Runs a source against a store with scripted responses.
class StoreSourceTest : public ::testing::Test
{
protected:
  void Run(const std::function<Task<void>()>& aTest)
  {
    bool done = false;
    net::co_spawn(mContext, aTest(), [&](const std::exception_ptr& aError) {
      done = true;
      EXPECT_FALSE(aError);
    });
    while (!done) {
      mContext.run_one();
    }
  }

  static std::string Object(const std::string& aName, int aRevision)
  {
    return R"({"metadata":{"name":")" + aName + R"(","revision":)" +
           std::to_string(aRevision) + R"(},"specification":)" +
           json::serialize(UpstreamDocument()) + "}";
  }

  net::io_context mContext{ 1 };
  Counter mCalls{ { "calls", "", "" } };
};

TEST_F(StoreSourceTest, AListIsReadPageByPage)
{
  ScriptedUpstream store{
    mContext,
    [](ScriptedExchange& aExchange) -> Task<void> {
      const std::string target{ aExchange.Request().target() };
      const bool isFirst = target.find("afterRevision") == std::string::npos;
      const std::string item = Object(isFirst ? "a" : "b", 3);
      co_await aExchange.Answer(
        200,
        "",
        R"({"items":[)" + item + R"(],"more":)" + (isFirst ? "true" : "false") +
          R"(,"storeRevision":)" + (isFirst ? "10" : "12") + "}");
    }
  };
  StoreSource source{ "servers", store.Address(), mCalls };
  Run([&]() -> Task<void> {
    const Result<CollectionUpdate> listing = co_await source.List();
    EXPECT_TRUE(listing.has_value());
    EXPECT_TRUE(listing.value().mIsWhole);
    EXPECT_EQ(listing.value().mObjects.size(), 2U);
    EXPECT_EQ(listing.value().mRevision, 10U);
  });
  EXPECT_EQ(mCalls.Value(), 2U);
}

TEST_F(StoreSourceTest, WatchReturnsChangesAndDeletions)
{
  ScriptedUpstream store{
    mContext,
    [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(
        200,
        "",
        R"({"events":[{"tombstone":false,"object":)" + Object("a", 3) +
          R"(},{"tombstone":true,"object":)" + Object("b", 4) +
          R"(},{"tombstone":false,"object":{"metadata":{"name":"c",
             "revision":5},"specification":{"state":1}}}],
             "storeRevision":533})");
    }
  };
  StoreSource source{ "servers", store.Address(), mCalls };
  Run([&]() -> Task<void> {
    const Result<CollectionUpdate> changes =
      co_await source.Watch(530, Milliseconds{ 10 });
    EXPECT_TRUE(changes.has_value());
    EXPECT_EQ(changes.value().mRevision, 533U);
    const std::vector<StoredObject>& objects = changes.value().mObjects;
    EXPECT_FALSE(changes.value().mIsWhole);
    EXPECT_EQ(json::parse(objects[0].mDocument.value()), UpstreamDocument());
    EXPECT_FALSE(objects[1].mDocument.has_value());
    EXPECT_EQ(objects[2].mDocument, R"({"state":1})");
  });
}

struct StoreFault
{
  const char* mName;
  cactusgw::test::Script mScript;
  FailureCode mCode;
};

std::ostream&
operator<<(std::ostream& aOut, const StoreFault& aFault)
{
  return aOut << aFault.mName;
}

class StoreFaultTest
  : public StoreSourceTest
  , public ::testing::WithParamInterface<StoreFault>
{};

TEST_P(StoreFaultTest, MapsToItsFailureCode)
{
  ScriptedUpstream store{ mContext, GetParam().mScript };
  StoreSource source{ "servers", store.Address(), mCalls };
  Run([&]() -> Task<void> {
    const Result<CollectionUpdate> changes =
      co_await source.Watch(1, Milliseconds{ 10 });
    EXPECT_FALSE(changes.has_value());
    EXPECT_EQ(changes.error().mCode, GetParam().mCode);
  });
}

INSTANTIATE_TEST_SUITE_P(
  AllFaults,
  StoreFaultTest,
  ::testing::Values(
    StoreFault{ "HistoryCompacted",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.Answer(410, "", "{}");
                },
                FailureCode::HistoryCompacted },
    StoreFault{ "TooManyCalls",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.Answer(429, "", "");
                },
                FailureCode::StoreUnavailable },
    StoreFault{ "Busy",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.Answer(503, "", "");
                },
                FailureCode::StoreUnavailable },
    StoreFault{ "NoJson",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.Answer(200, "", "{\"events\":");
                },
                FailureCode::StoreUnavailable },
    StoreFault{ "NoRevision",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.Answer(200, "", "{\"events\":[]}");
                },
                FailureCode::StoreUnavailable },
    StoreFault{ "Reset",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  aExchange.Close(true);
                  co_return;
                },
                FailureCode::StoreUnavailable },
    StoreFault{ "CutShort",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.Write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{");
                  aExchange.Close();
                },
                FailureCode::StoreUnavailable },
    StoreFault{ "Silent",
                [](ScriptedExchange& aExchange) -> Task<void> {
                  co_await aExchange.WaitForClose();
                  aExchange.Close();
                },
                FailureCode::StoreUnavailable }),
  [](const ::testing::TestParamInfo<StoreFault>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

TEST_F(StoreSourceTest, TheConfigurationIsReadAsACollectionOfOne)
{
  ScriptedUpstream store{ mContext,
                          [](ScriptedExchange& aExchange) -> Task<void> {
                            co_await aExchange.Answer(
                              200,
                              "",
                              R"({"metadata":{"name":"main","revision":5},
            "specification":{"version":3}})");
                          } };
  ConfigSource source{ store.Address(), mCalls };
  Run([&]() -> Task<void> {
    const Result<CollectionUpdate> read = co_await source.Read();
    EXPECT_TRUE(read.has_value());
    EXPECT_TRUE(read.value().mIsWhole);
    EXPECT_EQ(read.value().mRevision, 5U);
    EXPECT_EQ(read.value().mObjects[0].mDocument, R"({"version":3})");
  });
}

// Guards against reads of a large configuration that never end, as the link
// needs more time for it than a call may take.
TEST_F(StoreSourceTest, ALargeConfigurationIsReadOverASlowLink)
{
  const std::string routes(1'000'000, 'r');
  ScriptedUpstream store{
    mContext,
    [&](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(
        200,
        "",
        R"({"metadata":{"name":"main","revision":5},"specification":")" +
          routes + R"("})");
    }
  };
  standins::LinkRelay link{ store.Address() };
  link.SetBytesPerSecond(400'000);
  ConfigSource source{ link.Address(), mCalls };
  Run([&]() -> Task<void> {
    const Result<CollectionUpdate> read = co_await source.Read();
    EXPECT_TRUE(read.has_value());
  });
}

TEST(StoreDocumentsTest, AQuarantineIsDecodedAsItWasStored)
{
  const StoredQuarantine stored{ { "91bd", "5c1e" }, 1'700'000'000'000 };
  const Result<StoredQuarantine> decoded =
    DecodeQuarantine("q-1", EncodeQuarantine(stored));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded.value().mParts, (PartSet{ "5c1e", "91bd" }));
  EXPECT_EQ(decoded.value().mWrittenMs, stored.mWrittenMs);
}

// A quarantine of no parts would apply to every request.
TEST(StoreDocumentsTest, AQuarantineWithoutPartsIsRejected)
{
  EXPECT_FALSE(
    DecodeQuarantine("q-1", EncodeQuarantine({ {}, 1 })).has_value());
}

TEST(StoreDocumentsTest, AGatewayIsDecodedAsItRegistered)
{
  const GatewayPeer peer{ "vm-1", "10.0.0.1:7200", "dc", 0.25 };
  const Result<GatewayPeer> decoded = DecodePeer("vm-1", EncodePeer(peer));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded.value().mAddress, peer.mAddress);
  EXPECT_EQ(decoded.value().mDataCentre, peer.mDataCentre);
  EXPECT_EQ(decoded.value().mCapacity, peer.mCapacity);
}

} // namespace cactusgw::platform::test
