#include "served_over_tcp.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace cactusgw::test {

int
ConnectWhenListening(const std::string& aAddress)
{
  using Clock = std::chrono::steady_clock;
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  const Clock::time_point until = Clock::now() + std::chrono::seconds{ 10 };
  while (Clock::now() < until) {
    const int result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{ 5, 0 };
    setsockopt(result, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(result, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(result,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
      return result;
    }
    close(result);
    std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  }
  return -1;
}

std::string
Get(const std::string& aAddress, const std::string& aPath)
{
  const int server = ConnectWhenListening(aAddress);
  const std::string request = "GET " + aPath +
                              " HTTP/1.1\r\nHost: test\r\n"
                              "Connection: close\r\n\r\n";
  std::string response;
  std::array<char, 4096> buf{};
  ssize_t n = send(server, request.data(), request.size(), MSG_NOSIGNAL);
  while (n > 0) {
    n = recv(server, buf.data(), buf.size(), 0);
    response.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
  }
  close(server);
  return response;
}

} // namespace cactusgw::test
