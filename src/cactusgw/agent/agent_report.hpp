#ifndef CACTUSGW_AGENT_AGENT_REPORT_HPP
#define CACTUSGW_AGENT_AGENT_REPORT_HPP

/// What an agent shows to operators.

#include "cactusgw/core/verdict.hpp"

#include <string>

namespace cactusgw {

class AgentState;
class PeerPort;
struct PlatformCallCounts;

/// Metrics as Prometheus text.
std::string WriteAgentMetrics(const AgentState& aState,
                              const PeerPort& aPeers,
                              const PlatformCallCounts& aCalls,
                              Instant aNow);

/// The agent's view of its data centre as JSON.
std::string WriteAgentStatus(const AgentState& aState, Instant aNow);

} // namespace cactusgw

#endif // CACTUSGW_AGENT_AGENT_REPORT_HPP
