#include "cactusgw/gateway/stream_origins.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>

namespace cactusgw {

void
StreamOrigins::SetShared(std::set<std::string, std::less<>> aServices)
{
  if (aServices == mSharedServices) {
    return;
  }
  for (auto& [request, stream] : mStreams) {
    if (aServices.contains(stream.mService) &&
        !mSharedServices.contains(stream.mService)) {
      Share(request, stream);
    }
  }
  mSharedServices = std::move(aServices);
}

void
StreamOrigins::OnBegun(std::string_view aService,
                       std::string_view aRequestId,
                       std::string_view aVersion,
                       Instant aNow)
{
  const std::uint64_t request = StableHash(aRequestId);
  Add(request, { std::string{ aService }, std::string{ aVersion }, aNow, 0 });
  if (mSharedServices.contains(aService)) {
    Share(request, mStreams.at(request));
  }
}

void
StreamOrigins::Merge(const StreamOrigin& aOrigin, Instant aNow)
{
  const auto known = mStreams.find(aOrigin.mRequest);
  if (known != mStreams.end() || aNow - aOrigin.mBegunAt >= kLifetime ||
      aOrigin.mVersion.size() > kMaxNameBytes) {
    return;
  }
  Add(aOrigin.mRequest, { {}, aOrigin.mVersion, aOrigin.mBegunAt, 0 });
  Share(aOrigin.mRequest, mStreams.at(aOrigin.mRequest));
}

void
StreamOrigins::AddStored(const StreamOrigin& aOrigin, Instant aNow)
{
  if (!mStreams.contains(aOrigin.mRequest) &&
      aOrigin.mVersion.size() <= kMaxNameBytes) {
    Add(aOrigin.mRequest, { {}, aOrigin.mVersion, aNow, 0 });
  }
}

void
StreamOrigins::Expire(Instant aNow)
{
  while (!mByAge.empty() && aNow - mByAge.begin()->first >= kLifetime) {
    Forget(mByAge.begin()->second);
  }
}

std::optional<std::string>
StreamOrigins::VersionOf(std::string_view aRequestId) const
{
  const auto it = mStreams.find(StableHash(aRequestId));
  return it == mStreams.end() ? std::nullopt
                              : std::optional{ it->second.mVersion };
}

std::pair<std::vector<StreamOrigin>, std::uint64_t>
StreamOrigins::ChangedSince(std::uint64_t aVersion, std::size_t aMax) const
{
  std::vector<StreamOrigin> changed;
  std::uint64_t completeTo = mVersion;
  for (auto it = mShared.upper_bound(aVersion); it != mShared.end(); ++it) {
    if (changed.size() == aMax) {
      break;
    }
    const Stream& stream = mStreams.at(it->second);
    changed.push_back({ it->second, stream.mVersion, stream.mBegunAt });
    completeTo = changed.size() == aMax ? it->first : mVersion;
  }
  return { std::move(changed), completeTo };
}

void
StreamOrigins::Add(std::uint64_t aRequest, Stream aStream)
{
  Forget(aRequest);
  mByAge.emplace(aStream.mBegunAt, aRequest);
  mStreams.emplace(aRequest, std::move(aStream));
  if (mStreams.size() > kMaxStreams) {
    Forget(mByAge.begin()->second);
  }
}

void
StreamOrigins::Share(std::uint64_t aRequest, Stream& aStream)
{
  Unshare(aStream);
  aStream.mSharedAt = ++mVersion;
  mShared.emplace(mVersion, aRequest);
}

void
StreamOrigins::Unshare(const Stream& aStream)
{
  if (aStream.mSharedAt != 0) {
    mShared.erase(aStream.mSharedAt);
  }
}

void
StreamOrigins::Forget(std::uint64_t aRequest)
{
  const auto it = mStreams.find(aRequest);
  if (it == mStreams.end()) {
    return;
  }
  Unshare(it->second);
  mByAge.erase({ it->second.mBegunAt, aRequest });
  mStreams.erase(it);
}

} // namespace cactusgw
