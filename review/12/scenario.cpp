/// Replicas are replaced one after the other after open channels to the store
/// have gone silent.

#include "review/harness-3/standins.hpp"

#include <list>

using namespace review;

namespace {

constexpr std::int64_t kDrainMs = 2500;
/// Requests of consumers that count, beyond the bound: a margin for the
/// stand-ins' own clocks.
constexpr std::int64_t kMarginMs = 100;
/// How much longer than drainMs a replica goes on serving.
constexpr std::int64_t kLittleLongerMs = 400;
constexpr std::int64_t kSilenceFromMs = 8000;
/// From here on after the channels went silent, replicas are replaced. The
/// machines are in touch again after 4 s.
constexpr std::int64_t kReleaseAfterMs = 5000;
constexpr std::int64_t kReleaseEachMs = 700;
constexpr int kReplaced = 12;
/// When the first replica of the release joins, after a watch of a gateway
/// began: one of the moments at which a release may begin.
constexpr std::int64_t kFirstAfterMs = 700;

struct Member
{
  explicit Member(const std::string& aId)
    : mReplica(aId, "dossier-app", "127.0.0.21")
  {
  }

  Replica mReplica;
  std::int64_t mGoneMs = -1;
  bool mHasExited = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  int result = kCouldNotRun;
  {
    Store store("127.0.0.20");
    store.Put("config", "main", Configuration(1, 0));
    std::list<Member> members;
    std::string version = "v1";
    const auto join = [&] {
      const std::string id = "i-app-" + std::to_string(members.size());
      Member& member = members.emplace_back(id);
      member.mReplica.mWorkMs = 200;
      member.mReplica.mSlots = 6;
      member.mReplica.mVersion = version;
      member.mReplica.Start();
      store.Put("servers", id, member.mReplica.Entry());
    };
    for (int n = 0; n < 3; ++n) {
      join();
    }
    GatewayProcess one(
      "front-a-1", "127.0.0.22", "gent-a", store.Address(), folder.Path());
    GatewayProcess two(
      "front-a-2", "127.0.0.23", "gent-a", store.Address(), folder.Path());
    one.Start();
    two.Start();
    if (!one.WaitUntilReady(6000) || !two.WaitUntilReady(6000)) {
      record.Line("a gateway did not become ready");
      return kCouldNotRun;
    }
    Traffic traffic(60, [&](std::uint64_t n) {
      return Ask(n % 2 == 0 ? one : two,
                 "POST",
                 "/submit/notification",
                 "submit-" + std::to_string(n),
                 4000,
                 "",
                 "notification " + std::to_string(n));
    });
    SleepUntilMs(kSilenceFromMs);
    // The release of version v2 begins with its first replica.
    const auto waitForWatch = [&](std::int64_t aAfterMs) {
      while (store.LastWatchMs("evacuations") <= aAfterMs) {
        SleepMs(5);
      }
      return store.LastWatchMs("evacuations");
    };
    const std::int64_t watched = waitForWatch(NowMs());
    SleepUntilMs(watched + kFirstAfterMs);
    version = "v2";
    join();
    waitForWatch(watched);
    SleepMs(50);
    const std::int64_t releaseFrom = NowMs() + kReleaseAfterMs;
    if (HasTrouble()) {
      store.SilenceOpenChannels();
      record.Line("all open channels to the store go silent");
    }
    auto next = members.begin();
    const std::int64_t end =
      releaseFrom + kReplaced * kReleaseEachMs + kDrainMs + 2000;
    int replaced = 0;
    while (NowMs() < end) {
      SleepMs(10);
      if (replaced < kReplaced &&
          NowMs() >= releaseFrom + replaced * kReleaseEachMs) {
        join();
        SleepMs(100);
        next->mGoneMs = NowMs();
        store.Remove("servers", next->mReplica.mId);
        record.Line("the entry of %s is removed", next->mReplica.mId.c_str());
        ++next;
        ++replaced;
      }
      for (Member& member : members) {
        if (!member.mHasExited && member.mGoneMs >= 0 &&
            NowMs() >= member.mGoneMs + kDrainMs + kLittleLongerMs) {
          member.mHasExited = true;
          member.mReplica.Crash();
          record.Line("%s exits", member.mReplica.mId.c_str());
        }
      }
    }
    traffic.Stop();
    const std::vector<Answer> answers = traffic.Answers();
    std::map<std::string, const Answer*> byId;
    int served = 0;
    for (const Answer& answer : answers) {
      byId[answer.mRequestId] = &answer;
      served += answer.mStatus == 200 && answer.mIsComplete;
    }
    int late = 0;
    int lost = 0;
    std::int64_t latest = 0;
    for (Member& member : members) {
      for (const Run& run : member.mReplica.Runs()) {
        const auto it = byId.find(run.mRequestId);
        if (it == byId.end() || member.mGoneMs < 0) {
          continue;
        }
        const std::int64_t after = it->second->mSentMs - member.mGoneMs;
        if (after <= kDrainMs + kMarginMs) {
          continue;
        }
        ++late;
        latest = std::max(latest, after);
        lost += !run.mIsDone;
        record.Line("%s, sent %.3f s after the entry of %s was removed, ran "
                    "there; answered %d",
                    run.mRequestId.c_str(),
                    static_cast<double>(after) / 1000.0,
                    member.mReplica.mId.c_str(),
                    it->second->mStatus);
      }
    }
    record.Line("requests %zu, served %d, replicas replaced %d",
                answers.size(),
                served,
                replaced);
    record.Line("requests sent later than drainMs after the removal that "
                "reached the replica: %d, the latest %.3f s after it; broken "
                "off by the replica's exit: %d",
                late,
                static_cast<double>(latest) / 1000.0,
                lost);
    const bool couldRun = one.IsRunning() && two.IsRunning() &&
                          served > static_cast<int>(answers.size()) / 2;
    result = late > 0 ? kBroken : (couldRun ? kHeld : kCouldNotRun);
    record.Line("%s", result == kBroken ? "DRAIN broken" : "DRAIN held");
  }
  return result;
}
