#include "brittle_standin.hpp"

#include "soak_documents.hpp"

#include <sys/socket.h>
#include <thread>
#include <utility>

namespace cactusgw::soak {

namespace {

constexpr long kNever = 1'000'000'000;
constexpr long kCountedMs = 1000;

} // namespace

BrittleStandin::BrittleStandin(StoreStandin& aStore,
                               std::string aName,
                               std::string aService,
                               const BrittleOptions& aOptions)
  : mStore(aStore)
  , mName(std::move(aName))
  , mService(std::move(aService))
  , mOptions(aOptions)
  , mListener([this](Channel& aChannel) { Serve(aChannel); })
{
  Register();
}

BrittleCounts
BrittleStandin::Counts() const
{
  const std::lock_guard lock{ mMutex };
  return mCounts;
}

void
BrittleStandin::Register()
{
  mStore.Put("servers",
             mName,
             UpstreamText(mService,
                          AddressOf(mListener.Port()),
                          "ready",
                          mBorn,
                          1,
                          "v1",
                          mOptions.mSlots));
}

void
BrittleStandin::Serve(Channel& aChannel)
{
  {
    const std::lock_guard lock{ mMutex };
    if (mIsAway) {
      aChannel.Reset();
      return;
    }
    mChannels.insert(&aChannel);
  }
  bool isKept = true;
  while (isKept) {
    const std::optional<Message> request = aChannel.Read(kNever, false);
    isKept = request && request->mIsWhole && Answer(*request, aChannel);
  }
  const std::lock_guard lock{ mMutex };
  mChannels.erase(&aChannel);
}

bool
BrittleStandin::Answer(const Message& aRequest, Channel& aChannel)
{
  const std::string id = aRequest.Header(RequestIdName());
  const std::string stated =
    mIsStating ? BrittleHeader(mOptions.mBearable) : std::string{};
  if (aRequest.Header(ExpectedUpstreamName()) != mName) {
    return aChannel.Send(RefusalText(id, 421));
  }
  std::unique_lock lock{ mMutex };
  const int boot = mBoot;
  const int places = mIsBrittle ? mOptions.mFewWaiting : mOptions.mWaiting;
  if (mRunning >= mOptions.mSlots && mWaiting >= places) {
    if (FallsWith(NowMs())) {
      Fall();
      return false;
    }
    lock.unlock();
    std::string text = RefusalText(id, 503);
    return aChannel.Send(text.insert(text.find("\r\n") + 2, stated));
  }
  ++mWaiting;
  mFreed.wait(lock,
              [&] { return mRunning < mOptions.mSlots || mBoot != boot; });
  if (mBoot != boot) {
    return false;
  }
  --mWaiting;
  ++mRunning;
  lock.unlock();
  SleepMs(mOptions.mWorkMs);
  lock.lock();
  if (mBoot != boot) {
    return false;
  }
  --mRunning;
  ++mCounts.mServed;
  mFreed.notify_one();
  lock.unlock();
  return aChannel.Send(AnswerHeader(id, 200) + stated +
                       "Content-Length: 2\r\n\r\nok");
}

bool
BrittleStandin::FallsWith(long aNowMs)
{
  ++mCounts.mTurnedAway;
  mTurnedAwayAt.push_back(aNowMs);
  while (aNowMs - mTurnedAwayAt.front() >= kCountedMs) {
    mTurnedAwayAt.pop_front();
  }
  return mIsBrittle &&
         mTurnedAwayAt.size() > static_cast<std::size_t>(mOptions.mBearable);
}

void
BrittleStandin::Fall()
{
  ++mCounts.mFalls;
  ++mBoot;
  mIsAway = true;
  mRunning = 0;
  mWaiting = 0;
  mTurnedAwayAt.clear();
  for (Channel* const channel : mChannels) {
    shutdown(channel->Fd(), SHUT_RDWR);
  }
  mFreed.notify_all();
  std::thread{
    [this] {
      SleepMs(mOptions.mAwayMs);
      const std::lock_guard lock{ mMutex };
      mIsAway = false;
      mBorn += NowMs() + 1;
      Register();
    }
  }.detach();
}

} // namespace cactusgw::soak
