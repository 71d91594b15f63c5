#ifndef CACTUSGW_MESSAGING_STREAM_MESSAGES_HPP
#define CACTUSGW_MESSAGING_STREAM_MESSAGES_HPP

/// Conversion between what gateways know of the begin of streams and messages.
/// Times are sent as ages, as gateways have no common clock.

#include "cactusgw/gateway/stream_origins.hpp"
#include "cactusgw/wire/cactusgw.pb.h"

namespace cactusgw {

void EncodeStreamOrigin(const StreamOrigin& aOrigin,
                        Instant aNow,
                        wire::StreamOrigin& aMessage);
StreamOrigin DecodeStreamOrigin(const wire::StreamOrigin& aMessage,
                                Instant aNow);

} // namespace cactusgw

#endif // CACTUSGW_MESSAGING_STREAM_MESSAGES_HPP
