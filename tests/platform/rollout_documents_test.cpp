#include "cactusgw/net/http_server.hpp"
#include "cactusgw/rollout/rollout_stages.hpp"
#include "free_address.hpp"
#include "platform/store_documents.hpp"
#include "platform/store_registration.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace cactusgw::platform {

namespace {

namespace json = boost::json;

json::object
Order()
{
  return json::parse(R"({
    "metadata": { "name": "drafts", "revision": 7, "created": 5 },
    "specification": { "service": "drafts", "target": "v2", "durationS": 12.5 }
  })")
    .as_object();
}

std::optional<RolloutStage>
StageOf(std::string_view aStatus)
{
  json::object order = Order();
  order["status"] = json::parse(aStatus);
  const Result<StoredRollout> decoded = DecodeRollout("drafts", order);
  EXPECT_TRUE(decoded.has_value());
  return decoded ? decoded.value().mStage : std::nullopt;
}

} // namespace

TEST(RolloutDocumentsTest, AnOrderIsDecoded)
{
  const Result<StoredRollout> decoded = DecodeRollout("drafts", Order());
  ASSERT_TRUE(decoded.has_value()) << decoded.error().mDetail;
  const StoredRollout& rollout = decoded.value();
  EXPECT_EQ(rollout.mOrder.mId, (RolloutId{ "drafts", "v2", 5 }));
  EXPECT_EQ(rollout.mOrder.mDuration, Milliseconds{ 12'500 });
  EXPECT_EQ(rollout.mRevision, 7U);
  EXPECT_FALSE(rollout.mStage);
}

TEST(RolloutDocumentsTest, EachStageIsReadAsItWasWritten)
{
  for (const RolloutStage stage : { RolloutStage::Observing,
                                    RolloutStage::Quarter,
                                    RolloutStage::Half,
                                    RolloutStage::All,
                                    RolloutStage::Drained,
                                    RolloutStage::Completed,
                                    RolloutStage::RolledBack }) {
    const json::object status = EncodeRolloutStatus("v2", stage);
    EXPECT_EQ(StageOf(json::serialize(status)), stage) << ToString(stage);
    const char* const state = stage == RolloutStage::Completed ? "completed"
                              : stage == RolloutStage::RolledBack
                                ? "rolled_back"
                                : "running";
    EXPECT_EQ(status.at("state").as_string(), state);
    EXPECT_EQ(status.at("target").as_string(), "v2");
  }
}

// A stage that isn't certain must not give the target a share.
TEST(RolloutDocumentsTest, AnUnusableStatusHasNoStage)
{
  for (const char* const status :
       { "null",
         "[]",
         R"("running")",
         "{}",
         R"({ "state": "completed" })",
         R"({ "state": "completed", "target": "v1" })",
         R"({ "state": "completed", "target": 2 })",
         R"({ "state": 5, "target": "v2", "stage": "all" })",
         R"({ "state": "running", "target": "v2", "stage": [] })",
         R"({ "state": "paused", "target": "v2", "stage": "all" })",
         R"({ "state": "paused", "target": "v2" })",
         R"({ "target": "v2", "stage": "all" })" }) {
    EXPECT_FALSE(StageOf(status)) << status;
  }
  EXPECT_EQ(StageOf(R"({ "state": "running", "target": "v2", "stage": "x" })"),
            RolloutStage::Observing);
}

TEST(RolloutDocumentsTest, AnUnusableOrderIsAnError)
{
  const auto without = [](const char* aPart, const char* aMember) {
    json::object order = Order();
    order[aPart].as_object().erase(aMember);
    return order;
  };
  const auto with = [](const char* aPart, const char* aName, json::value aNew) {
    json::object order = Order();
    order[aPart].as_object()[aName] = std::move(aNew);
    return order;
  };
  for (const json::value& order :
       { json::value{ without("metadata", "revision") },
         json::value{ without("specification", "service") },
         json::value{ without("specification", "target") },
         json::value{ without("specification", "durationS") },
         json::value{ with("metadata", "revision", "7") },
         json::value{ with("metadata", "created", "x") },
         json::value{ with("specification", "service", 1) },
         json::value{ with("specification", "target", nullptr) },
         json::value{ with("specification", "durationS", "12") },
         json::value{ with("specification", "durationS", -1) },
         json::value{ with("specification", "durationS", 1e30) },
         json::value{ json::object{} },
         json::value{ nullptr },
         json::value{ json::array{} },
         json::value{
           json::object{ { "metadata", 1 }, { "specification", "x" } } } }) {
    EXPECT_FALSE(DecodeRollout("drafts", order).has_value())
      << json::serialize(order);
  }
}

// Two gateways that write at once must not overwrite each other's stage.
TEST(RolloutDocumentsTest, AStatusIsWrittenOnlyAtItsRevision)
{
  net::io_context context{ 1 };
  const std::string address = test::FreeAddress();
  std::uint64_t revision = 7;
  std::vector<std::string> calls;
  std::optional<RolloutStage> stored;
  const HttpHandler store = [&](HttpExchange& aExchange) -> Task<void> {
    calls.push_back(std::string{ aExchange.Request().method_string() } + " " +
                    std::string{ aExchange.Request().target() });
    const json::value call = json::parse(aExchange.Request().body());
    const bool isCurrent =
      call.at("metadata").at("revision").to_number<std::uint64_t>() == revision;
    if (isCurrent) {
      ++revision;
      stored = StageOf(json::serialize(call.at("status")));
    }
    co_await aExchange.Reply(HttpResponse{
      isCurrent ? http::status::ok : http::status::conflict, 11 });
  };
  const Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    context, address, [] { return HttpServerLimits{}; }, store);
  ASSERT_TRUE(server.has_value());
  const RolloutRecords records = StoreRolloutRecords(address);
  std::optional<Result<void>> first;
  std::optional<Result<void>> second;
  const auto write = [&]() -> Task<void> {
    const RolloutOrder order{ { "drafts", "v2", 5 }, Milliseconds{ 1 } };
    // Named, as GCC 12 destroys such a temporary twice in a co_await.
    const RolloutEdit grow{ order, 7, RolloutStage::Quarter };
    const RolloutEdit rollBack{ order, 7, RolloutStage::RolledBack };
    first = co_await records.mWrite(grow);
    second = co_await records.mWrite(rollBack);
  };
  net::co_spawn(context, write(), [](const std::exception_ptr&) {});
  while (!second) {
    context.run_one();
  }
  EXPECT_TRUE(first->has_value()) << first->error().mDetail;
  ASSERT_FALSE(second->has_value());
  EXPECT_EQ(second->error().mCode, FailureCode::Conflict);
  EXPECT_EQ(stored, RolloutStage::Quarter);
  ASSERT_EQ(calls.size(), 2U);
  EXPECT_EQ(calls.front(), "PUT /v1/objects/rollouts/drafts/status");
}

} // namespace cactusgw::platform
