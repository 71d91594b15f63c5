#ifndef CACTUSGW_GATEWAY_CHANGE_SENDER_HPP
#define CACTUSGW_GATEWAY_CHANGE_SENDER_HPP

/// Decides which entries of mergeable evidence another gateway is sent.

#include "cactusgw/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusgw {

/// Sends each change once. While the digest that the receiver reports differs,
/// a message was lost; then sends everything again, a part in each interval.
/// Not thread-safe; one instance per receiver. Time is passed in.
template<typename Evidence>
class ChangeSender
{
public:
  /// Maximum number of changed entries in one message, and of repeated ones:
  /// about 10 KB each.
  static constexpr std::size_t kMaxEntriesInMessage = 128;
  /// How long the digests must differ, and the time between two repetitions.
  static constexpr Milliseconds kRepeatInterval{ 1000 };

  /// Returns what the next message is to hold; empty if nothing is due.
  auto Next(const Evidence& aEvidence, Instant aNow)
  {
    auto [due, completeTo] =
      aEvidence.ChangedSince(mVersion, kMaxEntriesInMessage);
    mVersion = completeTo;
    if (mReportedDigest == aEvidence.Digest() || mRepeatedAt == Instant{}) {
      mRepeatedVersion = 0;
      mRepeatedAt = aNow;
    } else if (aNow - mRepeatedAt >= kRepeatInterval) {
      mRepeatedAt = aNow;
      auto [again, repeatedTo] =
        aEvidence.ChangedSince(mRepeatedVersion, kMaxEntriesInMessage);
      mRepeatedVersion = repeatedTo == aEvidence.Version() ? 0 : repeatedTo;
      due.insert(due.end(), again.begin(), again.end());
    }
    return std::move(due);
  }

  /// Handles the digest in a message from the receiver.
  void OnReported(std::uint64_t aDigest) { mReportedDigest = aDigest; }

  /// The receiver has started again and knows nothing.
  void Restart()
  {
    mVersion = 0;
    mReportedDigest = 0;
  }

private:
  /// Version up to which the receiver was sent the entries.
  std::uint64_t mVersion = 0;
  /// The same for the repetition in progress; zero at its start.
  std::uint64_t mRepeatedVersion = 0;
  Instant mRepeatedAt;
  std::uint64_t mReportedDigest = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_CHANGE_SENDER_HPP
