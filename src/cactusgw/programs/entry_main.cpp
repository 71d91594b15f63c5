#include "cactusgw/entry/entry.hpp"
#include "cactusgw/programs/daemon_main.hpp"

/// The binary cactusgw-entry.
int
main(int aArgc, char** aArgv)
{
  using namespace cactusgw;
  return DaemonMain<Entry, EntrySettings>(
    "cactusgw-entry", &ReadEntrySettings, aArgc, aArgv);
}
