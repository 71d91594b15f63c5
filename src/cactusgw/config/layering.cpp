#include "cactusgw/config/layering.hpp"

#include "cactusgw/config/object_reader.hpp"
#include "cactusgw/core/hash.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string>

namespace cactusgw {

namespace json = boost::json;

namespace {

const json::value*
Member(const json::value& aDocument, std::string_view aName)
{
  const json::object* object = aDocument.if_object();
  return object == nullptr ? nullptr : object->if_contains(aName);
}

std::string_view
KeyOf(const json::key_value_pair& aMember)
{
  return { aMember.key().data(), aMember.key().size() };
}

/// Reports each leaf of an overlay that says what the base says already.
void
FindRepeats(const json::value& aBase,
            const json::value& aOverlay,
            const std::string& aPath,
            FaultSink& aSink)
{
  const json::object* overlay = aOverlay.if_object();
  if (overlay == nullptr || !aBase.is_object()) {
    if (aBase == aOverlay) {
      aSink.mFaults.push_back(
        { aSink.mFile, aPath, "repeats the value of the base" });
    }
    return;
  }
  for (const json::key_value_pair& member : *overlay) {
    const json::value* base = Member(aBase, KeyOf(member));
    if (base != nullptr) {
      const std::string path = aPath + "/" + std::string{ KeyOf(member) };
      FindRepeats(*base, member.value(), path, aSink);
    }
  }
}

/// Faults of the merged form that the base alone does not have come from the
/// overlay.
void
AppendNewFaults(const ConfigFaults& aBaseFaults,
                const ConfigFaults& aMergedFaults,
                const std::string& aFile,
                ConfigFaults& aFaults)
{
  for (const ConfigFault& fault : aMergedFaults) {
    const bool inBase = std::any_of(
      aBaseFaults.begin(), aBaseFaults.end(), [&](const ConfigFault& aOther) {
        return aOther.mPath == fault.mPath && aOther.mReason == fault.mReason;
      });
    if (!inBase) {
      aFaults.push_back({ aFile, fault.mPath, fault.mReason });
    }
  }
}

void
CheckOverlay(const json::value& aBase,
             const json::value& aOverlay,
             const ConfigFaults& aBaseFaults,
             FaultSink& aSink)
{
  if (!aOverlay.is_object()) {
    aSink.mFaults.push_back({ aSink.mFile, "", "must be an object" });
    return;
  }
  if (Member(aOverlay, "dataCentres") != nullptr) {
    aSink.mFaults.push_back(
      { aSink.mFile, "/dataCentres", "belongs in the base only" });
  }
  FindRepeats(aBase, aOverlay, "", aSink);
  ConfigFaults merged;
  ReadDeployment(MergeOverlay(aBase, aOverlay), aSink.mFile, merged);
  AppendNewFaults(aBaseFaults, merged, aSink.mFile, aSink.mFaults);
}

/// Unknown members of the document itself.
void
CheckShape(const json::value& aDocument, FaultSink& aSink)
{
  for (const json::key_value_pair& member : aDocument.get_object()) {
    const std::string_view key = KeyOf(member);
    if (key != "base" && key != "overlays") {
      aSink.mFaults.push_back(
        { aSink.mFile, "/" + std::string{ key }, "unknown member" });
    }
  }
}

std::uint64_t
DigestMember(std::string_view aKey, std::uint64_t aValueDigest)
{
  return StableHash(std::string{ aKey } + ":" + std::to_string(aValueDigest));
}

} // namespace

json::value
MergeOverlay(const json::value& aBase, const json::value& aOverlay)
{
  if (!aBase.is_object() || !aOverlay.is_object()) {
    return aOverlay;
  }
  json::value merged = aBase;
  json::object& object = merged.get_object();
  for (const json::key_value_pair& member : aOverlay.get_object()) {
    const json::value* base = object.if_contains(member.key());
    object[member.key()] =
      base == nullptr ? member.value() : MergeOverlay(*base, member.value());
  }
  return merged;
}

json::value
EffectiveDocument(const json::value& aDocument, std::string_view aDataCentre)
{
  const json::value* base = Member(aDocument, "base");
  if (base == nullptr) {
    return json::object{};
  }
  const json::value* overlays = Member(aDocument, "overlays");
  const json::value* overlay =
    overlays == nullptr ? nullptr : Member(*overlays, aDataCentre);
  return overlay == nullptr ? *base : MergeOverlay(*base, *overlay);
}

ConfigFaults
CheckDocument(const json::value& aDocument,
              LayerFile aFileOf,
              std::string_view aDirectory)
{
  ConfigFaults faults;
  const std::string baseFile = aFileOf(aDirectory, "");
  const json::value* base = Member(aDocument, "base");
  if (base == nullptr) {
    faults.push_back({ baseFile, "", "is missing" });
    return faults;
  }
  FaultSink baseSink{ baseFile, faults };
  CheckShape(aDocument, baseSink);
  const Deployment deployment = ReadDeployment(*base, baseFile, faults);
  const ConfigFaults baseFaults = faults;
  const json::value* overlays = Member(aDocument, "overlays");
  if (overlays == nullptr || !overlays->is_object()) {
    return faults;
  }
  for (const json::key_value_pair& member : overlays->get_object()) {
    FaultSink sink{ aFileOf(aDirectory, KeyOf(member)), faults };
    if (deployment.FindDataCentre(KeyOf(member)) == nullptr) {
      faults.push_back({ sink.mFile, "", "overlay of an unknown data centre" });
      continue;
    }
    CheckOverlay(*base, member.value(), baseFaults, sink);
  }
  return faults;
}

json::value
MakePatch(const json::value& aFrom, const json::value& aTo)
{
  if (!aFrom.is_object() || !aTo.is_object()) {
    return aTo;
  }
  json::object patch;
  for (const json::key_value_pair& member : aFrom.get_object()) {
    if (!aTo.get_object().contains(member.key())) {
      patch[member.key()] = nullptr;
    }
  }
  for (const json::key_value_pair& member : aTo.get_object()) {
    const json::value* from = aFrom.get_object().if_contains(member.key());
    if (from == nullptr) {
      patch[member.key()] = member.value();
    } else if (*from != member.value()) {
      patch[member.key()] = MakePatch(*from, member.value());
    }
  }
  return patch;
}

json::value
ApplyPatch(const json::value& aDocument, const json::value& aPatch)
{
  if (!aPatch.is_object()) {
    return aPatch;
  }
  json::value result = aDocument.is_object() ? aDocument : json::object{};
  json::object& object = result.get_object();
  for (const json::key_value_pair& member : aPatch.get_object()) {
    if (member.value().is_null()) {
      object.erase(member.key());
      continue;
    }
    const json::value* from = object.if_contains(member.key());
    object[member.key()] =
      ApplyPatch(from == nullptr ? json::value{} : *from, member.value());
  }
  return result;
}

std::uint64_t
DigestOf(const json::value& aDocument)
{
  if (const json::object* object = aDocument.if_object()) {
    std::uint64_t sum = StableHash("object");
    for (const json::key_value_pair& member : *object) {
      // Addition makes the order of members irrelevant.
      sum += DigestMember(KeyOf(member), DigestOf(member.value()));
    }
    return sum;
  }
  return StableHash(json::serialize(aDocument));
}

std::uint64_t
DigestOfText(std::string_view aText)
{
  json::error_code ec;
  const json::value document = json::parse({ aText.data(), aText.size() }, ec);
  return ec ? 0 : DigestOf(document);
}

} // namespace cactusgw
