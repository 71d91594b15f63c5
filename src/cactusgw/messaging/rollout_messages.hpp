#ifndef CACTUSGW_MESSAGING_ROLLOUT_MESSAGES_HPP
#define CACTUSGW_MESSAGING_ROLLOUT_MESSAGES_HPP

/// Evidence on roll-outs in messages between gateways.

#include "cactusgw/rollout/rollout_evidence.hpp"
#include "cactusgw/wire/cactusgw.pb.h"

#include <span>

namespace cactusgw {

/// Adds the age of each known order, and the entries.
void EncodeRollouts(const RolloutEvidence& aEvidence,
                    std::span<const RolloutCountsEntry> aEntries,
                    Instant aNow,
                    wire::GatewayUse& aMessage);

/// Merges what a message holds.
void MergeRollouts(const wire::GatewayUse& aMessage,
                   Instant aNow,
                   RolloutEvidence& aEvidence);

} // namespace cactusgw

#endif // CACTUSGW_MESSAGING_ROLLOUT_MESSAGES_HPP
