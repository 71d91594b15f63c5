#include "checkers.hpp"
#include "soak_client.hpp"
#include "soak_documents.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

namespace cactusgw::soak {

namespace {

constexpr long kNever = 1'000'000'000;

/// What a faulty gateway says to a request for a response of some bytes.
using FaultyAnswer =
  std::function<std::string(const std::string&, const Work&)>;

/// Has a client send requests until the stand-in has answered so many, and
/// returns what was seen.
Records
Talk(const FaultyAnswer& aAnswer, int aRequests)
{
  static std::vector<std::unique_ptr<Listener>> listeners;
  // Kept until the program ends, as the listener's threads are.
  static Ledger* ledger = nullptr;
  ledger = new Ledger;
  static std::atomic<int> answered = 0;
  answered = 0;
  listeners.push_back(std::make_unique<Listener>([aAnswer](Channel& aChannel) {
    while (true) {
      const std::optional<Message> request = aChannel.Read(kNever, false);
      if (!request || !request->mIsWhole) {
        return;
      }
      const std::string id = request->Header(RequestIdName());
      const bool isSent =
        aChannel.Send(aAnswer(id, Work::FromPath(request->Target())));
      ++answered;
      if (!isSent) {
        return;
      }
    }
  }));
  std::atomic<bool> isOver = false;
  ClientOptions options;
  options.mFronts = { listeners.back()->Port() };
  std::thread client{ [&] { SoakClient{ *ledger, options, isOver }.Run(); } };
  while (answered < aRequests) {
    std::this_thread::yield();
  }
  isOver = true;
  client.join();
  return ledger->Copy();
}

std::string
Answer(const std::string& aId, const std::string& aBody)
{
  return AnswerHeader(aId, 200) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST(SoakClientTest, FindsNothingWrongWithRightResponses)
{
  const Records records = Talk(
    [](const std::string& aId, const Work& aWork) {
      return Answer(aId, BodyOf(aId, aWork.mBytes));
    },
    5);
  EXPECT_THAT(FindMixed(records), testing::IsEmpty());
}

TEST(SoakClientTest, FindsTheResponseOfAnotherRequest)
{
  const Records records = Talk(
    [](const std::string&, const Work& aWork) {
      return Answer("other", BodyOf("other", aWork.mBytes));
    },
    3);
  EXPECT_THAT(FindMixed(records), testing::SizeIs(testing::Ge(3)));
}

TEST(SoakClientTest, FindsACutBodyThatIsShownAsWhole)
{
  const Records records = Talk(
    [](const std::string& aId, const Work& aWork) {
      return Answer(aId, BodyOf(aId, aWork.mBytes / 2));
    },
    3);
  EXPECT_THAT(FindMixed(records), testing::SizeIs(testing::Ge(3)));
}

} // namespace cactusgw::soak
