#ifndef CACTUSGW_GATEWAY_SUSPICION_SENDER_HPP
#define CACTUSGW_GATEWAY_SUSPICION_SENDER_HPP

/// Decides which suspicions of requests another gateway is sent.

#include "cactusgw/core/request_crashes.hpp"
#include "cactusgw/gateway/change_sender.hpp"

namespace cactusgw {

using SuspicionSender = ChangeSender<RequestCrashes>;

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_SUSPICION_SENDER_HPP
