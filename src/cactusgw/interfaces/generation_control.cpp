#include "cactusgw/interfaces/generation_control.hpp"

namespace cactusgw {

std::string_view
ToString(CopyOutcome aOutcome)
{
  switch (aOutcome) {
    case CopyOutcome::Copied:
      return "copied";
    case CopyOutcome::NotRunning:
      return "not-running";
    case CopyOutcome::InProgress:
      return "in-progress";
    case CopyOutcome::NoRoom:
      return "no-room";
    case CopyOutcome::Withheld:
      return "withheld";
    case CopyOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace cactusgw
