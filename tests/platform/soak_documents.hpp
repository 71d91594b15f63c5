#ifndef CACTUSGW_TESTS_PLATFORM_SOAK_DOCUMENTS_HPP
#define CACTUSGW_TESTS_PLATFORM_SOAK_DOCUMENTS_HPP

/// Documents and header names of the platform, as the soak's stand-ins send
/// them.

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw::soak {

struct RouteDocument
{
  std::string mName;
  std::string mPrefix;
  std::string mKind;
  std::string mService;
  long mTimeoutMs = 2000;
  long mTargetMs = 250;
  int mAttempts = 1;
  bool mIsResumable = false;
};

std::string RouteText(const RouteDocument& aRoute);
std::string ServiceText(std::string_view aName);
std::string ConfigText(int aVersion,
                       std::string_view aRoutes,
                       std::string_view aServices);
std::string UpstreamText(std::string_view aService,
                         std::string_view aAddress,
                         std::string_view aState,
                         std::int64_t aBorn,
                         std::int64_t aSequence,
                         std::string_view aVersion = "v1",
                         int aSlots = 32);
/// The body of a complete list.
std::string ListText(std::string_view aItems, std::uint64_t aRevision);
std::string WatchText(std::string_view aEvents, std::uint64_t aRevision);

/// Header of a request from a client, without the empty line.
std::string RequestHeader(std::string_view aId, long aBudgetMs);
/// Header of an upstream's answer, without the fields of its length.
std::string AnswerHeader(std::string_view aId, int aStatus);
/// A whole answer of an upstream that hasn't run the request.
std::string RefusalText(std::string_view aId, int aStatus);

/// The line of the header by which an upstream says that it is brittle.
std::string BrittleHeader(int aBearable);

/// Where an upstream tells about itself, and the whole answer.
inline constexpr std::string_view kReportTarget = "/v1/report";
std::string ReportText(std::int64_t aBorn);

std::string SealOf(std::string_view aId);
const std::string& RequestIdName();
const std::string& SealName();
const std::string& ExpectedUpstreamName();

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_PLATFORM_SOAK_DOCUMENTS_HPP
