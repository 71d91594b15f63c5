#include "cactusgw/programs/process_memory.hpp"

#include <malloc.h>
#include <sys/prctl.h>

namespace cactusgw {

void
ReturnFreedMemory()
{
  // glibc raises its threshold with each large block that is freed. From then
  // on such blocks come from the heap, which keeps them after they are freed.
  constexpr int kMapBytes = 64 * 1024;
  constexpr int kTrimBytes = 256 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMapBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  // A huge page would be resident as a whole after its first byte is written.
  prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0);
}

} // namespace cactusgw
