#include "cactusgw/gateway/response_attribution.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

ResponseOwner
ResponseAttribution::OnResponse(std::string_view aRequestId)
{
  const bool isFirst = !std::exchange(mHasResponse, true);
  if (aRequestId.empty()) {
    mHasUnidentified = true;
    return isFirst ? ResponseOwner::CurrentRequest : ResponseOwner::Unknown;
  }
  return aRequestId == mRequestId ? ResponseOwner::CurrentRequest
                                  : ResponseOwner::OtherRequest;
}

bool
ResponseAttribution::HasRefused(std::string_view aRequestId) const
{
  return std::find(mRefused.begin(), mRefused.end(), aRequestId) !=
         mRefused.end();
}

} // namespace cactusgw
