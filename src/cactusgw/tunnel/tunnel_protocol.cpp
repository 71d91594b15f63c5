#include "cactusgw/tunnel/tunnel_protocol.hpp"

#include <boost/beast/http/field.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace cactusgw {

namespace {

constexpr int kHttpVersion = 11;
constexpr const char* kOpenTarget = "/tunnel";
constexpr const char* kEndTarget = "/tunnel-end";
constexpr const char* kProtocol = "cactusgw-tunnel";
constexpr const char* kFromField = "Cactusgw-Vm";
constexpr const char* kTokenField = "Cactusgw-Tunnel";
constexpr const char* kUpstreamField = "Cactusgw-Upstream";
constexpr const char* kStartedField = "Cactusgw-Upstream-Started";
constexpr std::string_view kClosedByUpstream = "upstream";
constexpr std::string_view kClosedByCarrier = "carrier";

std::string
FieldOf(const TunnelHeader& aHeader, const char* aName)
{
  const beast::string_view value = aHeader[aName];
  return { value.data(), value.size() };
}

} // namespace

TunnelHeader
MakeTunnelHeader(TunnelCall aCall, const TunnelRequest& aRequest)
{
  const bool isOpen = aCall == TunnelCall::Open;
  TunnelHeader header{ http::verb::get,
                       isOpen ? kOpenTarget : kEndTarget,
                       kHttpVersion };
  header.set(http::field::host, "tunnel");
  if (isOpen) {
    header.set(http::field::connection, "Upgrade");
    header.set(http::field::upgrade, kProtocol);
  }
  header.set(kFromField, aRequest.mFrom);
  header.set(kTokenField, aRequest.mToken);
  header.set(kUpstreamField, aRequest.mUpstream.mId);
  header.set(kStartedField, std::to_string(aRequest.mUpstream.mStartedMs));
  return header;
}

std::optional<TunnelCall>
CallOf(const TunnelHeader& aHeader)
{
  if (aHeader.method() != http::verb::get) {
    return std::nullopt;
  }
  if (aHeader.target() == kEndTarget) {
    return TunnelCall::AskForEnd;
  }
  const bool opens = aHeader.target() == kOpenTarget &&
                     aHeader[http::field::upgrade] == kProtocol;
  return opens ? std::optional{ TunnelCall::Open } : std::nullopt;
}

std::optional<TunnelRequest>
ReadTunnelRequest(const TunnelHeader& aHeader)
{
  TunnelRequest request;
  request.mFrom = FieldOf(aHeader, kFromField);
  request.mToken = FieldOf(aHeader, kTokenField);
  request.mUpstream.mId = FieldOf(aHeader, kUpstreamField);
  const std::string started = FieldOf(aHeader, kStartedField);
  const char* const end = started.data() + started.size();
  const std::from_chars_result read =
    std::from_chars(started.data(), end, request.mUpstream.mStartedMs);
  const bool isWhole = read.ec == std::errc{} && read.ptr == end &&
                       !request.mFrom.empty() && !request.mToken.empty() &&
                       !request.mUpstream.mId.empty();
  return isWhole ? std::optional{ std::move(request) } : std::nullopt;
}

http::status
StatusOf(TunnelFailure aFailure)
{
  switch (aFailure) {
    case TunnelFailure::UpstreamUnknown:
      return http::status::not_found;
    case TunnelFailure::UpstreamUnreachable:
      return http::status::bad_gateway;
    case TunnelFailure::CarrierRefused:
    case TunnelFailure::CarrierUnreachable:
      break;
  }
  return http::status::service_unavailable;
}

TunnelFailure
FailureOf(http::status aStatus)
{
  switch (aStatus) {
    case http::status::not_found:
      return TunnelFailure::UpstreamUnknown;
    case http::status::bad_gateway:
      return TunnelFailure::UpstreamUnreachable;
    case http::status::forbidden:
    case http::status::service_unavailable:
      return TunnelFailure::CarrierRefused;
    default:
      return TunnelFailure::CarrierUnreachable;
  }
}

std::string_view
TextOf(TunnelEnd aEnd)
{
  switch (aEnd) {
    case TunnelEnd::ClosedByUpstream:
      return kClosedByUpstream;
    case TunnelEnd::ClosedByCarrier:
      return kClosedByCarrier;
    case TunnelEnd::Unknown:
      break;
  }
  return "unknown";
}

TunnelEnd
ReadTunnelEnd(std::string_view aText)
{
  if (aText == kClosedByUpstream) {
    return TunnelEnd::ClosedByUpstream;
  }
  return aText == kClosedByCarrier ? TunnelEnd::ClosedByCarrier
                                   : TunnelEnd::Unknown;
}

} // namespace cactusgw
