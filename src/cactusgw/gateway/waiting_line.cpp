#include "cactusgw/gateway/waiting_line.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw {

WaitingLine::Place::Place(WaitingLine& aLine,
                          const std::string& aService,
                          std::uint32_t aRank,
                          const net::any_io_executor& aExecutor)
  : mLine(aLine)
  , mService(aService)
  , mKey(aRank, aLine.mNext++)
  , mTimer(aExecutor)
{
  mLine.mLines[mService].emplace(mKey, this);
}

WaitingLine::Place::~Place()
{
  const auto it = mLine.mLines.find(mService);
  it->second.erase(mKey);
  if (it->second.empty()) {
    mLine.mLines.erase(it);
  } else {
    it->second.begin()->second->Wake();
  }
}

bool
WaitingLine::Place::IsFirst() const
{
  return mLine.mLines.at(mService).begin()->second == this;
}

Task<void>
WaitingLine::Place::Wait(Instant aUntil)
{
  beast::error_code ec;
  mTimer.expires_at(aUntil);
  co_await mTimer.async_wait(net::redirect_error(net::use_awaitable, ec));
}

bool
WaitingLine::IsAhead(const std::string& aService, std::uint32_t aRank) const
{
  const auto it = mLines.find(aService);
  return it != mLines.end() && it->second.begin()->first.first <= aRank;
}

void
WaitingLine::WakeFirst()
{
  for (const auto& [service, places] : mLines) {
    places.begin()->second->Wake();
  }
}

std::size_t
WaitingLine::Length(const std::string& aService) const
{
  const auto it = mLines.find(aService);
  return it == mLines.end() ? 0 : it->second.size();
}

} // namespace cactusgw
