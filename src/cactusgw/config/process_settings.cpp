#include "cactusgw/config/process_settings.hpp"

#include "cactusgw/config/object_reader.hpp"

#include <boost/json/value.hpp>

#include <array>

namespace cactusgw {

namespace {

constexpr std::array<std::string_view, 4> kLogLevels{ "debug",
                                                      "info",
                                                      "warn",
                                                      "error" };
constexpr IntegerRange kTimeRange{ 10, 3'600'000 };
constexpr NumberRange kMemoryRange{ 1, 1e7 };

Milliseconds
TimeOr(ObjectReader& aReader, std::string_view aStem, std::int64_t aDefault)
{
  return aReader.DurationOr(aStem, kTimeRange, Milliseconds{ aDefault });
}

PlaceSettings
ReadPlace(ObjectReader& aReader)
{
  PlaceSettings place;
  place.mVm = aReader.String("vm");
  place.mDataCentre = aReader.String("dataCentre");
  return place;
}

OperatorSettings
ReadOperator(ObjectReader& aReader)
{
  OperatorSettings settings;
  if (!aReader.Has("operator")) {
    aReader.Fault("operator", "is missing");
  }
  aReader.ObjectOr("operator", [&](ObjectReader& aMember) {
    settings.mListen = aMember.Address("listen");
    settings.mToken = aMember.String("token");
  });
  return settings;
}

LogSettings
ReadLog(ObjectReader& aReader, std::string_view aDefaultOutput = "stderr")
{
  LogSettings settings;
  settings.mOutput = aDefaultOutput;
  aReader.ObjectOr("log", [&](ObjectReader& aMember) {
    settings.mLevel = aMember.OneOf("level", kLogLevels, "info");
    settings.mOutput = aMember.StringOr("output", aDefaultOutput);
  });
  return settings;
}

/// An object whose members are data centres, each with its region.
RegionMap
ReadRegions(ObjectReader& aReader)
{
  RegionMap regions;
  aReader.ObjectOr("regions", [&](ObjectReader& aMember) {
    for (const std::string& dataCentre : aMember.Names()) {
      regions[dataCentre] = aMember.String(dataCentre);
    }
  });
  return regions;
}

GatewayBounds
ReadGatewayBounds(ObjectReader& aReader)
{
  constexpr IntegerRange kFreshnessRange{ 0, 3'600'000 };
  constexpr NumberRange kCountRange{ 0, 1e6 };
  constexpr NumberRange kRatioRange{ 0, 100 };
  constexpr NumberRange kShareRange{ 0, 1 };
  GatewayBounds bounds;
  aReader.ObjectOr("bounds", [&](ObjectReader& aMember) {
    bounds.mKeyFreshness =
      aMember.DurationOr("keyFreshness", kFreshnessRange, Milliseconds{ 0 });
    bounds.mHomeFreshness =
      aMember.DurationOr("homeFreshness", kFreshnessRange, Milliseconds{ 0 });
    bounds.mRetryRatio = aMember.NumberOr("retryRatio", kRatioRange, 0.1);
    bounds.mRetryExtra = aMember.NumberOr("retryExtra", kCountRange, 10);
    bounds.mRetryWindow = TimeOr(aMember, "retryWindow", 10'000);
    bounds.mColdFactor = aMember.NumberOr("coldFactor", kRatioRange, 1);
    bounds.mColdExtra = aMember.NumberOr("coldExtra", kCountRange, 0);
    bounds.mExposureShare = aMember.NumberOr("exposureShare", kShareRange, 0);
    bounds.mExposureExtra = aMember.NumberOr("exposureExtra", kCountRange, 0);
  });
  return bounds;
}

std::vector<std::string>
ReadAddresses(ObjectReader& aReader, std::string_view aName)
{
  std::vector<std::string> addresses = aReader.StringsOr(aName);
  for (const std::string& address : addresses) {
    if (!IsAddress(address)) {
      aReader.Fault(aName, "\"" + address + "\" is not an IP address and port");
    }
  }
  return addresses;
}

CreditTimes
ReadCreditTimes(ObjectReader& aReader)
{
  CreditTimes times;
  aReader.ObjectOr("credits", [&](ObjectReader& aMember) {
    times.mGrantValidity = TimeOr(aMember, "validity", 3000);
    times.mGuard = TimeOr(aMember, "guard", 2000);
    times.mMaxRequestTime = TimeOr(aMember, "maxRequest", 600'000);
  });
  return times;
}

LeaseSettings
ReadLease(ObjectReader& aReader)
{
  LeaseSettings lease;
  aReader.ObjectOr("lease", [&](ObjectReader& aMember) {
    lease.mDuration = TimeOr(aMember, "duration", 10'000);
    lease.mRenewInterval = TimeOr(aMember, "renew", 3000);
    lease.mGuard = TimeOr(aMember, "guard", 1000);
    if (lease.mRenewInterval + lease.mGuard >= lease.mDuration) {
      aMember.Fault("renewMs", "must leave time within durationMs");
    }
  });
  return lease;
}

/// Parses, reads with the given function, and collects all faults.
template<typename Settings, typename ReadFunction>
SettingsResult<Settings>
ReadSettings(std::string_view aText, std::string_view aFile, ReadFunction aRead)
{
  ConfigFaults faults;
  FaultSink sink{ std::string{ aFile }, faults };
  const boost::json::value document = ParseJsonWithComments(aText, sink);
  if (!faults.empty()) {
    return faults;
  }
  ObjectReader reader{ document, "", sink };
  Settings settings = aRead(reader);
  reader.Finish();
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

} // namespace

SettingsResult<EntrySettings>
ReadEntrySettings(std::string_view aText, std::string_view aFile)
{
  return ReadSettings<EntrySettings>(aText, aFile, [](ObjectReader& aReader) {
    EntrySettings settings;
    settings.mPlace = ReadPlace(aReader);
    settings.mListen = aReader.Address("listen");
    settings.mAgent = aReader.Address("agent");
    settings.mOperator = ReadOperator(aReader);
    settings.mMemoryMb =
      aReader.NumberOr("memoryMb", kMemoryRange, settings.mMemoryMb);
    settings.mLog = ReadLog(aReader);
    settings.mUnreadyTime = TimeOr(aReader, "unready", 3000);
    settings.mStopTime = TimeOr(aReader, "stop", 620'000);
    return settings;
  });
}

SettingsResult<GatewaySettings>
ReadGatewaySettings(std::string_view aText, std::string_view aFile)
{
  return ReadSettings<GatewaySettings>(aText, aFile, [](ObjectReader& aReader) {
    constexpr NumberRange kCapacityRange{ 0, 1000 };
    constexpr NumberRange kLinkRange{ 0.1, 1e6 };
    GatewaySettings settings;
    settings.mPlace = ReadPlace(aReader);
    settings.mRegions = ReadRegions(aReader);
    if (settings.mRegions.count(settings.mPlace.mDataCentre) == 0) {
      aReader.Fault("regions", "does not hold this VM's data centre");
    }
    settings.mListen = aReader.Address("listen");
    settings.mReadyListen = aReader.Address("readyListen");
    settings.mMetricsListen = aReader.Address("metricsListen");
    settings.mPeerListen = aReader.Address("peerListen");
    settings.mTunnelListen = aReader.AddressOr("tunnelListen", "");
    settings.mPlatform = aReader.Address("platform");
    settings.mCapacity =
      aReader.NumberOr("capacity", kCapacityRange, settings.mCapacity);
    settings.mLinkMbps =
      aReader.NumberOr("linkMbps", kLinkRange, settings.mLinkMbps);
    settings.mMemoryMb =
      aReader.NumberOr("memoryMb", kMemoryRange, settings.mMemoryMb);
    settings.mBounds = ReadGatewayBounds(aReader);
    for (std::string& feature : aReader.StringsOr("features")) {
      settings.mFeatures.insert(std::move(feature));
    }
    settings.mLog = ReadLog(aReader, "stdout");
    // Has no effect any more; settings may still have it.
    static_cast<void>(aReader.BoolOr("firstStart", false));
    settings.mUnreadyTime = TimeOr(aReader, "unready", 3000);
    settings.mStopTime = TimeOr(aReader, "stop", 8000);
    return settings;
  });
}

SettingsResult<AgentSettings>
ReadAgentSettings(std::string_view aText, std::string_view aFile)
{
  return ReadSettings<AgentSettings>(aText, aFile, [](ObjectReader& aReader) {
    AgentSettings settings;
    settings.mPlace = ReadPlace(aReader);
    settings.mPlatform = aReader.Address("platform");
    settings.mEntryListen = aReader.Address("entryListen");
    settings.mPeerListen = aReader.Address("peerListen");
    settings.mSeeds = ReadAddresses(aReader, "seeds");
    settings.mOperator = ReadOperator(aReader);
    settings.mLog = ReadLog(aReader);
    settings.mCreditTimes = ReadCreditTimes(aReader);
    settings.mLease = ReadLease(aReader);
    settings.mHeartbeatEvery = TimeOr(aReader, "heartbeat", 1000);
    settings.mOwnershipValidity = TimeOr(aReader, "ownership", 4000);
    return settings;
  });
}

SettingsResult<ToolSettings>
ReadToolSettings(std::string_view aText, std::string_view aFile)
{
  return ReadSettings<ToolSettings>(aText, aFile, [](ObjectReader& aReader) {
    ToolSettings settings;
    settings.mPlatform = aReader.AddressOr("platform", "");
    settings.mOperators = ReadAddresses(aReader, "operators");
    settings.mToken = aReader.StringOr("token", "");
    return settings;
  });
}

} // namespace cactusgw
