#include "cactusgw/core/hash.hpp"

namespace cactusgw {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

/// The 64-bit finalizer of MurmurHash3.
std::uint64_t
Mix(std::uint64_t aValue)
{
  std::uint64_t n = aValue;
  n ^= n >> 33U;
  n *= 0xff51afd7ed558ccdULL;
  n ^= n >> 33U;
  n *= 0xc4ceb9fe1a85ec53ULL;
  n ^= n >> 33U;
  return n;
}

} // namespace

std::uint64_t
StableHash(std::string_view aBytes)
{
  std::uint64_t n = kFnvOffset;
  for (const char c : aBytes) {
    n ^= static_cast<unsigned char>(c);
    n *= kFnvPrime;
  }
  return Mix(n);
}

std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode)
{
  return Mix(StableHash(aKey) ^ (StableHash(aNode) * kFnvPrime));
}

} // namespace cactusgw
