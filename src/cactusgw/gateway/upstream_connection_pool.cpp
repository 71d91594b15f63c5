#include "cactusgw/gateway/upstream_connection_pool.hpp"

#include <utility>

namespace cactusgw {

std::unique_ptr<UpstreamConnection>
UpstreamConnectionPool::Acquire(const UpstreamTarget& aTarget,
                                std::string_view aRequestId,
                                Instant aNow,
                                const ReuseFilter& aMayReuse)
{
  const auto it = mIdle.find(aTarget.mId);
  if (it == mIdle.end()) {
    return nullptr;
  }
  std::vector<IdleConnection>& idle = it->second;
  // The most recently used connection is the most likely to be still open.
  while (!idle.empty()) {
    IdleConnection newest = std::move(idle.back());
    idle.pop_back();
    if (aNow < newest.mExpiresAt && newest.mConnection->Target() == aTarget &&
        !newest.mConnection->Attribution().HasRefused(aRequestId) &&
        aMayReuse(*newest.mConnection) && newest.mConnection->IsIdle()) {
      return std::move(newest.mConnection);
    }
  }
  return nullptr;
}

void
UpstreamConnectionPool::Release(std::unique_ptr<UpstreamConnection> aConnection,
                                Instant aNow)
{
  const HttpConnection& last = aConnection->Response();
  if (!last.IsReusable() || !aConnection->Attribution().IsReusable()) {
    return;
  }
  const Milliseconds idleTime =
    last.KeepAliveTimeout().value_or(kDefaultIdleTimeout);
  if (idleTime <= kCloseMargin) {
    return;
  }
  std::vector<IdleConnection>& idle = mIdle[aConnection->Target().mId];
  if (idle.size() < kMaxIdle) {
    idle.push_back(
      IdleConnection{ std::move(aConnection), aNow + idleTime - kCloseMargin });
  }
}

void
UpstreamConnectionPool::Forget(const std::string& aUpstream)
{
  mIdle.erase(aUpstream);
}

template<typename Predicate>
void
UpstreamConnectionPool::CloseIf(Predicate aPredicate)
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, aPredicate);
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

void
UpstreamConnectionPool::CloseExpired(Instant aNow)
{
  CloseIf(
    [&](const IdleConnection& aIdle) { return aNow >= aIdle.mExpiresAt; });
}

void
UpstreamConnectionPool::CloseDirect()
{
  CloseIf([](const IdleConnection& aIdle) {
    return aIdle.mConnection->Tunnel() == nullptr;
  });
}

void
UpstreamConnectionPool::CloseTunnels()
{
  CloseIf([](const IdleConnection& aIdle) {
    return aIdle.mConnection->Tunnel() != nullptr;
  });
}

} // namespace cactusgw
