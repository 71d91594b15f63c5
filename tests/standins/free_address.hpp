#ifndef CACTUSGW_TESTS_STANDINS_FREE_ADDRESS_HPP
#define CACTUSGW_TESTS_STANDINS_FREE_ADDRESS_HPP

/// Where programs under test may listen.

#include <string>

namespace cactusgw::test {

/// An `IP:port` of the loopback device that nobody uses. Each call gives an IP
/// address of its own: a port that is free now can't be given to a connection
/// or a stand-in meanwhile, as those all use 127.0.0.1.
std::string FreeAddress();

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_STANDINS_FREE_ADDRESS_HPP
