#include "cactusgw/telemetry/recorder.hpp"
#include "cactusgw/timeline/timeline.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cactusgw {
namespace {

TEST(Timeline, OrdersCauseBeforeEffectOverProcesses)
{
  EventRecorder sender{ "z-sender" };
  EventRecorder receiver{ "a-receiver" };
  sender.Record(EventKind::RequestReceived, "r1", "");
  receiver.Observe(sender.Tick());
  receiver.Record(EventKind::RequestAdmitted, "r1", "u1");
  sender.Observe(receiver.Tick());
  sender.Record(EventKind::RequestSent, "r1", "u1");
  Timeline timeline;
  EXPECT_EQ(timeline.Add(receiver.WriteJsonLines()), 0U);
  EXPECT_EQ(timeline.Add(sender.WriteJsonLines()), 0U);
  std::vector<std::string> kinds;
  for (const TimelineEvent& event : timeline.Ordered()) {
    kinds.push_back(event.mKind);
  }
  const std::vector<std::string> expected{ "request-received",
                                           "request-admitted",
                                           "request-sent" };
  EXPECT_EQ(kinds, expected);
}

TEST(Timeline, FollowsOneRequest)
{
  EventRecorder recorder{ "p" };
  recorder.Record(EventKind::RequestSent, "r1", "");
  recorder.Record(EventKind::RequestSent, "r2", "");
  Timeline timeline;
  timeline.Add(recorder.WriteJsonLines());
  timeline.KeepRequest("r2");
  ASSERT_EQ(timeline.Ordered().size(), 1U);
  EXPECT_EQ(timeline.Ordered()[0].mRequest, "r2");
}

TEST(Timeline, CountsMalformedLinesAndGoesOn)
{
  Timeline timeline;
  EXPECT_EQ(timeline.Add("nonsense\n{}\n"), 2U);
  EXPECT_TRUE(timeline.Ordered().empty());
}

} // namespace
} // namespace cactusgw
