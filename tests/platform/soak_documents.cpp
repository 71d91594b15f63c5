#include "soak_documents.hpp"

#include "platform/header_names.hpp"

namespace cactusgw::soak {

namespace {

const HeaderNames&
Names()
{
  static const HeaderNames names = platform::PlatformHeaderNames();
  return names;
}

std::string
Text(bool aValue)
{
  return aValue ? "true" : "false";
}

} // namespace

std::string
RouteText(const RouteDocument& aRoute)
{
  return R"({"name":")" + aRoute.mName +
         R"(","host":"site.example","pathPrefix":")" + aRoute.mPrefix +
         R"(","kind":")" + aRoute.mKind + R"(","timeoutMs":)" +
         std::to_string(aRoute.mTimeoutMs) + R"(,"targetLatencyMs":)" +
         std::to_string(aRoute.mTargetMs) + R"(,"priority":1,"service":")" +
         aRoute.mService + R"(","attempts":)" +
         std::to_string(aRoute.mAttempts) +
         R"(,"public":true,"stickySessions":false,"streamResumption":)" +
         Text(aRoute.mIsResumable) +
         R"(,"targetGapMs":180,"allowedRegions":[]})";
}

std::string
ServiceText(std::string_view aName)
{
  return R"({"name":")" + std::string{ aName } +
         R"(","healthCheckPath":"/health","maxConnections":302,)"
         R"("protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0})";
}

std::string
ConfigText(int aVersion, std::string_view aRoutes, std::string_view aServices)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         std::string{ aRoutes } + R"(],"services":[)" +
         std::string{ aServices } +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]})";
}

std::string
UpstreamText(std::string_view aService,
             std::string_view aAddress,
             std::string_view aState,
             std::int64_t aBorn,
             std::int64_t aSequence,
             std::string_view aVersion,
             int aSlots)
{
  return R"({"service":")" + std::string{ aService } + R"(","address":")" +
         std::string{ aAddress } + R"(","zone":"zone-a","version":")" +
         std::string{ aVersion } + R"(","slots":)" + std::to_string(aSlots) +
         R"(,"state":")" + std::string{ aState } +
         R"(","coldRemainingMs":0,"born":)" + std::to_string(aBorn) +
         R"(,"sequence":)" + std::to_string(aSequence) + "}";
}

std::string
ListText(std::string_view aItems, std::uint64_t aRevision)
{
  return R"({"items":[)" + std::string{ aItems } +
         R"(],"more":false,"storeRevision":)" + std::to_string(aRevision) + "}";
}

std::string
WatchText(std::string_view aEvents, std::uint64_t aRevision)
{
  return R"({"events":[)" + std::string{ aEvents } + R"(],"storeRevision":)" +
         std::to_string(aRevision) + "}";
}

std::string
RequestHeader(std::string_view aId, long aBudgetMs)
{
  return Names().mRequestId + ": " + std::string{ aId } + "\r\n" +
         Names().mRemainingTime + ": " + std::to_string(aBudgetMs) + "\r\n";
}

std::string
AnswerHeader(std::string_view aId, int aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + Names().mRequestId +
         ": " + std::string{ aId } + "\r\n" + Names().mSeal + ": " +
         SealOf(aId) + "\r\n";
}

std::string
RefusalText(std::string_view aId, int aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + Names().mRequestId +
         ": " + std::string{ aId } + "\r\n" + Names().mNotRun +
         ": 1\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n";
}

std::string
BrittleHeader(int aBearable)
{
  return Names().mBrittle + ": " + std::to_string(aBearable) + "\r\n";
}

std::string
ReportText(std::int64_t aBorn)
{
  const std::string body =
    R"({"stage":"combined","busy":false,"born":)" + std::to_string(aBorn) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string
SealOf(std::string_view aId)
{
  return "seal-" + std::string{ aId };
}

const std::string&
RequestIdName()
{
  return Names().mRequestId;
}

const std::string&
SealName()
{
  return Names().mSeal;
}

const std::string&
ExpectedUpstreamName()
{
  return Names().mExpectedUpstream;
}

} // namespace cactusgw::soak
