#ifndef CACTUSGW_GATEWAY_UPDATE_TRANSFER_HPP
#define CACTUSGW_GATEWAY_UPDATE_TRANSFER_HPP

/// Passes large updates of the store's collections between two gateways in
/// parts. A poll has a fixed timeout; a part fits into it even on a slow link,
/// and a transfer that was interrupted goes on where it stopped.

#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace cactusgw {

/// How far an update has been received.
struct UpdatePosition
{
  /// Names the packed update: a stable hash of its bytes.
  std::uint64_t mDigest = 0;
  std::size_t mOffset = 0;

  bool operator==(const UpdatePosition&) const = default;
};

/// A part of a packed update.
struct UpdatePart
{
  UpdatePosition mPosition;
  std::size_t mPackedBytes = 0;
  std::size_t mPlainBytes = 0;
  std::string_view mContent;
};

/// Splits updates into parts. Not thread-safe.
class UpdateSender
{
public:
  /// Serialized updates up to this size are sent whole.
  static constexpr std::size_t kMaxWholeBytes = std::size_t{ 16 } * 1024;
  /// Bytes in one part: 26 ms on a link of 10 Mbit/s.
  static constexpr std::size_t kPartBytes = std::size_t{ 32 } * 1024;
  /// Packed updates that are kept for receivers that have begun with them.
  static constexpr std::size_t kMaxKept = 8;

  static UpdateSender Create() { return UpdateSender{}; }

  /// The next part for a receiver at this position; nullopt if the update that
  /// it names isn't kept any more. The part is valid until the next call.
  std::optional<UpdatePart> Continue(const UpdatePosition& aPosition);

  /// The first part of a serialized update. The part is valid until the next
  /// call.
  UpdatePart Begin(std::string_view aSerialized);

private:
  struct Packed
  {
    std::uint64_t mDigest = 0;
    /// Stable hash of the serialized update.
    std::uint64_t mPlainDigest = 0;
    std::size_t mPlainBytes = 0;
    std::string mBytes;
  };

  UpdateSender() = default;
  static UpdatePart PartAt(const Packed& aPacked, std::size_t aOffset);

  /// Oldest first.
  std::deque<Packed> mKept;
};

/// Joins the parts of one update at a time. Not thread-safe.
class UpdateReceiver
{
public:
  /// Larger updates are refused, packed or not: no collection of the store is
  /// as large.
  static constexpr std::size_t kMaxPlainBytes = std::size_t{ 16 } * 1024 * 1024;

  static UpdateReceiver Create() { return UpdateReceiver{}; }

  /// The update that is being received, if any.
  std::optional<UpdatePosition> Position() const;

  /// Whether this is the next part of the update that is being received.
  bool IsNext(const UpdatePart& aPart) const;

  /// Appends a part; the first part of another update replaces what has been
  /// received. Returns the serialized update once it is whole. Errors:
  /// InvalidInput, if the part doesn't fit or the update can't be unpacked;
  /// the reception ends then.
  Result<std::optional<std::string>> OnPart(const UpdatePart& aPart);

  /// Forgets what has been received.
  void Reset() { *this = UpdateReceiver{}; }

private:
  UpdateReceiver() = default;
  Result<std::optional<std::string>> Append(const UpdatePart& aPart);

  std::uint64_t mDigest = 0;
  std::size_t mPackedBytes = 0;
  std::size_t mPlainBytes = 0;
  std::string mBytes;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPDATE_TRANSFER_HPP
