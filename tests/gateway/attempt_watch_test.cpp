/// Guards against a timer that calls into a request that has ended.

#include "cactusgw/gateway/attempt_watch.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cactusgw::test {

// The handler that destroys the watch runs after the timer has expired.
TEST(AttemptWatchTest, IsSilentAfterItsEndAlsoWhenTheCallIsQueued)
{
  net::io_context context{ 1 };
  int calls = 0;
  const Instant due = SteadyNow();
  const AttemptWatch::OnDue count = [&]() -> std::optional<Instant> {
    ++calls;
    return std::nullopt;
  };
  std::optional<AttemptWatch> first;
  std::optional<AttemptWatch> second;
  // Either of the two ends the other, whichever is called first.
  first.emplace(context.get_executor(), due, [&] {
    second.reset();
    return count();
  });
  second.emplace(context.get_executor(), due, [&] {
    first.reset();
    return count();
  });
  context.run();
  EXPECT_EQ(calls, 1);
}

TEST(AttemptWatchTest, CallsAgainUntilItsFunctionHasNoNextTime)
{
  net::io_context context{ 1 };
  int calls = 0;
  const AttemptWatch watch{ context.get_executor(),
                            SteadyNow(),
                            [&]() -> std::optional<Instant> {
                              ++calls;
                              return calls < 3 ? std::optional{ SteadyNow() }
                                               : std::nullopt;
                            } };
  context.run();
  EXPECT_EQ(calls, 3);
}

} // namespace cactusgw::test
