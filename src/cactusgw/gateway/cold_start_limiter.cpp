#include "cactusgw/gateway/cold_start_limiter.hpp"

#include <algorithm>

namespace cactusgw {

bool
ColdStartLimiter::Allows(std::string_view aUpstream,
                         std::uint32_t aShare,
                         Instant aNow) const
{
  const auto it = mSent.find(aUpstream);
  if (it == mSent.end()) {
    return aShare > 0;
  }
  const std::ptrdiff_t recent =
    std::count_if(it->second.begin(),
                  it->second.end(),
                  [&](const Instant& aSent) { return aNow - aSent < kWindow; });
  return recent < static_cast<std::ptrdiff_t>(aShare);
}

void
ColdStartLimiter::OnSent(std::string_view aUpstream, Instant aNow)
{
  std::deque<Instant>& sent = mSent[std::string{ aUpstream }];
  while (!sent.empty() && aNow - sent.front() >= kWindow) {
    sent.pop_front();
  }
  sent.push_back(aNow);
}

void
ColdStartLimiter::Forget(std::string_view aUpstream)
{
  const auto it = mSent.find(aUpstream);
  if (it != mSent.end()) {
    mSent.erase(it);
  }
}

} // namespace cactusgw
