#include "cactusgw/programs/event_loop.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace cactusgw::test {

// A periodic function that throws once must not be gone for good: all that it
// would have done later is lost, and no line says so.
TEST(EventLoopTest, APeriodicFunctionThatThrowsIsCalledAgain)
{
  constexpr int kCalls = 3;
  boost::asio::io_context context{ 1 };
  int calls = 0;
  RunEvery(
    context,
    [] { return Milliseconds{ 1 }; },
    [&calls] {
      ++calls;
      if (calls < kCalls) {
        throw std::runtime_error{ "an unexpected error" };
      }
      return false;
    });
  context.run();
  EXPECT_EQ(calls, kCalls);
}

} // namespace cactusgw::test
