#ifndef CACTUSGW_CORE_SHA256_HPP
#define CACTUSGW_CORE_SHA256_HPP

/// SHA-256, for clients' keys and the names of records.

#include <string>
#include <string_view>

namespace cactusgw {

/// Returns the digest in lower-case hexadecimal.
std::string Sha256Hex(std::string_view aBytes);

} // namespace cactusgw

#endif // CACTUSGW_CORE_SHA256_HPP
