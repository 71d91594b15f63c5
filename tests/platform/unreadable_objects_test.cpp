/// Objects of other writers among those of the store: nested too deeply, with
/// numbers that are too large, with ports that don't exist, or with bytes that
/// are not text. The other objects must still be followed.

#include "platform/store_documents.hpp"
#include "platform/store_sources.hpp"
#include "scripted_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace cactusgw::platform::test {

namespace json = boost::json;
using cactusgw::test::ScriptedExchange;
using cactusgw::test::ScriptedUpstream;

namespace {

std::string
Document(const std::string& aField, const std::string& aValue)
{
  json::object document =
    json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"dc",
      "slots":32,"state":"ready","coldRemainingMs":0,"born":1})")
      .get_object();
  std::string text = "{";
  for (const json::key_value_pair& member : document) {
    if (member.key() != aField) {
      text += json::serialize(member.key()) + ":" +
              json::serialize(member.value()) + ",";
    }
  }
  return text + "\"" + aField + "\":" + aValue + "}";
}

std::string
Object(const std::string& aName, const std::string& aDocument)
{
  return R"({"metadata":{"name":")" + aName +
         R"(","revision":3},"specification":)" + aDocument + "}";
}

struct OddDocument
{
  const char* mName;
  std::string mText;
};

std::ostream&
operator<<(std::ostream& aOut, const OddDocument& aDocument)
{
  return aOut << aDocument.mName;
}

std::vector<OddDocument>
OddDocuments()
{
  constexpr std::size_t kLevels = 100'000;
  const std::string deepArray =
    std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string deepObject;
  for (std::size_t i = 0; i < kLevels; ++i) {
    deepObject += "{\"a\":";
  }
  deepObject += "1" + std::string(kLevels, '}');
  return { { "DeepArray", deepArray },
           { "DeepObject", deepObject },
           { "DeepField", Document("slots", deepArray) },
           { "HugeExponent", Document("slots", "1e99999") },
           { "HugeInteger", Document("slots", std::string(400, '9')) },
           { "MoreThan32Bits", Document("slots", "4294967296") },
           { "MoreThan64Bits", Document("born", "18446744073709551616") },
           { "HugeColdTime", Document("coldRemainingMs", "1e300") },
           { "NegativeColdTime", Document("coldRemainingMs", "-1") },
           { "Port70000", Document("address", "\"10.0.0.1:70000\"") },
           { "Port0", Document("address", "\"10.0.0.1:0\"") },
           { "PortMinus1", Document("address", "\"10.0.0.1:-1\"") },
           { "NoPort", Document("address", "\"10.0.0.1\"") },
           { "HiddenZero", Document("address", "\"10.0.0.1\\u0000x:80\"") },
           { "InvalidUtf8", Document("zone", "\"\xff\xfe\"") },
           { "UnknownState", Document("state", "\"odd\"") },
           { "NotAnObject", "7" },
           { "Null", "null" },
           { "Text", "\"a \\\"quoted\\\" text, with [ and {\"" } };
}

} // namespace

class UnreadableObjectTest : public ::testing::TestWithParam<OddDocument>
{
protected:
  /// Reads the first answer of a store that gives this response to each call.
  Result<CollectionUpdate> Read(const std::string& aResponse, bool aIsWatch)
  {
    net::io_context context{ 1 };
    Counter calls{ { "calls", "", "" } };
    ScriptedUpstream store{ context,
                            [&](ScriptedExchange& aExchange) -> Task<void> {
                              co_await aExchange.Answer(200, "", aResponse);
                            } };
    StoreSource source{ "servers", store.Address(), calls };
    Result<CollectionUpdate> update =
      NotRun(FailureCode::Internal, "no response yet");
    bool done = false;
    const auto read = [&]() -> Task<void> {
      if (aIsWatch) {
        update = co_await source.Watch(1, Milliseconds{ 10 });
      } else {
        update = co_await source.List();
      }
    };
    net::co_spawn(context, read(), [&](const std::exception_ptr& aError) {
      done = true;
      EXPECT_FALSE(aError);
    });
    while (!done) {
      context.run_one();
    }
    return update;
  }

  /// Expects that only the first and the last of three objects can be used.
  static void ExpectOthersHold(const Result<CollectionUpdate>& aUpdate)
  {
    ASSERT_TRUE(aUpdate.has_value()) << aUpdate.error().mDetail;
    std::vector<std::string> usable;
    for (const StoredObject& object : aUpdate.value().mObjects) {
      json::error_code ec;
      const json::value document = json::parse(object.mDocument.value(), ec);
      EXPECT_FALSE(ec) << "gateways that get the object from this one";
      if (DecodeUpstream(object.mName, document)) {
        usable.push_back(object.mName);
      }
    }
    EXPECT_THAT(usable, ::testing::ElementsAre("a", "c"));
  }

  static std::string ThreeObjects(const std::string& aBegin,
                                  const std::string& aEnd)
  {
    const std::string good = Document("slots", "32");
    return aBegin + Object("a", good) + aEnd + "," + aBegin +
           Object("b", GetParam().mText) + aEnd + "," + aBegin +
           Object("c", good) + aEnd;
  }
};

TEST_P(UnreadableObjectTest, LeavesTheOthersOfAList)
{
  ExpectOthersHold(Read(R"({"items":[)" + ThreeObjects("", "") +
                          R"(],"more":false,"storeRevision":9})",
                        false));
}

TEST_P(UnreadableObjectTest, LeavesTheOthersOfAWatch)
{
  ExpectOthersHold(Read(R"({"events":[)" +
                          ThreeObjects(R"({"tombstone":false,"object":)", "}") +
                          R"(],"storeRevision":9})",
                        true));
}

INSTANTIATE_TEST_SUITE_P(
  AllForms,
  UnreadableObjectTest,
  ::testing::ValuesIn(OddDocuments()),
  [](const ::testing::TestParamInfo<OddDocument>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

/// A response that answers another call, as when a store sends one twice.
class ForeignResponseTest : public UnreadableObjectTest
{};

// Without its array a list would remove all objects.
TEST_F(ForeignResponseTest, AWatchIsNotTakenForAList)
{
  EXPECT_FALSE(Read(R"({"events":[],"storeRevision":9})", false).has_value());
}

TEST_F(ForeignResponseTest, AListIsNotTakenForAWatch)
{
  EXPECT_FALSE(
    Read(R"({"items":[],"more":false,"storeRevision":9})", true).has_value());
}

// Bytes of a response are changed, removed and repeated at random. Nothing may
// throw, and what is read must be usable by other gateways.
TEST_F(ForeignResponseTest, NoMutatedResponseEndsTheProcess)
{
  const std::string whole = R"({"items":[)" +
                            Object("a", Document("slots", "32")) + "," +
                            Object("b", Document("born", "1700000000000")) +
                            R"(],"more":false,"storeRevision":9})";
  std::mt19937 random{ 1 };
  for (int i = 0; i < 500; ++i) {
    std::string text = whole;
    for (unsigned edits = 1 + random() % 4; edits > 0; --edits) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(at, 1 + random() % 8);
          break;
        case 2:
          text.insert(at, text.substr(at, 1 + random() % 40));
          break;
        default:
          text.insert(at,
                      std::string(1 + random() % 64, "[{\"9-e"[random() % 6]));
          break;
      }
    }
    // A list that announces more pages would be read forever.
    if (text.find("\"more\":false") == std::string::npos) {
      continue;
    }
    const Result<CollectionUpdate> update = Read(text, false);
    for (std::size_t n = 0; update && n < update.value().mObjects.size(); ++n) {
      const StoredObject& object = update.value().mObjects[n];
      json::error_code ec;
      const json::value document = json::parse(object.mDocument.value(), ec);
      EXPECT_FALSE(ec) << text;
      static_cast<void>(DecodeUpstream(object.mName, document));
      static_cast<void>(DecodePeer(object.mName, document));
      static_cast<void>(DecodeQuarantine(object.mName, document));
      static_cast<void>(DecodeConfig(document));
    }
  }
}

/// The targets of the calls that read a list of two pages.
class ListTargetTest : public ::testing::Test
{
protected:
  static std::vector<std::string> TargetsOf(ListConsistency aConsistency);
};

std::vector<std::string>
ListTargetTest::TargetsOf(ListConsistency aConsistency)
{
  net::io_context context{ 1 };
  Counter calls{ { "calls", "", "" } };
  std::vector<std::string> targets;
  ScriptedUpstream store{ context,
                          [&](ScriptedExchange& aExchange) -> Task<void> {
                            targets.emplace_back(aExchange.Request().target());
                            const bool isFirst = targets.size() == 1;
                            const std::string item =
                              Object(isFirst ? "a b&c" : "d", "{}");
                            co_await aExchange.Answer(
                              200,
                              "",
                              R"({"items":[)" + item + R"(],"more":)" +
                                (isFirst ? "true" : "false") +
                                R"(,"storeRevision":9})");
                          } };
  StoreSource source{ "servers", store.Address(), calls, aConsistency };
  bool done = false;
  const auto read = [&]() -> Task<void> {
    const Result<CollectionUpdate> listing = co_await source.List();
    EXPECT_TRUE(listing.has_value());
  };
  net::co_spawn(context, read(), [&](const std::exception_ptr& /*aError*/) {
    done = true;
  });
  while (!done) {
    context.run_one();
  }
  return targets;
}

TEST_F(ListTargetTest, NameOfAnObjectIsEncoded)
{
  EXPECT_THAT(
    TargetsOf(ListConsistency::Newest),
    ::testing::ElementsAre("/v1/objects/servers",
                           "/v1/objects/servers?afterRevision=a%20b%26c"));
}

TEST_F(ListTargetTest, EachPageMayBeOld)
{
  EXPECT_THAT(TargetsOf(ListConsistency::MayBeOld),
              ::testing::ElementsAre(
                "/v1/objects/servers?staleOk=1",
                "/v1/objects/servers?staleOk=1&afterRevision=a%20b%26c"));
}

} // namespace cactusgw::platform::test
