#include "cactusgw/messaging/stream_messages.hpp"

#include "cactusgw/messaging/crash_messages.hpp"

namespace cactusgw {

void
EncodeStreamOrigin(const StreamOrigin& aOrigin,
                   Instant aNow,
                   wire::StreamOrigin& aMessage)
{
  aMessage.set_request(aOrigin.mRequest);
  aMessage.set_version(aOrigin.mVersion);
  aMessage.set_age_ms(EncodeAge(aOrigin.mBegunAt, aNow));
}

StreamOrigin
DecodeStreamOrigin(const wire::StreamOrigin& aMessage, Instant aNow)
{
  return { aMessage.request(),
           aMessage.version(),
           aNow - DecodeAge(aMessage.age_ms()) };
}

} // namespace cactusgw
