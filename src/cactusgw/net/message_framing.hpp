#ifndef CACTUSGW_NET_MESSAGE_FRAMING_HPP
#define CACTUSGW_NET_MESSAGE_FRAMING_HPP

/// Where the content of an HTTP/1 message ends (RFC 9112, sections 6.1 to 6.3).
/// All servers and clients of the system decide it here: a message that two of
/// its recipients would end at different bytes can hide another one.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>

namespace cactusgw {

enum class MessageFraming
{
  NoContent,
  ContentLength,
  Chunked,
  /// A response that ends with its connection.
  UntilClose,
  /// The length is known, but not the content: a transfer coding other than
  /// chunked was applied to it, which none of this system's messages asks for.
  UnsupportedCoding,
  /// The length can't be told, or is told twice.
  Invalid,
};

/// Whether a message with this framing can be read.
constexpr bool
IsReadable(MessageFraming aFraming)
{
  return aFraming != MessageFraming::Invalid &&
         aFraming != MessageFraming::UnsupportedCoding;
}

MessageFraming FramingOf(const boost::beast::http::request_header<>& aHeader);

/// @param aIsHead whether the request was a HEAD request
MessageFraming FramingOf(const boost::beast::http::response_header<>& aHeader,
                         bool aIsHead);

/// The framing of a parsed header. Invalid if the parser would end the content
/// at another byte.
MessageFraming FramingOf(const boost::beast::http::basic_parser<true>& aParser,
                         const boost::beast::http::request_header<>& aHeader);
MessageFraming FramingOf(const boost::beast::http::basic_parser<false>& aParser,
                         const boost::beast::http::response_header<>& aHeader,
                         bool aIsHead);

/// Finds line folding in a header that arrives in pieces. A request with line
/// folding is refused (RFC 9112, section 5.2): its fields depend on how a
/// recipient joins the lines.
class FoldingDetector
{
public:
  /// Takes the next bytes. Those after the header are ignored.
  void OnBytes(const char* aBytes, std::size_t aCount);
  bool HasFolding() const { return mHasFolding; }

private:
  bool mIsAtLineStart = false;
  bool mIsHeaderDone = false;
  bool mHasFolding = false;
};

/// A dynamic buffer that passes what is written to it on to a FoldingDetector.
template<typename Buffer>
class FoldingDetectorBuffer
{
public:
  using const_buffers_type = typename Buffer::const_buffers_type;
  using mutable_buffers_type = typename Buffer::mutable_buffers_type;

  /// The buffer and the detector must outlive this object.
  FoldingDetectorBuffer(Buffer& aBuffer, FoldingDetector& aDetector)
    : mBuffer(aBuffer)
    , mDetector(aDetector)
  {
    mDetector.OnBytes(static_cast<const char*>(mBuffer.cdata().data()),
                      mBuffer.size());
  }

  // The names are those of Boost.Asio's requirements on dynamic buffers.
  // NOLINTBEGIN(readability-identifier-naming)
  std::size_t size() const { return mBuffer.size(); }
  std::size_t max_size() const { return mBuffer.max_size(); }
  std::size_t capacity() const { return mBuffer.capacity(); }
  const_buffers_type data() const { return mBuffer.cdata(); }
  mutable_buffers_type prepare(std::size_t aCount)
  {
    mPrepared = mBuffer.prepare(aCount);
    return mPrepared;
  }
  void commit(std::size_t aCount)
  {
    mDetector.OnBytes(static_cast<const char*>(mPrepared.data()), aCount);
    mBuffer.commit(aCount);
  }
  void consume(std::size_t aCount) { mBuffer.consume(aCount); }
  // NOLINTEND(readability-identifier-naming)

private:
  Buffer& mBuffer;
  FoldingDetector& mDetector;
  mutable_buffers_type mPrepared;
};

} // namespace cactusgw

#endif // CACTUSGW_NET_MESSAGE_FRAMING_HPP
