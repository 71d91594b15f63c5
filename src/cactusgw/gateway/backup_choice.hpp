#ifndef CACTUSGW_GATEWAY_BACKUP_CHOICE_HPP
#define CACTUSGW_GATEWAY_BACKUP_CHOICE_HPP

/// Decides which generations have their memory replicated to a second upstream
/// while they run, and to which one. Engines terminate with less notice than
/// the copies of all their generations take on one link, or crash without any.

#include "cactusgw/gateway/upstream_choice.hpp"

#include <span>
#include <string_view>

namespace cactusgw {

/// Whether the generation runs long enough that its upstream may well terminate
/// before it does.
/// @param aNeed tokens of the prompt and, by the client's estimate, in all
bool IsWorthABackup(const GatewayService& aService,
                    RouteKind aKind,
                    const TokenNeed& aNeed);

/// Returns the candidate for the backup: one in the primary's region with ample
/// room, in its data centre if possible. Null if there is none.
/// @param aCandidates with distances from the primary's data centre
/// @param aPrimary id of the upstream that runs the generation; left out
const Candidate* ChooseBackup(std::span<const Candidate> aCandidates,
                              std::string_view aPrimary,
                              const GatewayService& aService,
                              const TokenNeed& aNeed);

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_BACKUP_CHOICE_HPP
