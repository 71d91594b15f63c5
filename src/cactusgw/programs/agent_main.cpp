#include "cactusgw/agent/agent.hpp"
#include "cactusgw/programs/daemon_main.hpp"

/// The binary cactusgw-agent.
int
main(int aArgc, char** aArgv)
{
  using namespace cactusgw;
  return DaemonMain<Agent, AgentSettings>(
    "cactusgw-agent", &ReadAgentSettings, aArgc, aArgv);
}
