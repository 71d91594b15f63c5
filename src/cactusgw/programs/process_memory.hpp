#ifndef CACTUSGW_PROGRAMS_PROCESS_MEMORY_HPP
#define CACTUSGW_PROGRAMS_PROCESS_MEMORY_HPP

/// Makes the memory of a process follow what it has allocated.

namespace cactusgw {

/// Call once at the start, before the first allocation of a body.
void ReturnFreedMemory();

} // namespace cactusgw

#endif // CACTUSGW_PROGRAMS_PROCESS_MEMORY_HPP
