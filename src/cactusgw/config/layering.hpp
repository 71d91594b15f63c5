#ifndef CACTUSGW_CONFIG_LAYERING_HPP
#define CACTUSGW_CONFIG_LAYERING_HPP

/// Layers of a deployment document, and patches between its versions.
///
/// A document has the form `{"base": {…}, "overlays": {"data centre": {…}}}`.
/// An overlay states only what differs from the base in its data centre.

#include "cactusgw/config/deployment.hpp"
#include "cactusgw/config/fault.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string_view>

namespace cactusgw {

/// The base with one overlay applied: objects merge member by member, any
/// other value of the overlay replaces the one of the base.
boost::json::value MergeOverlay(const boost::json::value& aBase,
                                const boost::json::value& aOverlay);

/// What one data centre sees of a document.
boost::json::value EffectiveDocument(const boost::json::value& aDocument,
                                     std::string_view aDataCentre);

/// Checks a whole document: the base alone, each overlay for values that
/// repeat the base or belong to the base only, and the merged form for every
/// data centre.
/// @param aFileOf name under which a layer's faults are reported, given the
///        overlay's data centre, or an empty string for the base
using LayerFile = std::string (*)(std::string_view aDirectory,
                                  std::string_view aDataCentre);
ConfigFaults CheckDocument(const boost::json::value& aDocument,
                           LayerFile aFileOf,
                           std::string_view aDirectory);

/// The merge patch (RFC 7386) that turns one document into the other.
boost::json::value MakePatch(const boost::json::value& aFrom,
                             const boost::json::value& aTo);

/// Applies a merge patch (RFC 7386).
boost::json::value ApplyPatch(const boost::json::value& aDocument,
                              const boost::json::value& aPatch);

/// A hash of the document that does not depend on the order of members.
std::uint64_t DigestOf(const boost::json::value& aDocument);

/// The digest of a document given as text; zero when it is malformed.
std::uint64_t DigestOfText(std::string_view aText);

} // namespace cactusgw

#endif // CACTUSGW_CONFIG_LAYERING_HPP
