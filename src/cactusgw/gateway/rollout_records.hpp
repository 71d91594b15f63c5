#ifndef CACTUSGW_GATEWAY_ROLLOUT_RECORDS_HPP
#define CACTUSGW_GATEWAY_ROLLOUT_RECORDS_HPP

/// How the stages of roll-outs are written into the platform's store.

#include "cactusgw/rollout/rollout_control.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace cactusgw {

struct RolloutRecords
{
  /// Stores a stage if the order is still at the edit's revision. Errors:
  /// Conflict, StoreUnavailable.
  std::function<boost::asio::awaitable<Result<void>>(RolloutEdit)> mWrite;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_ROLLOUT_RECORDS_HPP
