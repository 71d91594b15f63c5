#ifndef CACTUSGW_ENTRY_ENTRY_HPP
#define CACTUSGW_ENTRY_ENTRY_HPP

/// The entry of a VM: serves callers.

#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/core/byte_budget.hpp"
#include "cactusgw/entry/agent_link.hpp"
#include "cactusgw/entry/entry_context.hpp"
#include "cactusgw/entry/entry_metrics.hpp"
#include "cactusgw/entry/model_request.hpp"
#include "cactusgw/entry/plain_call.hpp"
#include "cactusgw/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class Entry
{
public:
  /// Starts to listen and to serve. Errors: InvalidInput.
  static Result<std::unique_ptr<Entry>> Start(boost::asio::io_context& aContext,
                                              EntrySettings aSettings);

  /// Turns unready at once, goes on accepting until the balancer has noticed,
  /// finishes what is in progress, and then calls the function.
  void Stop(std::function<void()> aOnStopped);

private:
  Entry(boost::asio::io_context& aContext, EntrySettings aSettings);
  Result<void> Listen();
  HttpServerLimits Limits() const;
  /// Counts and logs a request that does not fit into the memory.
  void ReportRefusal(const Failure& aFailure);
  Task<void> HandleCaller(HttpExchange& aExchange);
  Task<void> Route(HttpExchange& aExchange, const RequestScope& aScope);
  Result<RequestScope> Recognise(const HttpExchange& aExchange);
  Task<void> ServeModels(HttpExchange& aExchange, const RequestScope& aScope);
  Task<void> ServeModelCall(HttpExchange& aExchange,
                            RequestScope aScope,
                            ModelApi aApi);
  Task<void> ServePlain(HttpExchange& aExchange, RequestScope aScope);
  Task<void> HandleOperator(HttpExchange& aExchange);
  Task<void> FinishInProgress(std::function<void()> aOnStopped);
  bool IsReady() const;
  std::string WriteStatus() const;
  std::string NewRequestId();

  boost::asio::io_context& mContext;
  EntrySettings mSettings;
  /// Bounds the bodies of requests in progress together.
  std::shared_ptr<ByteBudget> mMemory;
  zmq::context_t mZmq;
  EventRecorder mRecorder;
  EntryMetrics mMetrics;
  std::unique_ptr<AgentLink> mLink;
  std::unique_ptr<EntryContext> mShared;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mOperator;
  PartLog mLog;
  std::uint64_t mIncarnation;
  std::uint64_t mNextRequest = 0;
  bool mStopping = false;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_ENTRY_HPP
