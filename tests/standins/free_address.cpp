#include "free_address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

namespace cactusgw::test {

std::string
FreeAddress()
{
  using boost::asio::ip::address_v4;
  using boost::asio::ip::tcp;
  constexpr unsigned kByte = 0xffU;
  constexpr unsigned kBitsPerByte = 8;
  static unsigned sCalls = 0;
  const unsigned process = static_cast<unsigned>(getpid());
  const address_v4 address{ address_v4::bytes_type{
    127,
    static_cast<unsigned char>(1 + ((process >> kBitsPerByte) & kByte) / 2),
    static_cast<unsigned char>(process & kByte),
    static_cast<unsigned char>(1 + sCalls++ % (kByte - 1)) } };
  boost::asio::io_context context;
  const tcp::acceptor probe{ context, tcp::endpoint{ address, 0 } };
  return address.to_string() + ":" +
         std::to_string(probe.local_endpoint().port());
}

} // namespace cactusgw::test
