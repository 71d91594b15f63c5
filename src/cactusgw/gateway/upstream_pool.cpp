#include "cactusgw/gateway/upstream_pool.hpp"

#include <utility>

namespace cactusgw {

std::unique_ptr<HttpConnection>
UpstreamPool::Take(const std::string& aUpstream, Instant aNow)
{
  const auto it = mIdle.find(aUpstream);
  if (it == mIdle.end()) {
    return nullptr;
  }
  std::vector<Idle>& idle = it->second;
  // The connection used last is the most likely to be sound.
  while (!idle.empty()) {
    Idle newest = std::move(idle.back());
    idle.pop_back();
    if (aNow < newest.mUntil && newest.mConnection->IsQuiet()) {
      return std::move(newest.mConnection);
    }
  }
  return nullptr;
}

void
UpstreamPool::GiveBack(const std::string& aUpstream,
                       std::unique_ptr<HttpConnection> aConnection,
                       Instant aNow)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  const Milliseconds idleTime =
    aConnection->IdleTime().value_or(kDefaultIdleTime);
  if (idleTime <= kCloseMargin) {
    return;
  }
  std::vector<Idle>& idle = mIdle[aUpstream];
  if (idle.size() < kMaxIdle) {
    idle.push_back(
      Idle{ std::move(aConnection), aNow + idleTime - kCloseMargin });
  }
}

void
UpstreamPool::Forget(const std::string& aUpstream)
{
  mIdle.erase(aUpstream);
}

void
UpstreamPool::CloseExpired(Instant aNow)
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second,
                  [&](const Idle& aIdle) { return aNow >= aIdle.mUntil; });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace cactusgw
