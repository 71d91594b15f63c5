/// Settings of a gateway, whose numbers come from the platform: whole numbers,
/// fractions and absent values must all start a gateway, and values without a
/// meaning must be refused by name.

#include "cactusgw/config/process_settings.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

namespace cactusgw::test {

namespace {

std::string
SettingsText(const std::string& aTop, const std::string& aBounds)
{
  return R"({ "vm": "v", "dataCentre": "a", "regions": { "a": "north" },
    "listen": "10.0.0.1:1", "readyListen": "10.0.0.1:2",
    "metricsListen": "10.0.0.1:3", "peerListen": "10.0.0.1:4",
    "platform": "10.0.0.2:5", )" +
         aTop + R"("bounds": { )" + aBounds + "} }";
}

/// A number of the settings.
struct NumberField
{
  const char* mName;
  bool mIsBound;
  std::function<double(const GatewaySettings&)> mRead;
  /// What the settings hold when 12.5 is given.
  double mOfFraction;
  double mDefault;
  bool mMayBeZero;
};

std::ostream&
operator<<(std::ostream& aOut, const NumberField& aField)
{
  return aOut << aField.mName;
}

double
Ms(Milliseconds aTime)
{
  return static_cast<double>(aTime.count());
}

const NumberField kFields[] = {
  { "retryExtra",
    true,
    [](const GatewaySettings& aSettings) {
      return aSettings.mBounds.mRetryExtra;
    },
    12.5,
    10,
    true },
  { "retryRatio",
    true,
    [](const GatewaySettings& aSettings) {
      return aSettings.mBounds.mRetryRatio;
    },
    12.5,
    0.1,
    true },
  { "retryWindowS",
    true,
    [](const GatewaySettings& aSettings) {
      return Ms(aSettings.mBounds.mRetryWindow);
    },
    12'500,
    10'000,
    false },
  { "retryWindowMs",
    true,
    [](const GatewaySettings& aSettings) {
      return Ms(aSettings.mBounds.mRetryWindow);
    },
    13,
    10'000,
    false },
  { "coldFactor",
    true,
    [](const GatewaySettings& aSettings) {
      return aSettings.mBounds.mColdFactor;
    },
    12.5,
    1,
    true },
  { "coldExtra",
    true,
    [](const GatewaySettings& aSettings) {
      return aSettings.mBounds.mColdExtra;
    },
    12.5,
    0,
    true },
  { "keyFreshnessMs",
    true,
    [](const GatewaySettings& aSettings) {
      return Ms(aSettings.mBounds.mKeyFreshness);
    },
    13,
    0,
    true },
  { "homeFreshnessMs",
    true,
    [](const GatewaySettings& aSettings) {
      return Ms(aSettings.mBounds.mHomeFreshness);
    },
    13,
    0,
    true },
  { "stopS",
    false,
    [](const GatewaySettings& aSettings) { return Ms(aSettings.mStopTime); },
    12'500,
    8000,
    false },
  { "stopMs",
    false,
    [](const GatewaySettings& aSettings) { return Ms(aSettings.mStopTime); },
    13,
    8000,
    false },
  { "unreadyMs",
    false,
    [](const GatewaySettings& aSettings) { return Ms(aSettings.mUnreadyTime); },
    13,
    3000,
    false },
  { "capacity",
    false,
    [](const GatewaySettings& aSettings) { return aSettings.mCapacity; },
    12.5,
    1,
    true },
  { "linkMbps",
    false,
    [](const GatewaySettings& aSettings) { return aSettings.mLinkMbps; },
    12.5,
    1000,
    false },
  { "memoryMb",
    false,
    [](const GatewaySettings& aSettings) { return aSettings.mMemoryMb; },
    12.5,
    100,
    false },
};

} // namespace

class GatewayNumberTest : public ::testing::TestWithParam<NumberField>
{
protected:
  static SettingsResult<GatewaySettings> Read(const std::string& aValue)
  {
    const NumberField& field = GetParam();
    const std::string member =
      aValue.empty()
        ? ""
        : "\"" + std::string{ field.mName } + "\": " + aValue + ", ";
    return ReadGatewaySettings(field.mIsBound ? SettingsText("", member)
                                              : SettingsText(member, ""),
                               "gateway.json");
  }

  static void ExpectValue(const std::string& aText, double aValue)
  {
    const SettingsResult<GatewaySettings> settings = Read(aText);
    ASSERT_TRUE(settings.has_value())
      << aText << ": " << ToString(settings.error());
    EXPECT_DOUBLE_EQ(GetParam().mRead(settings.value()), aValue) << aText;
  }

  static void ExpectRefused(const std::string& aText)
  {
    const SettingsResult<GatewaySettings> settings = Read(aText);
    ASSERT_FALSE(settings.has_value()) << aText;
    EXPECT_NE(ToString(settings.error()).find(GetParam().mName),
              std::string::npos)
      << ToString(settings.error());
  }
};

TEST_P(GatewayNumberTest, MayBeWholeOrAFraction)
{
  const double ofWhole =
    GetParam().mOfFraction >= 1000 ? 12'000 : 12; // Seconds or milliseconds.
  ExpectValue("12", ofWhole);
  ExpectValue("12.0", ofWhole);
  ExpectValue("1.2e1", ofWhole);
  ExpectValue("12.5", GetParam().mOfFraction);
}

TEST_P(GatewayNumberTest, HasADefault)
{
  ExpectValue("", GetParam().mDefault);
}

TEST_P(GatewayNumberTest, IsZeroOnlyWhereZeroMeansSomething)
{
  if (GetParam().mMayBeZero) {
    ExpectValue("0", 0);
    ExpectValue("0.0", 0);
  } else {
    ExpectRefused("0");
    ExpectRefused("0.0");
  }
}

TEST_P(GatewayNumberTest, IsRefusedWithoutAMeaning)
{
  for (const char* const text : { "-1",
                                  "-0.5",
                                  "1e18",
                                  "1e300",
                                  "99999999999999999999",
                                  "\"12\"",
                                  "true",
                                  "[12]",
                                  "{}",
                                  "null" }) {
    ExpectRefused(text);
  }
}

INSTANTIATE_TEST_SUITE_P(
  AllFields,
  GatewayNumberTest,
  ::testing::ValuesIn(kFields),
  [](const ::testing::TestParamInfo<NumberField>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

TEST(GatewaySettingsTest, RefuseOneDurationInTwoUnits)
{
  const SettingsResult<GatewaySettings> settings = ReadGatewaySettings(
    SettingsText(R"("stopS": 8, "stopMs": 8000, )", ""), "gateway.json");
  ASSERT_FALSE(settings.has_value());
  EXPECT_EQ(ToString(settings.error()),
            "gateway.json: /stopS: must not be given together with stopMs\n");
}

// A platform newer than the gateway may list features that it doesn't know.
TEST(GatewaySettingsTest, TakeFeaturesAlsoUnknownOnes)
{
  const SettingsResult<GatewaySettings> some = ReadGatewaySettings(
    SettingsText(R"("features": ["health", "later"], )", ""), "gateway.json");
  ASSERT_TRUE(some.has_value());
  EXPECT_TRUE(some.value().mFeatures.contains(kSharedHealthFeature));
  const SettingsResult<GatewaySettings> none =
    ReadGatewaySettings(SettingsText("", ""), "gateway.json");
  ASSERT_TRUE(none.has_value());
  EXPECT_TRUE(none.value().mFeatures.empty());
}

} // namespace cactusgw::test
