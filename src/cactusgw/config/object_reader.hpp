#ifndef CACTUSGW_CONFIG_OBJECT_READER_HPP
#define CACTUSGW_CONFIG_OBJECT_READER_HPP

/// Reads typed members out of a JSON object and records every fault with its
/// path, instead of stopping at the first.

#include "cactusgw/config/fault.hpp"
#include "cactusgw/core/verdict.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Inclusive bounds of a number.
struct IntegerRange
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

struct NumberRange
{
  double mMin = 0;
  double mMax = 0;
};

/// The file and the list that faults go to.
struct FaultSink
{
  std::string mFile;
  ConfigFaults& mFaults;
};

/// Not thread-safe. Call Finish() last, to have unknown members reported.
class ObjectReader
{
public:
  /// @param aValue the value that should be an object; outlives the reader
  ObjectReader(const boost::json::value& aValue,
               std::string aPath,
               FaultSink& aSink);

  /// A member that must be there. On a fault an empty string is returned.
  std::string String(std::string_view aName);
  std::string StringOr(std::string_view aName, std::string_view aDefault);
  /// A member that must be one of the given words.
  std::string OneOf(std::string_view aName,
                    std::span<const std::string_view> aWords,
                    std::string_view aDefault);
  /// An address in the form `IP:port`.
  std::string Address(std::string_view aName);
  std::string AddressOr(std::string_view aName, std::string_view aDefault);
  /// A whole number, which may be written with a fraction of zero.
  std::int64_t Integer(std::string_view aName, IntegerRange aRange);
  std::int64_t IntegerOr(std::string_view aName,
                         IntegerRange aRange,
                         std::int64_t aDefault);
  /// A number that may have a fraction.
  double NumberOr(std::string_view aName, NumberRange aRange, double aDefault);
  /// A duration, given either in milliseconds by the member `<stem>Ms` or in
  /// seconds by `<stem>S`. Both may have a fraction; the result is rounded to
  /// whole milliseconds.
  /// @param aRange in milliseconds
  Milliseconds DurationOr(std::string_view aStem,
                          IntegerRange aRange,
                          Milliseconds aDefault);
  bool BoolOr(std::string_view aName, bool aDefault);
  std::vector<std::string> StringsOr(std::string_view aName);

  /// Calls the function for each member of a member that is an object.
  using MemberFunction = std::function<void(std::string_view, ObjectReader&)>;
  void ForEach(std::string_view aName, const MemberFunction& aFunction);
  /// Calls the function when the member is there.
  using ObjectFunction = std::function<void(ObjectReader&)>;
  void ObjectOr(std::string_view aName, const ObjectFunction& aFunction);

  /// The names of all members.
  std::vector<std::string> Names() const;
  bool Has(std::string_view aName) const;
  /// Records a fault at a member of this object.
  void Fault(std::string_view aName, std::string aReason);
  /// Reports each member that was never asked for.
  void Finish();
  const std::string& Path() const { return mPath; }

private:
  const boost::json::value* Find(std::string_view aName);
  const boost::json::value* Require(std::string_view aName);
  std::string StringAt(std::string_view aName,
                       const boost::json::value& aValue);
  std::string AddressAt(std::string_view aName, std::string aText);
  std::int64_t IntegerAt(std::string_view aName,
                         const boost::json::value& aValue,
                         IntegerRange aRange);

  const boost::json::object* mObject = nullptr;
  std::string mPath;
  FaultSink& mSink;
  std::set<std::string, std::less<>> mAsked;
};

/// Parses JSON with comments and trailing commas.
/// @return null, with a fault recorded, when the text is malformed
boost::json::value ParseJsonWithComments(std::string_view aText,
                                         FaultSink& aSink);

/// Whether the text is an IP address with a port, as in `127.0.0.1:8080`.
bool IsAddress(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_OBJECT_READER_HPP
