#include "cactusgw/core/allowed_regions.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactusgw {

AllowedRegions
AllowedRegions::Only(std::vector<std::string> aRegions)
{
  std::sort(aRegions.begin(), aRegions.end());
  aRegions.erase(std::unique(aRegions.begin(), aRegions.end()), aRegions.end());
  AllowedRegions allowed;
  allowed.mRegions = std::move(aRegions);
  return allowed;
}

AllowedRegions
AllowedRegions::Unreadable()
{
  AllowedRegions allowed = Only({});
  allowed.mIsReadable = false;
  return allowed;
}

bool
AllowedRegions::Allows(std::string_view aRegion) const
{
  return !mRegions ||
         std::binary_search(mRegions->begin(), mRegions->end(), aRegion);
}

AllowedRegions
AllowedRegions::Intersect(const AllowedRegions& aOther) const
{
  if (!mIsReadable || !aOther.mIsReadable) {
    return Unreadable();
  }
  if (!mRegions || !aOther.mRegions) {
    return mRegions ? *this : aOther;
  }
  AllowedRegions both = Only({});
  std::set_intersection(mRegions->begin(),
                        mRegions->end(),
                        aOther.mRegions->begin(),
                        aOther.mRegions->end(),
                        std::back_inserter(*both.mRegions));
  return both;
}

std::string
AllowedRegions::Text() const
{
  constexpr std::size_t kMaxListed = 8;
  if (!mRegions) {
    return "any";
  }
  if (mRegions->empty()) {
    return mIsReadable ? "none" : "unreadable";
  }
  std::string text;
  const std::size_t listed = std::min(mRegions->size(), kMaxListed);
  for (std::size_t i = 0; i < listed; ++i) {
    text += (i == 0 ? "" : ",") + (*mRegions)[i];
  }
  return listed < mRegions->size() ? text + ",..." : text;
}

} // namespace cactusgw
