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
  if (aIsFailure) {
    const auto it = mFailedAt.find(aUpstream);
    if (it != mFailedAt.end() && aNow - it->second < kFailureInterval) {
      return;
    }
    mFailedAt[std::string{ aUpstream }] = aNow;
  }
  mResponses.push_back({ aNow, std::string{ aUpstream }, aIsFailure });
  aLoads.Add(aUpstream, LoadOf(aIsFailure));
}

void
ResponseWindow::Expire(LoadTable& aLoads, Instant aNow)
{
  while (!mResponses.empty() && aNow - mResponses.front().mAt >= kWindow) {
    const Response& response = mResponses.front();
    aLoads.Subtract(response.mUpstream, LoadOf(response.mIsFailure));
    const auto it = mFailedAt.find(response.mUpstream);
    if (it != mFailedAt.end() && aNow - it->second >= kWindow) {
      mFailedAt.erase(it);
    }
    mResponses.pop_front();
  }
}

} // namespace cactusgw
