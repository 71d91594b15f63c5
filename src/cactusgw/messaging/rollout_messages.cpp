#include "cactusgw/messaging/rollout_messages.hpp"

#include "cactusgw/messaging/crash_messages.hpp"

#include <algorithm>
#include <map>

namespace cactusgw {

namespace {

using WireCounts = google::protobuf::RepeatedField<std::uint32_t>;

/// Leaves out the empty buckets at the end.
void
EncodeTimes(const TimeHistogram& aTimes, WireCounts& aMessage)
{
  const auto last =
    std::find_if(aTimes.rbegin(), aTimes.rend(), [](std::uint32_t aCount) {
      return aCount != 0;
    });
  const std::size_t count =
    static_cast<std::size_t>(std::distance(last, aTimes.rend()));
  for (std::size_t i = 0; i < count; ++i) {
    aMessage.Add(aTimes[i]);
  }
}

/// Ignores buckets beyond the last one.
TimeHistogram
DecodeTimes(const WireCounts& aMessage)
{
  TimeHistogram times{};
  const std::size_t count =
    std::min(times.size(), static_cast<std::size_t>(aMessage.size()));
  for (std::size_t i = 0; i < count; ++i) {
    times[i] = aMessage[static_cast<int>(i)];
  }
  return times;
}

void
EncodeCounts(const RolloutCountsEntry& aEntry, wire::RolloutCounts& aMessage)
{
  aMessage.set_gateway(aEntry.mGateway);
  aMessage.set_route(aEntry.mRoute);
  aMessage.set_of_target(aEntry.mSide == RolloutSide::Target);
  aMessage.set_sent(aEntry.mCounts.mSent);
  aMessage.set_answered(aEntry.mCounts.mAnswered);
  aMessage.set_failed(aEntry.mCounts.mFailed);
  EncodeTimes(aEntry.mCounts.mFirstEvents,
              *aMessage.mutable_first_event_times());
  EncodeTimes(aEntry.mCounts.mGaps, *aMessage.mutable_gap_times());
}

RolloutCountsEntry
DecodeCounts(const RolloutId& aRollout, const wire::RolloutCounts& aMessage)
{
  RolloutCountsEntry entry{ aRollout,
                            aMessage.gateway(),
                            aMessage.route(),
                            aMessage.of_target() ? RolloutSide::Target
                                                 : RolloutSide::OtherVersions,
                            {} };
  entry.mCounts.mSent = aMessage.sent();
  entry.mCounts.mAnswered = aMessage.answered();
  entry.mCounts.mFailed = aMessage.failed();
  entry.mCounts.mFirstEvents = DecodeTimes(aMessage.first_event_times());
  entry.mCounts.mGaps = DecodeTimes(aMessage.gap_times());
  return entry;
}

} // namespace

void
EncodeRollouts(const RolloutEvidence& aEvidence,
               std::span<const RolloutCountsEntry> aEntries,
               Instant aNow,
               wire::GatewayUse& aMessage)
{
  std::map<RolloutId, wire::RolloutReport*> reports;
  for (const RolloutId& id : aEvidence.Rollouts()) {
    wire::RolloutReport* const report = aMessage.add_rollouts();
    report->set_service(id.mService);
    report->set_target(id.mTarget);
    report->set_order(id.mOrder);
    report->set_age_ms(
      static_cast<std::uint64_t>(aEvidence.Age(id, aNow).count()));
    reports.emplace(id, report);
  }
  for (const RolloutCountsEntry& entry : aEntries) {
    EncodeCounts(entry, *reports.at(entry.mRollout)->add_counts());
  }
}

void
MergeRollouts(const wire::GatewayUse& aMessage,
              Instant aNow,
              RolloutEvidence& aEvidence)
{
  for (const wire::RolloutReport& report : aMessage.rollouts()) {
    const RolloutId id{ report.service(), report.target(), report.order() };
    aEvidence.MergeAge(id, DecodeAge(report.age_ms()), aNow);
    for (const wire::RolloutCounts& counts : report.counts()) {
      aEvidence.Merge(DecodeCounts(id, counts));
    }
  }
}

} // namespace cactusgw
