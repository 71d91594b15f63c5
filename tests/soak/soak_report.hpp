#ifndef CACTUSGW_TESTS_SOAK_SOAK_REPORT_HPP
#define CACTUSGW_TESTS_SOAK_SOAK_REPORT_HPP

/// Prints the outcome of a run.

#include "checkers.hpp"
#include "schedule.hpp"

#include <string>
#include <vector>

namespace cactusgw::soak {

struct Report
{
  unsigned mSeed = 1;
  /// With the gateways' logs.
  std::string mFolder;
  std::vector<Action> mSchedule;
  std::vector<Finding> mFindings;
};

/// One line: how much was sent, answered, cut and done.
std::string Summarize(const Records& aRecords);
/// Findings, schedule, and the log lines of the ids concerned.
std::string Explain(const Report& aReport);

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_SOAK_REPORT_HPP
