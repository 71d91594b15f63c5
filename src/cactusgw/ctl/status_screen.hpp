#ifndef CACTUSGW_CTL_STATUS_SCREEN_HPP
#define CACTUSGW_CTL_STATUS_SCREEN_HPP

/// The screen of `cactusgwctl status`.

#include <boost/json/value.hpp>

#include <span>
#include <string>
#include <string_view>

namespace cactusgw {

/// What one agent said, or that it did not answer.
struct AgentStatus
{
  std::string mAddress;
  bool mAnswered = false;
  boost::json::value mStatus;
};

/// @param aText the answer; empty or malformed counts as none
AgentStatus ReadAgentStatus(std::string_view aAddress, std::string_view aText);

std::string WriteStatusScreen(std::span<const AgentStatus> aStatuses);

std::string WriteStatusJson(std::span<const AgentStatus> aStatuses);

} // namespace cactusgw

#endif // CACTUSGW_CTL_STATUS_SCREEN_HPP
