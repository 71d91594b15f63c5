#include "cactusgw/gateway/cold_gate.hpp"

#include <algorithm>

namespace cactusgw {

bool
ColdGate::Allows(std::string_view aUpstream,
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
ColdGate::OnSent(std::string_view aUpstream, Instant aNow)
{
  std::deque<Instant>& sent = mSent[std::string{ aUpstream }];
  while (!sent.empty() && aNow - sent.front() >= kWindow) {
    sent.pop_front();
  }
  sent.push_back(aNow);
}

void
ColdGate::Forget(std::string_view aUpstream)
{
  const auto it = mSent.find(aUpstream);
  if (it != mSent.end()) {
    mSent.erase(it);
  }
}

} // namespace cactusgw
