#ifndef CACTUSGW_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP
#define CACTUSGW_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP

/// A gateway in the test's own process, between callers and upstreams whose
/// bytes the test writes.

#include "cactusgw/gateway/gateway.hpp"
#include "cactusgw/net/http_connection.hpp"
#include "scripted_upstream.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw::test {

class GatewayTest : public ::testing::Test
{
protected:
  static constexpr const char* kSealed = "Seal: s\r\n";

  GatewayTest();

  /// Starts a gateway that knows nothing yet; null when it can't listen.
  std::unique_ptr<Gateway> MakeGateway(const GatewaySettings& aSettings);
  /// Starts the gateway with the standard configuration.
  void StartGateway();
  GatewayConfig StandardConfig() const;
  ScriptedUpstream& AddUpstream(const std::string& aId,
                                const std::string& aService,
                                Script aScript);
  /// Tells the gateway that an upstream leaves.
  void Drain(const std::string& aId);

  /// Runs a coroutine on the gateway's event loop until it ends.
  void Run(const std::function<Task<void>()>& aTest);

  /// A caller's request with a valid key.
  HttpRequest MakeRequest(http::verb aVerb, const std::string& aTarget) const;
  /// Sends it on a new connection and reads the whole answer; a broken answer
  /// has mIsWhole false.
  struct ClientResponse
  {
    unsigned mStatus = 0;
    std::string mBody;
    std::string mRetryAfter;
    std::string mSeal;
    bool mIsWhole = false;
  };
  Task<ClientResponse> Call(HttpRequest aRequest);

  std::string GatewayAddress() const { return mSettings.mListen; }

  net::io_context mContext{ 1 };
  GatewaySettings mSettings;
  GenerationControl mControl;
  /// Age of the configuration when the gateway starts.
  Milliseconds mConfigAge{ 0 };
  std::unique_ptr<Gateway> mGateway;
  std::vector<std::unique_ptr<ScriptedUpstream>> mUpstreams;
  std::vector<CopyOrder> mCopies;
  std::vector<std::string> mFreed;

private:
  std::vector<UpstreamRecord> mRecords;
};

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP
