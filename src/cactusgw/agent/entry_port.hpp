#ifndef CACTUSGW_AGENT_ENTRY_PORT_HPP
#define CACTUSGW_AGENT_ENTRY_PORT_HPP

/// Messages between an agent and the entry of the same VM.

#include "cactusgw/agent/agent_state.hpp"
#include "cactusgw/agent/key_claims.hpp"
#include "cactusgw/messaging/envelope.hpp"
#include "cactusgw/messaging/message_socket.hpp"
#include "cactusgw/platform/http_platform_client.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class EntryPort
{
public:
  /// @param aOnDemand called when a request waits for a credit, so that owners
  ///        can be asked at once
  static Result<std::unique_ptr<EntryPort>> Listen(
    zmq::context_t& aZmq,
    boost::asio::io_context& aContext,
    AgentState& aState,
    HttpPlatformClient& aPlatform,
    std::function<void()> aOnDemand);

  /// Sends decisions on requests that were waiting.
  void SendDecisions(const AdmissionControl::Decisions& aDecisions);

  /// When the entry was last heard.
  Instant HeardAt() const { return mHeardAt; }

private:
  EntryPort(boost::asio::io_context& aContext,
            AgentState& aState,
            HttpPlatformClient& aPlatform,
            std::function<void()> aOnDemand);

  void OnMessage(std::string_view aIdentity, std::string_view aPayload);
  void OnHello(const wire::Envelope& aEnvelope, Instant aNow);
  void OnAdmit(const wire::AdmitRequest& aRequest, Instant aNow);
  void OnRelease(const wire::ReleasePermit& aRelease, Instant aNow);
  boost::asio::awaitable<void> RunClaim(wire::KeyClaim aClaim);
  boost::asio::awaitable<void> RunFinish(wire::KeyResult aResult);
  /// Sends what the entry should know, with the configuration when the entry's
  /// is older.
  void SendState(Instant aNow);
  void Send(wire::Envelope& aEnvelope);

  boost::asio::io_context& mContext;
  AgentState& mState;
  EnvelopeCodec mCodec;
  KeyClaims<HttpPlatformClient> mClaims;
  std::function<void()> mOnDemand;
  PartLog mLog;
  std::unique_ptr<MessageSocket> mSocket;
  /// Routing identity of the entry, as it last introduced itself.
  std::string mIdentity;
  std::uint64_t mEntryIncarnation = 0;
  /// Revision of the configuration that the entry holds or was sent.
  std::uint64_t mEntryRevision = 0;
  Instant mHeardAt;
};

} // namespace cactusgw

#endif // CACTUSGW_AGENT_ENTRY_PORT_HPP
