#ifndef CACTUSGW_CORE_ADMISSION_QUEUE_HPP
#define CACTUSGW_CORE_ADMISSION_QUEUE_HPP

/// Queue of the requests on one VM that wait for a credit. Serving is fair
/// between workspaces.

#include "cactusgw/config/request_homes.hpp"
#include "cactusgw/core/verdict.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw {

/// A request to be admitted to an upstream.
struct AdmissionRequest
{
  /// Correlation id set by the entry and returned in the decision.
  std::uint64_t mCall = 0;
  std::string mRequestId;
  std::string mService;
  /// Empty for plain services.
  std::string mModel;
  std::string mWorkspace;
  std::uint64_t mPrefixHash = 0;
  /// Upstreams to avoid as long as another one serves the request.
  std::vector<std::string> mExcluded;
  bool mIsRetry = false;
  /// Set at admission.
  RequestHomes mHomes;
};

struct QueuedRequest
{
  AdmissionRequest mRequest;
  Instant mDeadline;
};

/// Not thread-safe.
class AdmissionQueue
{
public:
  void Add(AdmissionRequest aRequest, Instant aDeadline);

  /// Offers queued requests to aTryServe and removes those for which it returns
  /// true. Requests of the workspace with the lowest share come first, and in
  /// order of arrival at equal shares. Shares are recomputed after each request
  /// served.
  /// @param aShareOf returns the current share of a workspace
  template<typename ShareOf, typename TryServe>
  void Serve(ShareOf aShareOf, TryServe aTryServe);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<AdmissionRequest> TakeExpired(Instant aNow);
  std::vector<AdmissionRequest> TakeAll();
  /// Removes and returns the requests for which the function returns true.
  template<typename ShouldTake>
  std::vector<AdmissionRequest> TakeIf(ShouldTake aShouldTake);

  const std::deque<QueuedRequest>& Waiting() const { return mWaiting; }
  std::size_t Size() const { return mWaiting.size(); }

private:
  template<typename ShareOf>
  std::vector<std::size_t> FairOrder(ShareOf aShareOf) const;

  std::deque<QueuedRequest> mWaiting;
};

template<typename ShareOf, typename TryServe>
void
AdmissionQueue::Serve(ShareOf aShareOf, TryServe aTryServe)
{
  bool progress = !mWaiting.empty();
  while (progress) {
    progress = false;
    for (const std::size_t i : FairOrder(aShareOf)) {
      if (aTryServe(mWaiting[i].mRequest)) {
        mWaiting.erase(mWaiting.begin() + static_cast<std::ptrdiff_t>(i));
        progress = !mWaiting.empty();
        break;
      }
    }
  }
}

template<typename ShouldTake>
std::vector<AdmissionRequest>
AdmissionQueue::TakeIf(ShouldTake aShouldTake)
{
  std::vector<AdmissionRequest> taken;
  std::erase_if(mWaiting, [&](QueuedRequest& aWaiting) {
    const bool isTaken = aShouldTake(std::as_const(aWaiting.mRequest));
    if (isTaken) {
      taken.push_back(std::move(aWaiting.mRequest));
    }
    return isTaken;
  });
  return taken;
}

template<typename ShareOf>
std::vector<std::size_t>
AdmissionQueue::FairOrder(ShareOf aShareOf) const
{
  std::vector<std::pair<double, std::size_t>> shares;
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    shares.emplace_back(aShareOf(mWaiting[i].mRequest.mWorkspace), i);
  }
  // The index breaks ties, so equal shares keep the order of arrival.
  std::sort(shares.begin(), shares.end());
  std::vector<std::size_t> order;
  for (const std::pair<double, std::size_t>& it : shares) {
    order.push_back(it.second);
  }
  return order;
}

} // namespace cactusgw

#endif // CACTUSGW_CORE_ADMISSION_QUEUE_HPP
