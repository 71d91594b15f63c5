#ifndef CACTUSGW_CONFIG_OWNERSHIP_DOCUMENT_HPP
#define CACTUSGW_CONFIG_OWNERSHIP_DOCUMENT_HPP

/// JSON forms of the objects that coordinate a data centre.

#include "cactusgw/core/drain_table.hpp"
#include "cactusgw/core/lease_keeper.hpp"
#include "cactusgw/core/ownership.hpp"
#include "cactusgw/core/verdict.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Platform keys.
inline constexpr const char* kDrainKey = "drain";

std::string LeaseKey(std::string_view aDataCentre);

std::string OwnershipKey(std::string_view aDataCentre);

/// The data centre of an ownership key.
std::string DataCentreOfOwnershipKey(std::string_view aKey);

std::string SerializeLease(const LeaseRecord& aRecord);

/// Errors: InvalidInput.
Result<LeaseRecord> ParseLease(std::string_view aText);

std::string SerializeOwnership(const OwnershipPlan& aPlan);

/// The plan without its object's version. Errors: InvalidInput.
Result<OwnershipPlan> ParseOwnership(std::string_view aText);

std::string SerializeDrains(const std::vector<DrainState>& aStates);

/// Errors: InvalidInput.
Result<std::vector<DrainState>> ParseDrains(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_OWNERSHIP_DOCUMENT_HPP
