#include "cactusgw/core/byte_budget.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cactusgw {

ByteBudgetSizes
ByteBudgetSizes::ForProcess(std::size_t aMemoryBytes)
{
  /// Code, libraries, tables and the buffers of messages between gateways.
  constexpr std::size_t kProcessBytes = std::size_t{ 24 } * 1024 * 1024;
  constexpr std::size_t kSmallestFraction = 8;
  const std::size_t spare = aMemoryBytes / 10;
  // Frames, buffers and headers of connections, which are not counted one by
  // one.
  const std::size_t connections = aMemoryBytes / 5;
  const std::size_t others = kProcessBytes + spare + connections;
  const std::size_t left = aMemoryBytes > others ? aMemoryBytes - others : 0;
  const std::size_t capacity = std::max(left, aMemoryBytes / kSmallestFraction);
  return { capacity, capacity / 8 };
}

std::shared_ptr<ByteBudget>
ByteBudget::Create(ByteBudgetSizes aSizes)
{
  return std::shared_ptr<ByteBudget>{ new ByteBudget{ aSizes } };
}

std::shared_ptr<ByteBudget>
ByteBudget::Unlimited()
{
  return Create({ std::numeric_limits<std::size_t>::max(), 0 });
}

bool
ByteBudget::TryTake(std::size_t aBytes, bool aIsSmall)
{
  const std::size_t limit =
    mSizes.mCapacity - (aIsSmall ? 0 : mSizes.mSmallReserve);
  if (mUsed > limit || aBytes > limit - mUsed) {
    ++mRefusals;
    return false;
  }
  Take(aBytes);
  return true;
}

void
ByteBudget::Take(std::size_t aBytes)
{
  mUsed += aBytes;
  mPeak = std::max(mPeak, mUsed);
}

ByteReservation::ByteReservation(std::shared_ptr<ByteBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

ByteReservation::ByteReservation(ByteReservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

ByteReservation&
ByteReservation::operator=(ByteReservation&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool
ByteReservation::TryGrowTo(std::size_t aBytes)
{
  if (aBytes <= mBytes) {
    return true;
  }
  if (!mBudget->TryTake(aBytes - mBytes, aBytes <= ByteBudget::kSmallBytes)) {
    return false;
  }
  mBytes = aBytes;
  return true;
}

void
ByteReservation::GrowTo(std::size_t aBytes)
{
  if (aBytes > mBytes) {
    mBudget->Take(aBytes - mBytes);
    mBytes = aBytes;
  }
}

void
ByteReservation::Release()
{
  if (mBudget) {
    mBudget->Return(std::exchange(mBytes, 0));
  }
}

} // namespace cactusgw
