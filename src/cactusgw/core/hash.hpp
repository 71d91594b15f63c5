#ifndef CACTUSGW_CORE_HASH_HPP
#define CACTUSGW_CORE_HASH_HPP

/// Hashes that must give the same value on every VM and in every release.

#include <cstdint>
#include <string_view>

namespace cactusgw {

/// FNV-1a over the bytes, with a final mix so that all bits are usable.
std::uint64_t StableHash(std::string_view aBytes);

/// Score of a (key, node) pair for rendezvous hashing: the node with the
/// highest score for a key comes first.
std::uint64_t RendezvousScore(std::string_view aKey, std::string_view aNode);

} // namespace cactusgw

#endif // CACTUSGW_CORE_HASH_HPP
