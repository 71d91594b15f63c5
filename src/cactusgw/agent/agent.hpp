#ifndef CACTUSGW_AGENT_AGENT_HPP
#define CACTUSGW_AGENT_AGENT_HPP

/// The agent of a VM: wires its parts to sockets and timers.

#include "cactusgw/agent/agent_state.hpp"
#include "cactusgw/agent/entry_port.hpp"
#include "cactusgw/agent/peer_port.hpp"
#include "cactusgw/agent/platform_sync.hpp"
#include "cactusgw/engine/http_engine_client.hpp"
#include "cactusgw/net/http_server.hpp"
#include "cactusgw/platform/http_platform_client.hpp"

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class Agent
{
public:
  /// Pause between two looks at timers of the core.
  static constexpr Milliseconds kTick{ 20 };
  /// Pause between two load reports of an owned upstream.
  static constexpr Milliseconds kLoadPause{ 1000 };
  /// The same while an upstream that may have restarted has not answered.
  static constexpr Milliseconds kAwaitedLoadPause{ 100 };
  /// Pause between two heartbeats to another data centre.
  static constexpr Milliseconds kRelayPause{ 5000 };

  /// Starts to listen and to run. Errors: InvalidInput.
  static Result<std::unique_ptr<Agent>> Start(boost::asio::io_context& aContext,
                                              AgentSettings aSettings);

  /// Hands over what the VM owns, and then calls the function.
  void Stop(std::function<void()> aOnStopped);

private:
  Agent(boost::asio::io_context& aContext, AgentSettings aSettings);
  Result<void> Listen();
  void StartLoops();
  bool OnTick();
  /// Takes the promises of the other VMs into account.
  void ExtendLease();
  bool OnHeartbeatTime();
  bool OnRelayTime();
  bool OnLoadTime();
  Task<void> PollLoad(std::string aUpstream, std::string aAddress);
  bool AwaitsLoad(const std::string& aUpstream) const;
  void StartPoll(const std::string& aUpstream, const std::string& aAddress);
  /// Holds a connection open to an owned upstream, to see it restart at once.
  Task<void> HoldConnection(std::string aUpstream, std::string aAddress);
  void OnConnectionLost(const std::string& aUpstream,
                        const std::string& aAddress);
  Task<void> HandOver(std::function<void()> aOnStopped);

  Task<void> HandleOperator(HttpExchange& aExchange);
  Task<void> HandleDrain(HttpExchange& aExchange);
  bool IsReady() const;
  std::string WriteMetrics() const;
  std::string WriteStatus() const;

  boost::asio::io_context& mContext;
  zmq::context_t mZmq;
  std::uint64_t mIncarnation;
  EventRecorder mRecorder;
  AgentState mState;
  HttpPlatformClient mPlatform;
  HttpEngineClient mEngines;
  std::unique_ptr<PeerPort> mPeers;
  std::unique_ptr<EntryPort> mEntry;
  std::unique_ptr<PlatformSync<HttpPlatformClient>> mSync;
  std::unique_ptr<HttpServer> mOperator;
  PartLog mLog;
  /// Upstreams whose load is being asked for.
  std::set<std::string, std::less<>> mPolling;
  /// Upstreams to which a connection is held open.
  std::set<std::string, std::less<>> mHeld;
};

} // namespace cactusgw

#endif // CACTUSGW_AGENT_AGENT_HPP
