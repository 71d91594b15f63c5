#include "store_standin.hpp"

#include "soak_documents.hpp"

#include <chrono>
#include <cstdlib>

namespace cactusgw::soak {

namespace {

constexpr long kNever = 1'000'000'000;
constexpr long kSlowMs = 1000;
constexpr std::size_t kHistory = 20'000;

std::string
QueryOf(const std::string& aTarget, const std::string& aName)
{
  const std::size_t query = aTarget.find('?');
  const std::size_t at = aTarget.find(aName + "=", query);
  if (query == std::string::npos || at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

std::string
SpecificationOf(const std::string& aBody)
{
  constexpr std::string_view kName = "\"specification\":";
  const std::size_t at = aBody.find(kName);
  return at == std::string::npos
           ? "null"
           : aBody.substr(at + kName.size(),
                          aBody.rfind('}') - at - kName.size());
}

std::string
NameOf(const std::string& aBody)
{
  constexpr std::string_view kName = "\"name\":\"";
  const std::size_t begin = aBody.find(kName) + kName.size();
  return aBody.substr(begin, aBody.find('"', begin) - begin);
}

/// The revision that a write is conditional on; zero if there is none.
std::uint64_t
ConditionOf(const Message& aRequest)
{
  constexpr std::string_view kName = "\"revision\":";
  const std::string query = QueryOf(aRequest.Target(), "revision");
  if (!query.empty()) {
    return std::strtoull(query.c_str(), nullptr, 10);
  }
  const std::size_t at = aRequest.mBody.find(kName);
  const std::size_t specification = aRequest.mBody.find("\"specification\"");
  if (at == std::string::npos || at > specification) {
    return 0;
  }
  return std::strtoull(&aRequest.mBody[at + kName.size()], nullptr, 10);
}

void
Replace(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  std::size_t at = 0;
  while ((at = aText.find(aFrom, at)) != std::string::npos) {
    aText.replace(at, aFrom.size(), aTo);
    at += aTo.size();
  }
}

} // namespace

int
StoreStandin::Open(const Rewrites& aRewrites)
{
  mListeners.push_back(std::make_unique<Listener>(
    [this, aRewrites](Channel& aChannel) { Serve(aChannel, aRewrites); }));
  return mListeners.back()->Port();
}

void
StoreStandin::Put(std::string_view aKind,
                  std::string_view aName,
                  std::string_view aSpecification)
{
  const std::lock_guard lock{ mMutex };
  PutLocked(std::string{ aKind }, std::string{ aName }, aSpecification);
}

void
StoreStandin::Delete(std::string_view aKind, std::string_view aName)
{
  const std::lock_guard lock{ mMutex };
  DeleteLocked(std::string{ aKind }, std::string{ aName });
}

std::string
StoreStandin::TextOf(std::string_view aName, const Object& aObject)
{
  return R"({"metadata":{"name":")" + std::string{ aName } +
         R"(","revision":)" + std::to_string(aObject.mRevision) +
         R"(,"created":)" + std::to_string(aObject.mCreated) +
         R"(,"finalizers":[],"deleting":false},"specification":)" +
         aObject.mSpecification + R"(,"status":null})";
}

void
StoreStandin::PutLocked(const std::string& aKind,
                        const std::string& aName,
                        std::string_view aSpecification)
{
  Object& object = mObjects[aKind][aName];
  if (object.mSpecification == aSpecification) {
    return;
  }
  object.mRevision = ++mRevision;
  object.mCreated = object.mCreated == 0 ? mRevision : object.mCreated;
  object.mSpecification = aSpecification;
  AddEvent(aKind, aName, object, false);
}

void
StoreStandin::DeleteLocked(const std::string& aKind, const std::string& aName)
{
  const auto it = mObjects[aKind].find(aName);
  if (it == mObjects[aKind].end()) {
    return;
  }
  it->second.mRevision = ++mRevision;
  AddEvent(aKind, aName, it->second, true);
  mObjects[aKind].erase(it);
}

void
StoreStandin::AddEvent(const std::string& aKind,
                       const std::string& aName,
                       const Object& aObject,
                       bool aIsTombstone)
{
  mEvents.push_back({ mRevision,
                      aKind,
                      std::string{ R"({"tombstone":)" } +
                        (aIsTombstone ? "true" : "false") + R"(,"object":)" +
                        TextOf(aName, aObject) + "}" });
  if (mEvents.size() > kHistory) {
    mEvents.pop_front();
  }
  mChanged.notify_all();
}

void
StoreStandin::Serve(Channel& aChannel, const Rewrites& aRewrites)
{
  while (true) {
    const std::optional<Message> request = aChannel.Read(kNever, false);
    if (!request || !request->mIsWhole || !ApplyFaultBefore(aChannel)) {
      return;
    }
    Answer answer =
      mFault == StoreFault::Refuses ? Answer{ 503, "{}" } : Handle(*request);
    for (const auto& [from, to] : aRewrites) {
      Replace(answer.mBody, from, to);
    }
    const bool isLost =
      mFault == StoreFault::LosesAnswers && request->Method() != "GET";
    if (isLost || mFault == StoreFault::Reset ||
        !aChannel.Send("HTTP/1.1 " + std::to_string(answer.mStatus) +
                       " X\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(answer.mBody.size()) + "\r\n\r\n" +
                       answer.mBody)) {
      return;
    }
  }
}

bool
StoreStandin::ApplyFaultBefore(Channel& aChannel)
{
  const unsigned call = ++mCalls;
  switch (mFault.load()) {
    case StoreFault::Reset:
      aChannel.Reset();
      return false;
    case StoreFault::HalfAway:
      if (call % 2 == 0) {
        aChannel.Reset();
        return false;
      }
      return true;
    case StoreFault::Silent:
      while (mFault == StoreFault::Silent) {
        SleepMs(20);
      }
      return false;
    case StoreFault::Slow:
      SleepMs(kSlowMs);
      return true;
    case StoreFault::Garbage:
      static_cast<void>(aChannel.Send("HTTP/1.1 2O0 \r\nContent-Length: "
                                      "-7\r\n\x01\xff\r\n\r\n{\"items\":[{"));
      return false;
    default:
      return true;
  }
}

StoreStandin::Answer
StoreStandin::Handle(const Message& aRequest)
{
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  constexpr std::string_view kPrefix = "/v1/objects/";
  if (path.compare(0, kPrefix.size(), kPrefix) != 0) {
    return { 404 };
  }
  const std::string rest = path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
    slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
  Lock lock{ mMutex };
  if (aRequest.Method() == "GET") {
    return Read(lock, kind, name, target);
  }
  std::map<std::string, Object>& objects = mObjects[kind];
  if (aRequest.Method() == "POST") {
    const std::string created = NameOf(aRequest.mBody);
    if (objects.count(created) > 0) {
      return { 409, TextOf(created, objects[created]) };
    }
    PutLocked(kind, created, SpecificationOf(aRequest.mBody));
    return { 200, TextOf(created, objects[created]) };
  }
  const auto it = objects.find(name);
  if (it == objects.end()) {
    return { 404 };
  }
  const std::uint64_t condition = ConditionOf(aRequest);
  if (condition != 0 && condition != it->second.mRevision) {
    return { 409, TextOf(name, it->second) };
  }
  if (aRequest.Method() == "PUT") {
    PutLocked(kind, name, SpecificationOf(aRequest.mBody));
    return { 200, TextOf(name, objects[name]) };
  }
  DeleteLocked(kind, name);
  return {};
}

StoreStandin::Answer
StoreStandin::Read(Lock& aLock,
                   const std::string& aKind,
                   const std::string& aName,
                   const std::string& aTarget)
{
  const std::map<std::string, Object>& objects = mObjects[aKind];
  if (!aName.empty()) {
    const auto it = objects.find(aName);
    return it == objects.end() ? Answer{ 404 }
                               : Answer{ 200, TextOf(aName, it->second) };
  }
  if (!QueryOf(aTarget, "watch").empty()) {
    return Watch(aLock, aKind, aTarget);
  }
  std::string items;
  for (const auto& [name, object] : objects) {
    items += (items.empty() ? "" : ",") + TextOf(name, object);
  }
  return { 200, ListText(items, mRevision) };
}

StoreStandin::Answer
StoreStandin::Watch(Lock& aLock,
                    const std::string& aKind,
                    const std::string& aTarget)
{
  const std::uint64_t since =
    std::strtoull(QueryOf(aTarget, "watch").c_str(), nullptr, 10);
  if (mFault == StoreFault::Forgets && since < mRevision) {
    return { 410 };
  }
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds{ std::strtol(
                       QueryOf(aTarget, "waitMs").c_str(), nullptr, 10) };
  while (true) {
    std::string events;
    for (const Event& event : mEvents) {
      if (event.mRevision > since && event.mKind == aKind) {
        events += (events.empty() ? "" : ",") + event.mText;
      }
    }
    if (!events.empty() ||
        mChanged.wait_until(aLock, until) == std::cv_status::timeout) {
      return { 200, WatchText(events, mRevision) };
    }
  }
}

} // namespace cactusgw::soak
