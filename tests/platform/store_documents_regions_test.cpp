#include "platform/store_documents.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace cactusgw::platform::test {

namespace json = boost::json;

namespace {

enum class Form
{
  Everywhere,
  North,
  NorthAndSouth,
  Unreadable,
};

/// The field `allowedRegions` of a route or a tenant; null when it is absent.
struct RegionsCase
{
  const char* mName;
  const char* mField;
  Form mForm;
};

std::ostream&
operator<<(std::ostream& aOut, const RegionsCase& aCase)
{
  return aOut << aCase.mName;
}

AllowedRegions
Expected(Form aForm)
{
  switch (aForm) {
    case Form::North:
      return AllowedRegions::Only({ "north" });
    case Form::NorthAndSouth:
      return AllowedRegions::Only({ "north", "south" });
    case Form::Unreadable:
      return AllowedRegions::Unreadable();
    case Form::Everywhere:
      break;
  }
  return AllowedRegions::Everywhere();
}

/// Sets the field, unless it is to be absent.
void
SetRegions(json::value& aItem, const char* aField)
{
  if (aField != nullptr) {
    aItem.as_object()["allowedRegions"] = json::parse(aField);
  }
}

/// Decodes two routes and two tenants; the first of each gets the field.
Result<GatewayConfig>
Decode(const char* aRouteField, const char* aTenantField)
{
  json::value document = json::parse(R"({
    "version":7,
    "routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"safe",
               "timeoutMs":1000,"service":"s"},
              {"name":"q","host":"h","pathPrefix":"/q/","kind":"unsafe",
               "timeoutMs":1000,"service":"s"}],
    "services":[{"name":"s"}],
    "tenants":[{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["l"]}]})");
  json::object& fields = document.as_object();
  SetRegions(fields["routes"].as_array()[0], aRouteField);
  SetRegions(fields["tenants"].as_array()[0], aTenantField);
  return DecodeConfig(document);
}

} // namespace

class RegionsDocumentTest : public ::testing::TestWithParam<RegionsCase>
{};

INSTANTIATE_TEST_SUITE_P(
  Forms,
  RegionsDocumentTest,
  ::testing::Values(
    RegionsCase{ "Absent", nullptr, Form::Everywhere },
    RegionsCase{ "EmptyList", "[]", Form::Everywhere },
    RegionsCase{ "OneRegion", R"(["north"])", Form::North },
    RegionsCase{ "TwoRegions", R"(["south","north"])", Form::NorthAndSouth },
    RegionsCase{ "Duplicates", R"(["north","north"])", Form::North },
    RegionsCase{ "Null", "null", Form::Unreadable },
    RegionsCase{ "String", R"("north")", Form::Unreadable },
    RegionsCase{ "EmptyString", R"("")", Form::Unreadable },
    RegionsCase{ "Number", "7", Form::Unreadable },
    RegionsCase{ "False", "false", Form::Unreadable },
    RegionsCase{ "Object", R"({"north":true})", Form::Unreadable },
    RegionsCase{ "EmptyObject", "{}", Form::Unreadable },
    RegionsCase{ "NumberInList", R"(["north",7])", Form::Unreadable },
    RegionsCase{ "NullInList", R"([null])", Form::Unreadable },
    RegionsCase{ "EmptyStringInList", R"(["north",""])", Form::Unreadable },
    RegionsCase{ "ListInList", R"([["north"]])", Form::Unreadable },
    RegionsCase{ "ObjectInList", R"([{"name":"north"}])", Form::Unreadable }),
  [](const ::testing::TestParamInfo<RegionsCase>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

// A restriction of a route that can't be read counted as none, or made the
// whole configuration unusable.
TEST_P(RegionsDocumentTest, OfARouteAreDecodedAndBindNoOther)
{
  const Result<GatewayConfig> config = Decode(GetParam().mField, nullptr);
  ASSERT_TRUE(config.has_value()) << config.error().mDetail;
  const GatewayConfig& value = config.value();
  EXPECT_EQ(value.mVersion, 7U);
  ASSERT_EQ(value.mRoutes.size(), 2U);
  EXPECT_EQ(value.mRoutes[0].mRegions, Expected(GetParam().mForm));
  EXPECT_EQ(value.mRoutes[1].mRegions, AllowedRegions::Everywhere());
  ASSERT_EQ(value.mWorkspaces.size(), 2U);
  EXPECT_EQ(value.mWorkspaces[0].mRegions, AllowedRegions::Everywhere());
  EXPECT_EQ(value.mWorkspaces[1].mRegions, AllowedRegions::Everywhere());
}

// The same for the restriction of a tenant.
TEST_P(RegionsDocumentTest, OfATenantAreDecodedAndBindNoOther)
{
  const Result<GatewayConfig> config = Decode(nullptr, GetParam().mField);
  ASSERT_TRUE(config.has_value()) << config.error().mDetail;
  const GatewayConfig& value = config.value();
  ASSERT_EQ(value.mWorkspaces.size(), 2U);
  EXPECT_EQ(value.mWorkspaces[0].mRegions, Expected(GetParam().mForm));
  EXPECT_EQ(value.mWorkspaces[0].mKeys, std::vector<std::string>{ "k" });
  EXPECT_EQ(value.mWorkspaces[1].mRegions, AllowedRegions::Everywhere());
  ASSERT_EQ(value.mRoutes.size(), 2U);
  EXPECT_EQ(value.mRoutes[0].mRegions, AllowedRegions::Everywhere());
  EXPECT_EQ(value.mRoutes[1].mRegions, AllowedRegions::Everywhere());
}

} // namespace cactusgw::platform::test
