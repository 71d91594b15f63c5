#include "cactusgw/config/request_homes.hpp"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <string>

namespace cactusgw {
namespace {

constexpr const char* kDocument = R"({
  "dataCentres": {
    "a": { "region": "r1", "vms": { "vm-1": { "peer": "127.0.0.1:1001" } } },
    "b": { "region": "r2", "vms": { "vm-2": { "peer": "127.0.0.1:1002" } } }
  },
  "services": { "s": { "kind": "plain" } },
  "upstreams": {
    "u1": { "dataCentre": "a", "service": "s", "address": "127.0.0.1:2001",
            "coldLimit": 1, "warmLimit": 1 },
    "u2": { "dataCentre": "b", "service": "s", "address": "127.0.0.1:2002",
            "coldLimit": 1, "warmLimit": 1 }
  },
  "workspaces": {
    "w": { "keySha256":
      ["1111111111111111111111111111111111111111111111111111111111111111"] }
  }
})";

class RequestHomesTest : public testing::Test
{
protected:
  template<typename Edit>
  static Deployment Make(Edit aEdit)
  {
    boost::json::value document = boost::json::parse(kDocument);
    aEdit(document.get_object());
    ConfigFaults faults;
    Deployment deployment = ReadDeployment(document, "test", faults);
    EXPECT_EQ(ToString(faults), "");
    return deployment;
  }

  static Deployment WithHome(std::string_view aRegion)
  {
    return Make([&](boost::json::object& aDocument) {
      aDocument["workspaces"].at("w").get_object()["regions"] =
        boost::json::array{ aRegion };
    });
  }

  /// "success", or why the send is refused.
  static std::string Check(const Deployment& aNewest,
                           const RequestHomes& aHomes,
                           std::string_view aUpstream,
                           std::string_view aAddress)
  {
    const Result<void> checked =
      CheckSend(aNewest, aHomes, aUpstream, aAddress);
    return checked ? "success" : std::string{ ToString(checked.error().mCode) };
  }

  Deployment mFree = Make([](boost::json::object&) {});
  RequestHomes mHomes = RequestHomes::Of(mFree, "s", "w");
  std::string mOutside{ ToString(FailureCode::OutsideHomeRegions) };
};

// A refusal of requests that have no homes.
TEST_F(RequestHomesTest, AllowsEverySendWithoutARestriction)
{
  EXPECT_EQ(Check(mFree, mHomes, "u1", "127.0.0.1:2001"), "success");
  EXPECT_EQ(Check(mFree, mHomes, "new", "127.0.0.1:2009"), "success");
}

// A send under the homes at the start of the request.
TEST_F(RequestHomesTest, FollowsHomesThatAreAddedAndMoved)
{
  EXPECT_EQ(Check(WithHome("r2"), mHomes, "u1", "127.0.0.1:2001"), mOutside);
  EXPECT_EQ(Check(WithHome("r2"), mHomes, "u2", "127.0.0.1:2002"), "success");
  const RequestHomes moved = RequestHomes::Of(WithHome("r1"), "s", "w");
  EXPECT_EQ(Check(WithHome("r2"), moved, "u1", "127.0.0.1:2001"), mOutside);
  EXPECT_EQ(Check(mFree, moved, "u2", "127.0.0.1:2002"), "success");
}

// A restriction that is lost with its workspace.
TEST_F(RequestHomesTest, KeepsTheHomesOfARemovedWorkspace)
{
  const RequestHomes homes = RequestHomes::Of(WithHome("r1"), "s", "w");
  const Deployment removed = Make([](boost::json::object& aDocument) {
    aDocument["workspaces"].get_object().erase("w");
  });
  EXPECT_EQ(Check(removed, homes, "u2", "127.0.0.1:2002"), mOutside);
  EXPECT_EQ(Check(removed, homes, "u1", "127.0.0.1:2001"), "success");
}

// A permit from an agent with another version, in which the upstream is
// elsewhere.
TEST_F(RequestHomesTest, RefusesUpstreamsWhoseRegionIsUnknown)
{
  const Deployment newest = WithHome("r1");
  EXPECT_EQ(Check(newest, mHomes, "u1", "127.0.0.1:2002"), mOutside);
  EXPECT_EQ(Check(newest, mHomes, "new", "127.0.0.1:2009"), mOutside);
}

// A send to an upstream that moved to another data centre.
TEST_F(RequestHomesTest, FollowsTheDataCentreOfTheUpstream)
{
  const Deployment moved = Make([](boost::json::object& aDocument) {
    aDocument["services"].at("s").get_object()["regions"] =
      boost::json::array{ "r1" };
    aDocument["upstreams"].at("u1").get_object()["dataCentre"] = "b";
  });
  EXPECT_EQ(Check(moved, mHomes, "u1", "127.0.0.1:2001"), mOutside);
}

} // namespace
} // namespace cactusgw
