#ifndef CACTUSGW_CONFIG_FAULT_HPP
#define CACTUSGW_CONFIG_FAULT_HPP

/// A fault found in a settings or configuration file.

#include <string>
#include <vector>

namespace cactusgw {

struct ConfigFault
{
  /// The file, or the layer, that holds the fault.
  std::string mFile;
  /// Where in the document, in the form `/member/member`.
  std::string mPath;
  std::string mReason;
};

using ConfigFaults = std::vector<ConfigFault>;

/// One line: file, path, reason.
std::string ToString(const ConfigFault& aFault);

/// All faults, one a line.
std::string ToString(const ConfigFaults& aFaults);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_FAULT_HPP
