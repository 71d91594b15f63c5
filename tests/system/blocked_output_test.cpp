#include "served_over_tcp.hpp"
#include "spawned_gateway.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace cactusgw::test {

// Standard output that nobody read made the gateway wait: no client was served
// and a SIGTERM had no effect.
TEST(BlockedOutputTest, AFullPipeStopsNeitherClientsNorTheEnd)
{
  SpawnSettings settings = SpawnSettings::Free();
  const ScratchFile file{ settings.Text() };
  Pipe output;
  ASSERT_EQ(fcntl(output.mWriter, F_SETFL, O_NONBLOCK), 0);
  const std::string filling(4096, 'x');
  while (write(output.mWriter, filling.data(), filling.size()) > 0) {
  }
  ASSERT_EQ(fcntl(output.mWriter, F_SETFL, 0), 0);
  SpawnedGateway gateway{ file.Path(), output.mWriter };
  EXPECT_EQ(Get(settings.mReadyListen, "/healthz").substr(0, 9), "HTTP/1.1 ");
  EXPECT_EQ(Get(settings.mListen, "/any").substr(0, 9), "HTTP/1.1 ");
  gateway.Signal(SIGTERM);
  constexpr int kStopMs = 10000;
  EXPECT_EQ(gateway.WaitForExit(kStopMs), 0);
}

} // namespace cactusgw::test
