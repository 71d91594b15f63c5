#ifndef CACTUSGW_CTL_CTL_COMMANDS_HPP
#define CACTUSGW_CTL_CTL_COMMANDS_HPP

/// The commands of cactusgwctl. Each returns the exit code.

#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/net/http_types.hpp"

#include <string>

namespace cactusgw {

/// `config check DIR`: checks the files alone.
int ConfigCheck(const std::string& aDirectory);

/// `config diff DIR`: shows as a merge patch what apply would change.
Task<int> ConfigDiff(ToolSettings aSettings, std::string aDirectory);

/// `config apply DIR`: checks the files whole and makes them the next
/// revision.
/// @param aExpected the revision the change was made against, or -1
Task<int> ConfigApply(ToolSettings aSettings,
                      std::string aDirectory,
                      long aExpected);

/// `config show [DATA-CENTRE]`: shows what is in force.
Task<int> ConfigShow(ToolSettings aSettings, std::string aDataCentre);

/// `data-centre drain|return NAME`: through the first agent that answers.
Task<int> DrainDataCentre(ToolSettings aSettings,
                          std::string aDataCentre,
                          bool aDrained);

/// `status`: one screen over all operator ports given.
Task<int> ShowStatus(ToolSettings aSettings, bool aAsJson);

} // namespace cactusgw

#endif // CACTUSGW_CTL_CTL_COMMANDS_HPP
