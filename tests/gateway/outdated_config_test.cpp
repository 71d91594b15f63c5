#include "gateway_fixture.hpp"

namespace cactusgw::test {

/// A gateway whose configuration is too old to decide by.
class OutdatedConfigTest : public GatewayTest
{
protected:
  OutdatedConfigTest()
  {
    mConfigAge = mSettings.mBounds.mKeyFreshness;
    StartGateway();
  }

  unsigned StatusOf(const std::string& aTarget, const std::string& aKey)
  {
    unsigned status = 0;
    Run([&]() -> Task<void> {
      HttpRequest request = MakeRequest(http::verb::get, aTarget);
      request.set(http::field::authorization, "Bearer " + aKey);
      status = (co_await Call(std::move(request))).mStatus;
    });
    return status;
  }
};

// Guards against 404 for a route that only a newer version has.
TEST_F(OutdatedConfigTest, AnUnknownRouteIsNotDenied)
{
  EXPECT_EQ(StatusOf("/unknown/", "key"), 503U);
}

// Guards against 401 for a key that only a newer version has.
TEST_F(OutdatedConfigTest, AnUnknownKeyIsNotDenied)
{
  EXPECT_EQ(StatusOf("/read/", "unknown"), 503U);
}

} // namespace cactusgw::test
