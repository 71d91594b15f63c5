#include "cactusgw/ctl/status_screen.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <sstream>

namespace cactusgw {

namespace json = boost::json;

namespace {

constexpr int kNameWidth = 20;
constexpr int kShortWidth = 10;

const json::value*
Find(const json::value& aStatus, std::string_view aName)
{
  const json::object* object = aStatus.if_object();
  return object == nullptr ? nullptr : object->if_contains(aName);
}

std::string
Text(const json::value& aStatus, std::string_view aName)
{
  const json::value* value = Find(aStatus, aName);
  if (value == nullptr) {
    return "-";
  }
  return value->is_string() ? std::string{ value->get_string() }
                            : json::serialize(*value);
}

bool
IsTrue(const json::value& aStatus, std::string_view aName)
{
  const json::value* value = Find(aStatus, aName);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::uint64_t
Revision(const json::value& aStatus)
{
  const json::value* value = Find(aStatus, "configRevision");
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

std::uint64_t
HighestRevision(std::span<const AgentStatus> aStatuses)
{
  std::uint64_t highest = 0;
  for (const AgentStatus& status : aStatuses) {
    if (status.mAnswered) {
      highest = std::max(highest, Revision(status.mStatus));
    }
  }
  return highest;
}

std::string
RoleOf(const json::value& aStatus)
{
  if (IsTrue(aStatus, "leaseExtended")) {
    return "holder*";
  }
  if (IsTrue(aStatus, "holdsLease")) {
    return "holder";
  }
  return IsTrue(aStatus, "actsAsOwner") ? "owner" : "-";
}

void
WriteVm(const AgentStatus& aStatus,
        std::uint64_t aHighest,
        std::ostringstream& aOut)
{
  if (!aStatus.mAnswered) {
    aOut << std::left << std::setw(kNameWidth) << aStatus.mAddress
         << "does not answer\n";
    return;
  }
  const json::value& status = aStatus.mStatus;
  const bool isBehind = Revision(status) < aHighest;
  aOut << std::left << std::setw(kNameWidth) << Text(status, "vm")
       << std::setw(kNameWidth) << Text(status, "dataCentre")
       << std::setw(kShortWidth) << RoleOf(status) << std::setw(kShortWidth)
       << Text(status, "configRevision") << std::setw(kShortWidth)
       << (IsTrue(status, "platformReachable") ? "yes" : "no")
       << std::setw(kShortWidth) << Text(status, "queue")
       << (isBehind ? "BEHIND" : "") << '\n';
}

void
WriteOwned(const json::value& aUpstream, std::ostringstream& aOut)
{
  aOut << std::left << std::setw(kNameWidth) << Text(aUpstream, "name")
       << std::setw(kNameWidth) << Text(aUpstream, "dataCentre")
       << std::setw(kShortWidth) << Text(aUpstream, "state")
       << std::setw(kShortWidth) << Text(aUpstream, "limit")
       << std::setw(kShortWidth) << Text(aUpstream, "running")
       << std::setw(kShortWidth) << Text(aUpstream, "reserved")
       << Text(aUpstream, "owner") << '\n';
}

void
WriteUpstreams(std::span<const AgentStatus> aStatuses, std::ostringstream& aOut)
{
  for (const AgentStatus& status : aStatuses) {
    const json::value* upstreams = Find(status.mStatus, "upstreams");
    if (upstreams == nullptr || !upstreams->is_array()) {
      continue;
    }
    for (const json::value& upstream : upstreams->get_array()) {
      if (Find(upstream, "limit") != nullptr) {
        WriteOwned(upstream, aOut);
      }
    }
  }
}

void
WriteDrains(std::span<const AgentStatus> aStatuses, std::ostringstream& aOut)
{
  for (const AgentStatus& status : aStatuses) {
    const json::value* drains = Find(status.mStatus, "drains");
    if (drains == nullptr || !drains->is_array()) {
      continue;
    }
    for (const json::value& drain : drains->get_array()) {
      if (IsTrue(drain, "drained")) {
        aOut << Text(status.mStatus, "vm") << " knows "
             << Text(drain, "dataCentre") << " as drained (version "
             << Text(drain, "version") << ")\n";
      }
    }
  }
}

} // namespace

AgentStatus
ReadAgentStatus(std::string_view aAddress, std::string_view aText)
{
  AgentStatus status;
  status.mAddress = aAddress;
  json::error_code ec;
  status.mStatus = json::parse({ aText.data(), aText.size() }, ec);
  status.mAnswered = !ec && status.mStatus.is_object();
  return status;
}

std::string
WriteStatusScreen(std::span<const AgentStatus> aStatuses)
{
  std::ostringstream out;
  const std::uint64_t highest = HighestRevision(aStatuses);
  out << "configuration revision " << highest << "\n\n";
  out << std::left << std::setw(kNameWidth) << "VM" << std::setw(kNameWidth)
      << "DATA CENTRE" << std::setw(kShortWidth) << "ROLE"
      << std::setw(kShortWidth) << "REVISION" << std::setw(kShortWidth)
      << "PLATFORM" << std::setw(kShortWidth) << "QUEUE" << '\n';
  for (const AgentStatus& status : aStatuses) {
    WriteVm(status, highest, out);
  }
  out << '\n'
      << std::setw(kNameWidth) << "UPSTREAM" << std::setw(kNameWidth)
      << "DATA CENTRE" << std::setw(kShortWidth) << "STATE"
      << std::setw(kShortWidth) << "LIMIT" << std::setw(kShortWidth)
      << "RUNNING" << std::setw(kShortWidth) << "RESERVED"
      << "OWNER" << '\n';
  WriteUpstreams(aStatuses, out);
  WriteDrains(aStatuses, out);
  return out.str();
}

std::string
WriteStatusJson(std::span<const AgentStatus> aStatuses)
{
  json::array list;
  for (const AgentStatus& status : aStatuses) {
    list.push_back(json::object{ { "address", status.mAddress },
                                 { "answered", status.mAnswered },
                                 { "status", status.mStatus } });
  }
  return json::serialize(list) + "\n";
}

} // namespace cactusgw
