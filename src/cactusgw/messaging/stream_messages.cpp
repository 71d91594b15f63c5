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

void
EncodeVersionHistory(const VersionHistory& aHistory,
                     Instant aNow,
                     wire::VersionHistory& aMessage)
{
  aMessage.set_service(aHistory.mService);
  aMessage.set_complete_age_ms(EncodeAge(aHistory.mCompleteFrom, aNow));
  for (const auto& [version, seenAt] : aHistory.mSeenAt) {
    wire::SeenVersion* const entry = aMessage.add_versions();
    entry->set_version(version);
    entry->set_age_ms(EncodeAge(seenAt, aNow));
  }
}

VersionHistory
DecodeVersionHistory(const wire::VersionHistory& aMessage, Instant aNow)
{
  VersionHistory history;
  history.mService = aMessage.service();
  history.mCompleteFrom = aNow - DecodeAge(aMessage.complete_age_ms());
  for (const wire::SeenVersion& entry : aMessage.versions()) {
    history.mSeenAt[entry.version()] = aNow - DecodeAge(entry.age_ms());
  }
  return history;
}

} // namespace cactusgw
