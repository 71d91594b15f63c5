#include "cactusgw/gateway/response_window.hpp"

namespace cactusgw {

namespace {

UpstreamLoad
LoadOf(bool aIsFailure)
{
  UpstreamLoad load;
  load.mRecentAnswers = 1;
  load.mRecentFailures = aIsFailure ? 1 : 0;
  return load;
}

} // namespace

void
ResponseWindow::OnResponse(std::string_view aUpstream,
                           bool aIsFailure,
                           LoadTable& aLoads,
                           Instant aNow)
{
  Expire(aLoads, aNow);
  const bool isFirst =
    mResponses
      .try_emplace(std::string{ aUpstream }, Response{ aNow, aIsFailure })
      .second;
  if (isFirst) {
    aLoads.Add(aUpstream, LoadOf(aIsFailure));
  }
}

void
ResponseWindow::Expire(LoadTable& aLoads, Instant aNow)
{
  std::erase_if(mResponses, [&](const auto& aEntry) {
    const auto& [upstream, response] = aEntry;
    const bool isOld = aNow - response.mAt >= kWindow;
    if (isOld) {
      aLoads.Subtract(upstream, LoadOf(response.mIsFailure));
    }
    return isOld;
  });
}

void
ResponseWindow::Forget(std::string_view aUpstream, LoadTable& aLoads)
{
  const auto it = mResponses.find(aUpstream);
  if (it != mResponses.end()) {
    aLoads.Subtract(aUpstream, LoadOf(it->second.mIsFailure));
    mResponses.erase(it);
  }
}

} // namespace cactusgw
