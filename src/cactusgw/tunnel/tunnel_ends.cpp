#include "cactusgw/tunnel/tunnel_ends.hpp"

#include <algorithm>

namespace cactusgw {

void
TunnelEnds::Remember(const TunnelRequest& aRequest,
                     TunnelEnd aEnd,
                     Instant aNow)
{
  while (!mEnds.empty() &&
         (mEnds.size() >= kMaxEnds || aNow - mEnds.front().mAt > kMemoryTime)) {
    mEnds.pop_front();
  }
  mEnds.push_back({ aRequest.mFrom, aRequest.mToken, aEnd, aNow });
}

TunnelEnd
TunnelEnds::EndOf(const TunnelRequest& aRequest, Instant aNow) const
{
  const auto it = std::ranges::find_if(mEnds, [&](const Ended& aEnded) {
    return aEnded.mFrom == aRequest.mFrom && aEnded.mToken == aRequest.mToken &&
           aNow - aEnded.mAt <= kMemoryTime;
  });
  return it != mEnds.end() ? it->mEnd : TunnelEnd::Unknown;
}

} // namespace cactusgw
