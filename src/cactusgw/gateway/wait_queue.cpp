#include "cactusgw/gateway/wait_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw {

WaitQueue::Entry::Entry(WaitQueue& aQueue,
                        const std::string& aQueueName,
                        std::uint32_t aRank,
                        const net::any_io_executor& aExecutor)
  : mQueue(aQueue)
  , mQueueName(aQueueName)
  , mKey(aRank, aQueue.mNextSequence++)
  , mTimer(aExecutor)
{
  mQueue.mEntriesByName[mQueueName].emplace(mKey, this);
}

WaitQueue::Entry::~Entry()
{
  const auto it = mQueue.mEntriesByName.find(mQueueName);
  it->second.erase(mKey);
  if (it->second.empty()) {
    mQueue.mEntriesByName.erase(it);
  } else {
    it->second.begin()->second->Wake();
  }
}

bool
WaitQueue::Entry::IsFirst() const
{
  return mQueue.mEntriesByName.at(mQueueName).begin()->second == this;
}

Task<void>
WaitQueue::Entry::Wait(Instant aUntil)
{
  beast::error_code ec;
  mTimer.expires_at(aUntil);
  co_await mTimer.async_wait(net::redirect_error(net::use_awaitable, ec));
}

bool
WaitQueue::HasWaiterAheadOf(const std::string& aQueueName,
                            std::uint32_t aRank) const
{
  const auto it = mEntriesByName.find(aQueueName);
  return it != mEntriesByName.end() && it->second.begin()->first.first <= aRank;
}

void
WaitQueue::WakeFirstWaiters()
{
  for (const auto& [name, entries] : mEntriesByName) {
    entries.begin()->second->Wake();
  }
}

std::size_t
WaitQueue::Length(const std::string& aQueueName) const
{
  const auto it = mEntriesByName.find(aQueueName);
  return it == mEntriesByName.end() ? 0 : it->second.size();
}

} // namespace cactusgw
