#ifndef CACTUSGW_TESTS_SOAK_SCHEDULE_HPP
#define CACTUSGW_TESTS_SOAK_SCHEDULE_HPP

/// The faults of a run, made from its seed alone.

#include <string>
#include <string_view>
#include <vector>

namespace cactusgw::soak {

enum class ActionKind
{
  /// SIGTERM; the process is started again mDurationMs after its end.
  Terminate,
  /// SIGKILL; likewise.
  Kill,
  Freeze,
  Reload,
  /// A faulty settings file and SIGHUP; a sound one and SIGHUP at the end.
  OddSettings,
  Configuration,
  Store,
  StoreLink,
  PeerLink,
  UpstreamLink,
  UpstreamLeaves,
  UpstreamDrains,
  UpstreamStartsAgain,
  /// Bytes that mean nothing, to the ports beside the clients'.
  Noise,
};

struct Action
{
  long mAtMs = 0;
  ActionKind mKind = ActionKind::Reload;
  /// Number of the gateway or upstream.
  int mTarget = 0;
  long mDurationMs = 0;
  /// Which of the kind's variants.
  unsigned mVariant = 0;
};

enum class Profile
{
  /// Work that is planned, and nothing else.
  Planned,
  /// Besides, upstreams, the store and odd input.
  Partners,
  /// All faults.
  All,
};

struct ScheduleOptions
{
  unsigned mSeed = 1;
  Profile mProfile = Profile::All;
  /// First and last moment of an action.
  long mBeginMs = 0;
  long mEndMs = 0;
  int mGateways = 3;
  int mUpstreams = 6;
};

std::vector<Action> MakeSchedule(const ScheduleOptions& aOptions);
std::string_view NameOf(ActionKind aKind);
std::string TextOf(const Action& aAction);

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_SCHEDULE_HPP
