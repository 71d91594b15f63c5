#include "schedule.hpp"

#include <algorithm>
#include <random>

namespace cactusgw::soak {

namespace {

const std::vector<ActionKind>&
KindsOf(Profile aProfile)
{
  using enum ActionKind;
  static const std::vector<ActionKind> planned = {
    Terminate, Terminate, Reload, Reload, Configuration
  };
  static const std::vector<ActionKind> partners = {
    Terminate,      Terminate, Reload,         Configuration,
    Configuration,  Store,     OddSettings,    UpstreamStartsAgain,
    UpstreamLeaves, Noise,     UpstreamDrains,
  };
  static const std::vector<ActionKind> all = {
    Terminate,      Terminate,
    Kill,           Freeze,
    Reload,         OddSettings,
    Configuration,  Store,
    StoreLink,      PeerLink,
    PeerLink,       UpstreamLink,
    Noise,          UpstreamStartsAgain,
    UpstreamLeaves, UpstreamDrains,
  };
  switch (aProfile) {
    case Profile::Planned:
      return planned;
    case Profile::Partners:
      return partners;
    default:
      return all;
  }
}

bool
IsOfUpstream(ActionKind aKind)
{
  return aKind == ActionKind::UpstreamLink ||
         aKind == ActionKind::UpstreamLeaves ||
         aKind == ActionKind::UpstreamDrains ||
         aKind == ActionKind::UpstreamStartsAgain;
}

class Maker
{
public:
  explicit Maker(const ScheduleOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  std::vector<Action> Make()
  {
    const std::vector<ActionKind>& kinds = KindsOf(mOptions.mProfile);
    const int pauseMs = 2400 / mOptions.mGateways + 200;
    long at = mOptions.mBeginMs;
    while (at < mOptions.mEndMs) {
      Action action;
      action.mAtMs = at;
      action.mKind = kinds[Random(kinds.size())];
      action.mTarget = static_cast<int>(Random(static_cast<std::size_t>(
        IsOfUpstream(action.mKind) ? mOptions.mUpstreams
                                   : mOptions.mGateways)));
      action.mDurationMs = DurationOf(action.mKind);
      action.mVariant = static_cast<unsigned>(mRandom());
      Add(action);
      at += static_cast<long>(Random(static_cast<std::size_t>(pauseMs) * 2));
    }
    std::stable_sort(mActions.begin(),
                     mActions.end(),
                     [](const Action& aOne, const Action& aOther) {
                       return aOne.mAtMs < aOther.mAtMs;
                     });
    return std::move(mActions);
  }

private:
  std::size_t Random(std::size_t aBelow) { return mRandom() % aBelow; }

  long DurationOf(ActionKind aKind)
  {
    switch (aKind) {
      case ActionKind::Terminate:
      case ActionKind::Kill:
        return Random(2) == 0 ? 0 : static_cast<long>(Random(2500));
      case ActionKind::Freeze:
        return static_cast<long>(200 + Random(4000));
      default:
        return static_cast<long>(300 + Random(3000));
    }
  }

  /// Bursts and overlaps of what operators do in series.
  void Add(Action aAction)
  {
    std::size_t repeats = 1;
    long gapMs = 0;
    if (aAction.mKind == ActionKind::Reload ||
        aAction.mKind == ActionKind::Configuration) {
      repeats = 1 + Random(12);
      gapMs = static_cast<long>(Random(70));
    } else if (aAction.mKind == ActionKind::Terminate && Random(3) == 0) {
      repeats = 2;
      gapMs = static_cast<long>(Random(3000));
    }
    for (std::size_t i = 0; i < repeats; ++i) {
      mActions.push_back(aAction);
      aAction.mAtMs += gapMs;
      aAction.mVariant += 1;
      if (aAction.mKind == ActionKind::Terminate) {
        aAction.mTarget = (aAction.mTarget + 1) % mOptions.mGateways;
      }
    }
  }

  ScheduleOptions mOptions;
  std::mt19937 mRandom;
  std::vector<Action> mActions;
};

} // namespace

std::vector<Action>
MakeSchedule(const ScheduleOptions& aOptions)
{
  return Maker{ aOptions }.Make();
}

std::string_view
NameOf(ActionKind aKind)
{
  constexpr std::string_view kNames[] = {
    "terminate",      "kill",          "freeze",          "reload",
    "odd-settings",   "configuration", "store",           "store-link",
    "peer-link",      "upstream-link", "upstream-leaves", "upstream-drains",
    "upstream-again", "noise",
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

std::string
TextOf(const Action& aAction)
{
  return std::to_string(aAction.mAtMs) + " ms " +
         std::string{ NameOf(aAction.mKind) } + " " +
         std::to_string(aAction.mTarget) + " for " +
         std::to_string(aAction.mDurationMs) + " ms, variant " +
         std::to_string(aAction.mVariant);
}

} // namespace cactusgw::soak
