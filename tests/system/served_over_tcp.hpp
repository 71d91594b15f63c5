#ifndef CACTUSGW_TESTS_SYSTEM_SERVED_OVER_TCP_HPP
#define CACTUSGW_TESTS_SYSTEM_SERVED_OVER_TCP_HPP

/// Plain connections to a process under test.

#include <string>

namespace cactusgw::test {

/// Connects as soon as the address is listened on, 10 s at most.
/// Reads and writes fail after 5 s.
/// @return a descriptor, or minus one
int ConnectWhenListening(const std::string& aAddress);

/// The response to a GET, empty when there is none within 5 s.
std::string Get(const std::string& aAddress, const std::string& aPath);

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_SYSTEM_SERVED_OVER_TCP_HPP
