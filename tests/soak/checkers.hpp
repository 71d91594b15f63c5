#ifndef CACTUSGW_TESTS_SOAK_CHECKERS_HPP
#define CACTUSGW_TESTS_SOAK_CHECKERS_HPP

/// Checks what clients, upstreams and the operator have seen against what the
/// system promises.

#include "ledger.hpp"

#include <string>
#include <vector>

namespace cactusgw::soak {

struct Limits
{
  /// From SIGTERM to the end of a process.
  long mGraceMs = 8000;
  long mReadyMs = 15'000;
  /// 110 MB less a tenth.
  long mMemoryBytes = 99'000'000;
  /// Losses of running gateways that a run may have.
  std::size_t mLosses = 3;
  /// How long a disturbance is felt after its end.
  long mSettleMs = 5000;
  /// How long after a change a request still counts as sent around it.
  long mApplyMs = 2000;
  /// A request is taken as read when it was sent so long before its
  /// connection was closed.
  long mReadSlackMs = 500;
};

struct Finding
{
  /// FAULT, LOST, TWICE or MIXED.
  std::string mRule;
  std::string mText;
  /// Ids of the requests concerned.
  std::vector<std::string> mIds;
};

/// Processes that ended by themselves, late or wrongly, weren't ready in time,
/// or used too much memory.
std::vector<Finding> FindFaults(const Records& aRecords, const Limits& aLimits);
/// Requests of running gateways that a sound upstream ran and whose
/// connections were closed without a whole response.
std::vector<Finding> FindLosses(const Records& aRecords, const Limits& aLimits);
/// Requests that were cut around planned work, with no other disturbance.
std::vector<Finding> FindPlannedLosses(const Records& aRecords,
                                       const Limits& aLimits);
/// Requests that ran more often than they may, or ran and were refused as not
/// run.
std::vector<Finding> FindRepeats(const Records& aRecords);
/// Responses and requests that aren't those of their id.
std::vector<Finding> FindMixed(const Records& aRecords);

/// One line each for the requests that ran and were cut although no upstream
/// broke off, whatever excuses them.
std::string DescribeCuts(const Records& aRecords);

std::vector<Finding> FindAll(const Records& aRecords, const Limits& aLimits);

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_CHECKERS_HPP
