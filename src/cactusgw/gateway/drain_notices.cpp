#include "cactusgw/gateway/drain_notices.hpp"

namespace cactusgw {

void
DrainNotices::Add(DrainingUpstream aUpstream, Instant aNow)
{
  std::erase_if(mNotices,
                [&](const std::pair<DrainingUpstream, Instant>& aNotice) {
                  return aNow - aNotice.second >= kValidity ||
                         aNotice.first.mId == aUpstream.mId;
                });
  mNotices.emplace_back(std::move(aUpstream), aNow);
  ++mVersion;
}

std::vector<DrainingUpstream>
DrainNotices::Recent(Instant aNow) const
{
  std::vector<DrainingUpstream> recent;
  for (const auto& [upstream, receivedAt] : mNotices) {
    if (aNow - receivedAt < kValidity) {
      recent.push_back(upstream);
    }
  }
  return recent;
}

} // namespace cactusgw
