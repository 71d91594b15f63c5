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

/// Ages of the configuration with limits of 4500 ms, and of 3600 ms while a
/// newer version is known.
class OutdatedVersionTest : public ::testing::Test
{
protected:
  OutdatedVersionTest()
    : mFreshness(StoreFreshness::Create(Milliseconds{ 4500 }))
  {
    mFreshness.SetOutdatedLimit(Milliseconds{ 3600 });
    mFreshness.OnRead(13);
    mFreshness.OnOwnVersion(13);
    mFreshness.OnConfirmed(kStart);
  }

  static BootTime After(std::int64_t aMs)
  {
    return kStart + Milliseconds{ aMs };
  }

  static constexpr BootTime kStart{ std::chrono::hours{ 1 } };
  StoreFreshness mFreshness;
};

TEST_F(OutdatedVersionTest, ALostStoreLeavesTheWholeLimit)
{
  EXPECT_TRUE(mFreshness.IsFresh(After(4400)));
  EXPECT_FALSE(mFreshness.IsFresh(After(4500)));
}

// Guards against requests that are served by an older version after the time in
// which a newer one has to be in force.
TEST_F(OutdatedVersionTest, AKnownNewerVersionHasToBeInForceInTime)
{
  mFreshness.OnApplied(15);
  EXPECT_TRUE(mFreshness.IsFresh(After(3500)));
  EXPECT_FALSE(mFreshness.IsFresh(After(3600)));
  mFreshness.OnRead(15);
  mFreshness.OnOwnVersion(15);
  mFreshness.OnConfirmed(After(3600));
  EXPECT_TRUE(mFreshness.IsFresh(After(8000)));
}

TEST_F(OutdatedVersionTest, AKnownNewerVersionIsNotConfirmedByAnOlderOne)
{
  mFreshness.OnApplied(15);
  mFreshness.OnConfirmed(After(2000));
  EXPECT_EQ(mFreshness.Age(After(2000)), Milliseconds{ 2000 });
}

TEST_F(OutdatedVersionTest, AContactWhileReceivingConfirmsNothing)
{
  mFreshness.OnContact(After(2000));
  EXPECT_TRUE(mFreshness.HasContact(Milliseconds{ 500 }, After(2400)));
  EXPECT_EQ(mFreshness.Age(After(2400)), Milliseconds{ 2400 });
}

} // namespace cactusgw::test
