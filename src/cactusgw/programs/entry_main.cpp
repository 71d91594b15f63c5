#include "cactusgw/entry/entry.hpp"
#include "cactusgw/programs/daemon_main.hpp"
#include "cactusgw/programs/process_memory.hpp"

/// The binary cactusgw-entry.
int
main(int aArgc, char** aArgv)
{
  using namespace cactusgw;
  ReturnFreedMemory();
  return DaemonMain<Entry, EntrySettings>(
    "cactusgw-entry", &ReadEntrySettings, aArgc, aArgv);
}
