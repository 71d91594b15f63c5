#ifndef CACTUSGW_TESTS_SOAK_STORE_STANDIN_HPP
#define CACTUSGW_TESTS_SOAK_STORE_STANDIN_HPP

/// The platform's store: versions, watches that wait, conditional writes, and
/// faults. Thread-safe.

#include "channel.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw::soak {

enum class StoreFault
{
  None,
  /// Each connection is reset at its next call.
  Reset,
  /// Calls are read and never answered.
  Silent,
  /// Calls wait for a second first.
  Slow,
  /// Writes take effect and their connections are closed.
  LosesAnswers,
  /// Answers are bytes that are no HTTP.
  Garbage,
  /// Watches of all earlier versions are refused.
  Forgets,
  /// All calls are answered 503.
  Refuses,
  /// Every other call is reset.
  HalfAway,
};

class StoreStandin
{
public:
  /// Addresses that are shown to a caller in place of others.
  using Rewrites = std::vector<std::pair<std::string, std::string>>;

  /// Opens a port that shows the objects with the rewrites.
  int Open(const Rewrites& aRewrites);
  void SetFault(StoreFault aFault) { mFault = aFault; }
  void Put(std::string_view aKind,
           std::string_view aName,
           std::string_view aSpecification);
  void Delete(std::string_view aKind, std::string_view aName);

private:
  struct Object
  {
    std::string mSpecification;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };
  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    std::string mText;
  };
  struct Answer
  {
    int mStatus = 200;
    std::string mBody = "{}";
  };
  using Lock = std::unique_lock<std::mutex>;

  static std::string TextOf(std::string_view aName, const Object& aObject);
  void PutLocked(const std::string& aKind,
                 const std::string& aName,
                 std::string_view aSpecification);
  void DeleteLocked(const std::string& aKind, const std::string& aName);
  void AddEvent(const std::string& aKind,
                const std::string& aName,
                const Object& aObject,
                bool aIsTombstone);
  void Serve(Channel& aChannel, const Rewrites& aRewrites);
  /// Whether the call goes on.
  bool ApplyFaultBefore(Channel& aChannel);
  Answer Handle(const Message& aRequest);
  Answer Read(Lock& aLock,
              const std::string& aKind,
              const std::string& aName,
              const std::string& aTarget);
  Answer Watch(Lock& aLock,
               const std::string& aKind,
               const std::string& aTarget);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::deque<Event> mEvents;
  std::uint64_t mRevision = 100;
  std::atomic<StoreFault> mFault = StoreFault::None;
  std::atomic<unsigned> mCalls = 0;
  std::vector<std::unique_ptr<Listener>> mListeners;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_STORE_STANDIN_HPP
