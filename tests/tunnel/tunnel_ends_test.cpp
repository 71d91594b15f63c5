#include "cactusgw/tunnel/tunnel_ends.hpp"

#include <gtest/gtest.h>

namespace cactusgw::test {

// An end that is told of another tunnel, too late, or at the cost of memory.
TEST(TunnelEndsTest, RemembersTheLastEndsForAWhile)
{
  TunnelEnds ends = TunnelEnds::Create();
  const Instant start{ Milliseconds{ 1'000'000 } };
  const TunnelRequest first{ "vm-1", "0", {} };
  ends.Remember(first, TunnelEnd::ClosedByUpstream, start);
  EXPECT_EQ(ends.EndOf(first, start), TunnelEnd::ClosedByUpstream);
  EXPECT_EQ(ends.EndOf({ "vm-2", "0", {} }, start), TunnelEnd::Unknown);
  EXPECT_EQ(ends.EndOf({ "vm-1", "1", {} }, start), TunnelEnd::Unknown);
  const Instant last = start + TunnelEnds::kMemoryTime;
  EXPECT_EQ(ends.EndOf(first, last), TunnelEnd::ClosedByUpstream);
  EXPECT_EQ(ends.EndOf(first, last + Milliseconds{ 1 }), TunnelEnd::Unknown);
  for (std::size_t n = 1; n <= TunnelEnds::kMaxEnds; ++n) {
    ends.Remember(
      { "vm-1", std::to_string(n), {} }, TunnelEnd::ClosedByCarrier, start);
  }
  EXPECT_EQ(ends.EndOf(first, start), TunnelEnd::Unknown);
  EXPECT_EQ(ends.EndOf({ "vm-1", "1", {} }, start), TunnelEnd::ClosedByCarrier);
}

} // namespace cactusgw::test
