#include "cactusgw/ctl/document_files.hpp"

#include "cactusgw/config/layering.hpp"
#include "cactusgw/config/object_reader.hpp"
#include "cactusgw/programs/command_line.hpp"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <system_error>
#include <vector>

namespace cactusgw {

namespace fs = std::filesystem;

namespace {

boost::json::value
ReadLayer(const std::string& aFile, ConfigFaults& aFaults)
{
  const std::optional<std::string> text = ReadWholeFile(aFile);
  if (!text) {
    aFaults.push_back({ aFile, "", "can't be read" });
    return nullptr;
  }
  FaultSink sink{ aFile, aFaults };
  return ParseJsonWithComments(*text, sink);
}

/// Names of the data centres that have an overlay file, in order.
std::vector<std::string>
OverlayNames(const std::string& aDirectory)
{
  std::vector<std::string> names;
  std::error_code ec;
  const fs::path folder = fs::path{ aDirectory } / "overlays";
  for (const fs::directory_entry& entry : fs::directory_iterator(folder, ec)) {
    if (entry.path().extension() == ".json") {
      names.push_back(entry.path().stem().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace

std::string
LayerFileName(std::string_view aDirectory, std::string_view aDataCentre)
{
  const fs::path directory{ aDirectory };
  if (aDataCentre.empty()) {
    return (directory / "base.json").string();
  }
  return (directory / "overlays" / (std::string{ aDataCentre } + ".json"))
    .string();
}

boost::json::value
ReadDocumentFiles(const std::string& aDirectory, ConfigFaults& aFaults)
{
  boost::json::object document;
  document["base"] = ReadLayer(LayerFileName(aDirectory, ""), aFaults);
  boost::json::object overlays;
  for (const std::string& name : OverlayNames(aDirectory)) {
    overlays[name] = ReadLayer(LayerFileName(aDirectory, name), aFaults);
  }
  document["overlays"] = std::move(overlays);
  if (aFaults.empty()) {
    aFaults = CheckDocument(document, &LayerFileName, aDirectory);
  }
  return document;
}

} // namespace cactusgw
