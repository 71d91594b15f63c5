#include "cactusgw/gateway/leaving_news.hpp"

namespace cactusgw {

void
LeavingNews::Add(LeavingUpstream aUpstream, Instant aNow)
{
  std::erase_if(mNews, [&](const std::pair<LeavingUpstream, Instant>& aNews) {
    return aNow - aNews.second >= kValidity || aNews.first.mId == aUpstream.mId;
  });
  mNews.emplace_back(std::move(aUpstream), aNow);
  ++mVersion;
}

std::vector<LeavingUpstream>
LeavingNews::Recent(Instant aNow) const
{
  std::vector<LeavingUpstream> recent;
  for (const auto& [upstream, heard] : mNews) {
    if (aNow - heard < kValidity) {
      recent.push_back(upstream);
    }
  }
  return recent;
}

} // namespace cactusgw
