#ifndef CACTUSGW_CORE_BYTE_BUDGET_HPP
#define CACTUSGW_CORE_BYTE_BUDGET_HPP

/// Bounds the memory of all requests and responses in progress together.

#include <cstddef>
#include <cstdint>
#include <memory>

namespace cactusgw {

struct ByteBudgetSizes
{
  std::size_t mCapacity = 0;
  /// Part of the capacity that only small reservations may use.
  std::size_t mSmallReserve = 0;

  /// What a process that may use this much memory in all has for what is in
  /// progress.
  static ByteBudgetSizes ForProcess(std::size_t aMemoryBytes);
};

/// Not thread-safe; lives as long as the last of its reservations.
class ByteBudget
{
public:
  /// Reservations up to this size are small.
  static constexpr std::size_t kSmallBytes = std::size_t{ 64 } * 1024;

  static std::shared_ptr<ByteBudget> Create(ByteBudgetSizes aSizes);
  static std::shared_ptr<ByteBudget> Unlimited();

  /// Reservations that exceed a smaller capacity stay.
  void Resize(ByteBudgetSizes aSizes) { mSizes = aSizes; }

  std::size_t Capacity() const { return mSizes.mCapacity; }
  std::size_t Used() const { return mUsed; }
  /// Maximum of Used since the start.
  std::size_t Peak() const { return mPeak; }
  /// Number of reservations that did not fit.
  std::uint64_t Refusals() const { return mRefusals; }

private:
  friend class ByteReservation;

  explicit ByteBudget(ByteBudgetSizes aSizes)
    : mSizes(aSizes)
  {
  }
  bool TryTake(std::size_t aBytes, bool aIsSmall);
  void Take(std::size_t aBytes);
  void Return(std::size_t aBytes) { mUsed -= aBytes; }

  ByteBudgetSizes mSizes;
  std::size_t mUsed = 0;
  std::size_t mPeak = 0;
  std::uint64_t mRefusals = 0;
};

/// Bytes of a budget, returned to it by the destructor.
class ByteReservation
{
public:
  explicit ByteReservation(std::shared_ptr<ByteBudget> aBudget);
  ~ByteReservation() { Release(); }
  ByteReservation(ByteReservation&& aOther) noexcept;
  ByteReservation& operator=(ByteReservation&& aOther) noexcept;

  std::size_t Bytes() const { return mBytes; }
  /// Grows to a total of this many bytes, or leaves the reservation as it is
  /// when the budget is short. Never shrinks.
  [[nodiscard]] bool TryGrowTo(std::size_t aBytes);
  /// The same beyond the capacity, for bytes that can't be refused.
  void GrowTo(std::size_t aBytes);
  void Release();

private:
  std::shared_ptr<ByteBudget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_BYTE_BUDGET_HPP
