#include "cactusgw/messaging/crash_messages.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactusgw {

std::uint64_t
EncodeAge(Instant aThen, Instant aNow)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
    0, std::chrono::duration_cast<Milliseconds>(aNow - aThen).count()));
}

Milliseconds
DecodeAge(std::uint64_t aMs)
{
  constexpr std::uint64_t kLongest =
    static_cast<std::uint64_t>(CrashEvidence::kMaxAge.count());
  return Milliseconds{ static_cast<std::int64_t>(std::min(aMs, kLongest)) };
}

void
EncodeCrashReports(const CrashEvidence& aEvidence,
                   Instant aNow,
                   wire::CrashReports& aMessage)
{
  std::vector<const CrashReport*> newestFirst;
  for (const auto& [upstream, report] : aEvidence.Crashes()) {
    newestFirst.push_back(&report);
  }
  std::stable_sort(newestFirst.begin(),
                   newestFirst.end(),
                   [](const CrashReport* aOne, const CrashReport* aOther) {
                     return aOne->mAt > aOther->mAt;
                   });
  std::size_t bytes = 0;
  for (const CrashReport* const report : newestFirst) {
    wire::CrashEntry entry;
    entry.set_upstream(report->mUpstream.mId);
    entry.set_started_ms(report->mUpstream.mStartedMs);
    entry.set_age_ms(EncodeAge(report->mAt, aNow));
    for (const PartSet& parts : report->mSuspects) {
      wire::CrashSuspect* const suspect = entry.add_suspects();
      for (const std::string& part : parts) {
        suspect->add_parts(part);
      }
    }
    bytes += entry.ByteSizeLong();
    if (bytes > kMaxCrashReportBytes) {
      break;
    }
    *aMessage.add_crashes() = std::move(entry);
  }
  for (const auto& [part, servedAt] : aEvidence.Served()) {
    wire::ServedPart served;
    served.set_part(part);
    served.set_age_ms(EncodeAge(servedAt, aNow));
    bytes += served.ByteSizeLong();
    if (bytes > kMaxCrashReportBytes) {
      break;
    }
    *aMessage.add_served() = std::move(served);
  }
}

void
MergeCrashReports(const wire::CrashReports& aMessage,
                  Instant aNow,
                  CrashEvidence& aEvidence)
{
  for (const wire::CrashEntry& entry : aMessage.crashes()) {
    CrashReport report{ { entry.upstream(), entry.started_ms() },
                        aNow - DecodeAge(entry.age_ms()),
                        {} };
    for (const wire::CrashSuspect& suspect : entry.suspects()) {
      report.mSuspects.emplace_back(suspect.parts().begin(),
                                    suspect.parts().end());
    }
    aEvidence.Merge(std::move(report));
  }
  for (const wire::ServedPart& served : aMessage.served()) {
    aEvidence.MergeServed(served.part(), aNow - DecodeAge(served.age_ms()));
  }
}

void
EncodeSuspicion(const RequestSuspicion& aSuspicion,
                Instant aNow,
                wire::RequestSuspicion& aMessage)
{
  aMessage.set_fingerprint(aSuspicion.mRequest.mValue);
  for (const RequestCrash& crash : aSuspicion.mCrashes) {
    wire::SuspectedCrash* const entry = aMessage.add_crashes();
    entry->set_upstream(crash.mUpstream);
    entry->set_age_ms(EncodeAge(crash.mAt, aNow));
    entry->set_in_progress_ms(EncodeAge(crash.mSentAt, crash.mAt));
    entry->set_cleared(crash.mIsCleared);
    entry->set_round(crash.mRound);
  }
  const RequestTrial& trial = aSuspicion.mTrial.mTrial;
  if (trial.mNumber > 0) {
    wire::RequestTrial* const entry = aMessage.mutable_trial();
    entry->set_number(trial.mNumber);
    entry->set_gateway(trial.mGateway);
    entry->set_age_ms(EncodeAge(aSuspicion.mTrial.mSentAt, aNow));
    entry->set_ended(trial.mIsEnded);
  }
}

RequestSuspicion
DecodeSuspicion(const wire::RequestSuspicion& aMessage, Instant aNow)
{
  const wire::RequestTrial& trial = aMessage.trial();
  RequestSuspicion suspicion{
    { aMessage.fingerprint() },
    {},
    { { trial.number(), trial.gateway(), trial.ended() },
      aNow - DecodeAge(trial.age_ms()) }
  };
  for (const wire::SuspectedCrash& entry : aMessage.crashes()) {
    const Instant at = aNow - DecodeAge(entry.age_ms());
    suspicion.mCrashes.push_back({ entry.upstream(),
                                   at - DecodeAge(entry.in_progress_ms()),
                                   at,
                                   entry.cleared(),
                                   entry.round() });
  }
  return suspicion;
}

} // namespace cactusgw
