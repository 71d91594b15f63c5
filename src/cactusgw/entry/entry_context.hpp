#ifndef CACTUSGW_ENTRY_ENTRY_CONTEXT_HPP
#define CACTUSGW_ENTRY_ENTRY_CONTEXT_HPP

/// What the parts of an entry share.

#include "cactusgw/entry/agent_link.hpp"
#include "cactusgw/entry/entry_metrics.hpp"
#include "cactusgw/telemetry/log.hpp"
#include "cactusgw/telemetry/recorder.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace cactusgw {

struct EntryContext
{
  boost::asio::io_context& mContext;
  AgentLink& mLink;
  EntryMetrics& mMetrics;
  EventRecorder& mRecorder;
  PartLog mLog{ "entry" };
};

/// One request after its caller was recognised.
struct RequestScope
{
  std::string mRequestId;
  std::string mWorkspace;
  std::uint32_t mPriority = 0;
  /// Empty when the caller sent none.
  std::string mIdempotencyKey;
  /// The configuration at the start of the request, used throughout. Only the
  /// homes are checked against the newest one, at each send.
  std::shared_ptr<const Deployment> mDeployment;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_ENTRY_CONTEXT_HPP
