#include "cactusgw/config/fault.hpp"

namespace cactusgw {

std::string
ToString(const ConfigFault& aFault)
{
  const std::string path = aFault.mPath.empty() ? "/" : aFault.mPath;
  return aFault.mFile + ": " + path + ": " + aFault.mReason;
}

std::string
ToString(const ConfigFaults& aFaults)
{
  std::string text;
  for (const ConfigFault& fault : aFaults) {
    text += ToString(fault);
    text += '\n';
  }
  return text;
}

} // namespace cactusgw
