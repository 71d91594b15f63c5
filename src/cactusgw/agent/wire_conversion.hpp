#ifndef CACTUSGW_AGENT_WIRE_CONVERSION_HPP
#define CACTUSGW_AGENT_WIRE_CONVERSION_HPP

/// Conversion between messages and the types of the core.

#include "cactusgw/core/admission_control.hpp"
#include "cactusgw/core/credit_messages.hpp"
#include "cactusgw/core/drain_table.hpp"
#include "cactusgw/wire/cactusgw.pb.h"

#include <string>
#include <string_view>

namespace cactusgw {

/// The name of a message's kind, for metrics.
std::string_view KindOf(const wire::Envelope& aEnvelope);

CreditReport ToReport(const wire::CreditReport& aMessage);

void FillReport(const OutgoingReport& aReport, wire::CreditReport& aMessage);

CreditGrant ToGrant(const wire::CreditGrant& aMessage);

void FillGrant(std::string_view aUpstream,
               const CreditGrant& aGrant,
               wire::CreditGrant& aMessage);

DrainState ToDrainState(const wire::DrainOrder& aMessage);

void FillDrain(const DrainState& aState, wire::DrainOrder& aMessage);

/// Adds the whole table to a message that has drains.
template<typename Message>
void
FillDrains(const DrainTable& aDrains, Message& aMessage)
{
  for (const DrainState& state : aDrains.States()) {
    FillDrain(state, *aMessage.add_drains());
  }
}

} // namespace cactusgw

#endif // CACTUSGW_AGENT_WIRE_CONVERSION_HPP
