#include "cactusgw/gateway/client_memory.hpp"

#include "cactusgw/net/steady_now.hpp"

namespace cactusgw {

namespace {

void
OnRefused(GatewayState& aState,
          const HttpRequest& aRequest,
          const Failure& aFailure)
{
  aState.mMetrics.mRequests.Add();
  aState.mMetrics.mMemoryRefusals.Add();
  aState.mMetrics.CountFailure(aFailure);
  const std::string& name = aState.mNames.mRequestId;
  const beast::string_view id = aRequest[{ name.data(), name.size() }];
  aState.mLog.Write(
    "refused",
    { { "request", std::string_view{ id.data(), id.size() } },
      { "route", "none" },
      { "verdict", ToString(aFailure.mVerdict) },
      { "reason", ToString(aFailure.mCode) },
      { "detail", aFailure.mDetail },
      { "usedBytes", static_cast<std::int64_t>(aState.mMemory->Used()) },
      { "capacityBytes",
        static_cast<std::int64_t>(aState.mMemory->Capacity()) } },
    SteadyNow());
}

} // namespace

HttpServerMemory
ClientMemory(GatewayState& aState)
{
  return { aState.mMemory,
           [&aState](const HttpRequest& aRequest, const Failure& aFailure) {
             OnRefused(aState, aRequest, aFailure);
           } };
}

void
SetMemoryMetrics(GatewayState& aState)
{
  GatewayMetrics& metrics = aState.mMetrics;
  const ByteBudget& memory = *aState.mMemory;
  metrics.mMemoryCapacity.Set(static_cast<double>(memory.Capacity()));
  metrics.mMemoryUsed.Set(static_cast<double>(memory.Used()));
  metrics.mMemoryPeak.Set(static_cast<double>(memory.Peak()));
}

} // namespace cactusgw
