#ifndef CACTUSGW_CORE_HASH_HPP
#define CACTUSGW_CORE_HASH_HPP

/// Hash functions whose values must be the same on every VM and in every
/// release.

#include <cstdint>
#include <string_view>

namespace cactusgw {

/// FNV-1a of the bytes, followed by a finalizer so that all bits are well
/// distributed.
std::uint64_t StableHash(std::string_view aBytes);

/// Score of a (key, node) pair for rendezvous hashing: the node with the
/// highest score for a key is preferred.
std::uint64_t RendezvousScore(std::string_view aKey, std::string_view aNode);

} // namespace cactusgw

#endif // CACTUSGW_CORE_HASH_HPP
