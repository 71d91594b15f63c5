#include "cactusgw/agent/wire_conversion.hpp"

namespace cactusgw {

std::string_view
KindOf(const wire::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kHeartbeat:
      return "heartbeat";
    case wire::Envelope::kHeartbeatReply:
      return "heartbeat-reply";
    case wire::Envelope::kCreditReport:
      return "credit-report";
    case wire::Envelope::kCreditGrant:
      return "credit-grant";
    case wire::Envelope::kConfigQuery:
      return "config-query";
    case wire::Envelope::kConfigPush:
      return "config-push";
    case wire::Envelope::kOwnershipPush:
      return "ownership-push";
    case wire::Envelope::kDrainOrder:
      return "drain-order";
    default:
      return "other";
  }
}

CreditReport
ToReport(const wire::CreditReport& aMessage)
{
  CreditReport report;
  report.mEpoch = aMessage.epoch();
  report.mReportSequence = aMessage.report_sequence();
  report.mAcknowledgedGrant = aMessage.acknowledged_grant();
  report.mCap = aMessage.cap();
  report.mInUse = aMessage.in_use();
  report.mWanted = aMessage.wanted();
  report.mKnownLimit = { aMessage.known_limit(), aMessage.known_incarnation() };
  return report;
}

void
FillReport(const OutgoingReport& aReport, wire::CreditReport& aMessage)
{
  aMessage.set_upstream(aReport.mUpstream);
  aMessage.set_epoch(aReport.mReport.mEpoch);
  aMessage.set_report_sequence(aReport.mReport.mReportSequence);
  aMessage.set_acknowledged_grant(aReport.mReport.mAcknowledgedGrant);
  aMessage.set_cap(aReport.mReport.mCap);
  aMessage.set_in_use(aReport.mReport.mInUse);
  aMessage.set_wanted(aReport.mReport.mWanted);
  aMessage.set_known_limit(aReport.mReport.mKnownLimit.mLimit);
  aMessage.set_known_incarnation(aReport.mReport.mKnownLimit.mIncarnation);
  aMessage.set_completed(aReport.mWork.mCompleted);
  aMessage.set_slow(aReport.mWork.mSlow);
  aMessage.set_trouble(aReport.mWork.mTrouble);
}

CreditGrant
ToGrant(const wire::CreditGrant& aMessage)
{
  CreditGrant grant;
  grant.mEpoch = aMessage.epoch();
  grant.mGrantSequence = aMessage.grant_sequence();
  grant.mAnswersReport = aMessage.answers_report();
  grant.mAllotment = aMessage.allotment();
  grant.mScarce = aMessage.scarce();
  grant.mLimit = { aMessage.limit(), aMessage.incarnation() };
  return grant;
}

void
FillGrant(std::string_view aUpstream,
          const CreditGrant& aGrant,
          wire::CreditGrant& aMessage)
{
  aMessage.set_upstream(std::string{ aUpstream });
  aMessage.set_epoch(aGrant.mEpoch);
  aMessage.set_grant_sequence(aGrant.mGrantSequence);
  aMessage.set_answers_report(aGrant.mAnswersReport);
  aMessage.set_allotment(aGrant.mAllotment);
  aMessage.set_scarce(aGrant.mScarce);
  aMessage.set_limit(aGrant.mLimit.mLimit);
  aMessage.set_incarnation(aGrant.mLimit.mIncarnation);
}

DrainState
ToDrainState(const wire::DrainOrder& aMessage)
{
  return { aMessage.data_centre(),
           aMessage.drain_version(),
           aMessage.drained() };
}

void
FillDrain(const DrainState& aState, wire::DrainOrder& aMessage)
{
  aMessage.set_data_centre(aState.mDataCentre);
  aMessage.set_drained(aState.mDrained);
  aMessage.set_drain_version(aState.mVersion);
}

} // namespace cactusgw
