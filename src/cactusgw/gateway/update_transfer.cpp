#include "cactusgw/gateway/update_transfer.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <utility>
#include <zlib.h>

namespace cactusgw {

namespace {

const Bytef*
BytesOf(std::string_view aText)
{
  // zlib's type for bytes is unsigned char.
  return reinterpret_cast<const Bytef*>(aText.data());
}

std::string
Pack(std::string_view aPlain)
{
  uLongf size = compressBound(aPlain.size());
  std::string packed(size, '\0');
  // Can't fail: the buffer has the size of the worst case.
  compress2(reinterpret_cast<Bytef*>(packed.data()),
            &size,
            BytesOf(aPlain),
            aPlain.size(),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

/// Returns nullopt unless the bytes unpack to this size.
std::optional<std::string>
Unpack(std::string_view aPacked, std::size_t aPlainBytes)
{
  std::string plain(aPlainBytes, '\0');
  uLongf size = plain.size();
  const int status = uncompress(reinterpret_cast<Bytef*>(plain.data()),
                                &size,
                                BytesOf(aPacked),
                                aPacked.size());
  if (status != Z_OK || size != aPlainBytes) {
    return std::nullopt;
  }
  return plain;
}

} // namespace

UpdatePart
UpdateSender::PartAt(const Packed& aPacked, std::size_t aOffset)
{
  return { { aPacked.mDigest, aOffset },
           aPacked.mBytes.size(),
           aPacked.mPlainBytes,
           std::string_view{ aPacked.mBytes }.substr(aOffset, kPartBytes) };
}

std::optional<UpdatePart>
UpdateSender::Continue(const UpdatePosition& aPosition)
{
  const auto it =
    std::find_if(mKept.begin(), mKept.end(), [&](const Packed& aPacked) {
      return aPacked.mDigest == aPosition.mDigest;
    });
  if (it == mKept.end() || aPosition.mOffset >= it->mBytes.size()) {
    return std::nullopt;
  }
  return PartAt(*it, aPosition.mOffset);
}

UpdatePart
UpdateSender::Begin(std::string_view aSerialized)
{
  const std::uint64_t plainDigest = StableHash(aSerialized);
  const auto it =
    std::find_if(mKept.begin(), mKept.end(), [&](const Packed& aPacked) {
      return aPacked.mPlainDigest == plainDigest &&
             aPacked.mPlainBytes == aSerialized.size();
    });
  if (it != mKept.end()) {
    return PartAt(*it, 0);
  }
  std::string bytes = Pack(aSerialized);
  const std::uint64_t digest = StableHash(bytes);
  mKept.push_back(
    { digest, plainDigest, aSerialized.size(), std::move(bytes) });
  if (mKept.size() > kMaxKept) {
    mKept.pop_front();
  }
  return PartAt(mKept.back(), 0);
}

std::optional<UpdatePosition>
UpdateReceiver::Position() const
{
  if (mPackedBytes == 0) {
    return std::nullopt;
  }
  return UpdatePosition{ mDigest, mBytes.size() };
}

bool
UpdateReceiver::IsNext(const UpdatePart& aPart) const
{
  return Position() == aPart.mPosition;
}

Result<std::optional<std::string>>
UpdateReceiver::OnPart(const UpdatePart& aPart)
{
  if (aPart.mPosition.mOffset == 0) {
    Reset();
    mDigest = aPart.mPosition.mDigest;
    mPackedBytes = aPart.mPackedBytes;
    mPlainBytes = aPart.mPlainBytes;
  }
  Result<std::optional<std::string>> update = Append(aPart);
  if (!update || update.value()) {
    Reset();
  }
  return update;
}

Result<std::optional<std::string>>
UpdateReceiver::Append(const UpdatePart& aPart)
{
  const bool fits =
    aPart.mPosition == UpdatePosition{ mDigest, mBytes.size() } &&
    aPart.mPackedBytes == mPackedBytes && aPart.mPlainBytes == mPlainBytes &&
    mPlainBytes <= kMaxPlainBytes && mPackedBytes <= kMaxPlainBytes &&
    !aPart.mContent.empty() &&
    aPart.mContent.size() <= mPackedBytes - mBytes.size();
  if (!fits) {
    return NotRun(FailureCode::InvalidInput,
                  "a part at offset " +
                    std::to_string(aPart.mPosition.mOffset) +
                    " doesn't continue an update of which " +
                    std::to_string(mBytes.size()) + " of " +
                    std::to_string(mPackedBytes) + " bytes are known");
  }
  mBytes += aPart.mContent;
  if (mBytes.size() < mPackedBytes) {
    return std::optional<std::string>{};
  }
  std::optional<std::string> plain;
  if (StableHash(mBytes) == mDigest) {
    plain = Unpack(mBytes, mPlainBytes);
  }
  if (!plain) {
    return NotRun(FailureCode::InvalidInput,
                  "an update of " + std::to_string(mPackedBytes) +
                    " bytes can't be unpacked");
  }
  return plain;
}

} // namespace cactusgw
