#include "cactusgw/config/ownership_document.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>

namespace cactusgw {

namespace json = boost::json;

namespace {

constexpr std::string_view kOwnershipPrefix = "ownership/";

std::string
Text(const json::object& aObject, std::string_view aName)
{
  return std::string{ aObject.at(aName).as_string() };
}

std::uint64_t
Number(const json::object& aObject, std::string_view aName)
{
  return aObject.at(aName).to_number<std::uint64_t>();
}

/// Runs a reading function whose accessors throw, and returns a failure for
/// malformed text.
template<typename T, typename ReadFunction>
Result<T>
Parse(std::string_view aText, ReadFunction aRead)
{
  try {
    const json::value value = json::parse({ aText.data(), aText.size() });
    return aRead(value.as_object());
  } catch (const std::exception& e) {
    return NotRun(FailureCode::InvalidInput, e.what());
  }
}

} // namespace

std::string
LeaseKey(std::string_view aDataCentre)
{
  return "lease/" + std::string{ aDataCentre };
}

std::string
OwnershipKey(std::string_view aDataCentre)
{
  return std::string{ kOwnershipPrefix } + std::string{ aDataCentre };
}

std::string
DataCentreOfOwnershipKey(std::string_view aKey)
{
  return std::string{ aKey.substr(kOwnershipPrefix.size()) };
}

std::string
SerializeLease(const LeaseRecord& aRecord)
{
  json::array group;
  for (const std::string& vm : aRecord.mGroup) {
    group.emplace_back(vm);
  }
  return json::serialize(
    json::object{ { "holder", aRecord.mHolder },
                  { "incarnation", aRecord.mIncarnation },
                  { "nonce", aRecord.mNonce },
                  { "durationMs", aRecord.mDuration.count() },
                  { "group", std::move(group) } });
}

Result<LeaseRecord>
ParseLease(std::string_view aText)
{
  return Parse<LeaseRecord>(aText, [](const json::object& aObject) {
    LeaseRecord record;
    record.mHolder = Text(aObject, "holder");
    record.mIncarnation = Number(aObject, "incarnation");
    record.mNonce = Number(aObject, "nonce");
    record.mDuration = Milliseconds{ aObject.at("durationMs").as_int64() };
    for (const json::value& vm : aObject.at("group").as_array()) {
      record.mGroup.emplace_back(vm.as_string());
    }
    return record;
  });
}

std::string
SerializeOwnership(const OwnershipPlan& aPlan)
{
  json::array owners;
  for (const OwnerAssignment& owner : aPlan.mOwners) {
    owners.push_back(json::object{ { "upstream", owner.mUpstream },
                                   { "vm", owner.mOwner.mVm },
                                   { "incarnation", owner.mOwner.mIncarnation },
                                   { "epoch", owner.mEpoch } });
  }
  return json::serialize(json::object{ { "fence", aPlan.mFencingToken },
                                       { "lastEpoch", aPlan.mLastEpoch },
                                       { "owners", std::move(owners) } });
}

Result<OwnershipPlan>
ParseOwnership(std::string_view aText)
{
  return Parse<OwnershipPlan>(aText, [](const json::object& aObject) {
    OwnershipPlan plan;
    plan.mFencingToken = Number(aObject, "fence");
    plan.mLastEpoch = Number(aObject, "lastEpoch");
    for (const json::value& item : aObject.at("owners").as_array()) {
      const json::object& owner = item.as_object();
      plan.mOwners.push_back(
        { Text(owner, "upstream"),
          { Text(owner, "vm"), Number(owner, "incarnation") },
          Number(owner, "epoch") });
    }
    return plan;
  });
}

std::string
SerializeDrains(const std::vector<DrainState>& aStates)
{
  json::array states;
  for (const DrainState& state : aStates) {
    states.push_back(json::object{ { "dataCentre", state.mDataCentre },
                                   { "version", state.mVersion },
                                   { "drained", state.mDrained } });
  }
  return json::serialize(json::object{ { "states", std::move(states) } });
}

Result<std::vector<DrainState>>
ParseDrains(std::string_view aText)
{
  using States = std::vector<DrainState>;
  return Parse<States>(aText, [](const json::object& aObject) {
    States states;
    for (const json::value& item : aObject.at("states").as_array()) {
      const json::object& state = item.as_object();
      states.push_back({ Text(state, "dataCentre"),
                         Number(state, "version"),
                         state.at("drained").as_bool() });
    }
    return states;
  });
}

} // namespace cactusgw
