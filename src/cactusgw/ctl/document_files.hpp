#ifndef CACTUSGW_CTL_DOCUMENT_FILES_HPP
#define CACTUSGW_CTL_DOCUMENT_FILES_HPP

/// A deployment document as files: `base.json` and `overlays/*.json`, one
/// overlay per data centre, in one directory.

#include "cactusgw/config/fault.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace cactusgw {

/// The file that holds a layer; the base for an empty data centre.
std::string LayerFileName(std::string_view aDirectory,
                          std::string_view aDataCentre);

/// Reads all layers into one document and checks it whole.
/// @param aFaults receives every fault; the document is valid when it stays
///        empty
boost::json::value ReadDocumentFiles(const std::string& aDirectory,
                                     ConfigFaults& aFaults);

} // namespace cactusgw

#endif // CACTUSGW_CTL_DOCUMENT_FILES_HPP
