#include "cactusgw/core/sha256.hpp"

#include <openssl/sha.h>

#include <array>

namespace cactusgw {

std::string
Sha256Hex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 0x0F;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> kHighShift];
    text += kDigits[byte & kLowMask];
  }
  return text;
}

} // namespace cactusgw
