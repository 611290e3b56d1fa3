#include "load/Plan.hpp"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace redwing::standins {

using Json = nlohmann::json;

namespace {

using Fields = std::map<std::string, std::function<void(const Json&)>>;

template<typename Value>
std::function<void(const Json&)>
Into(Value& aTarget)
{
  return [&aTarget](const Json& aField) { aField.get_to(aTarget); };
}

void
Read(const Json& aObject, const Fields& aFields)
{
  for (const auto& [name, value] : aObject.items()) {
    auto field = aFields.find(name);
    if (field == aFields.end()) {
      throw std::invalid_argument("plan: unknown field " + name);
    }
    field->second(value);
  }
}

template<typename Item>
std::function<void(const Json&)>
Each(std::vector<Item>& aItems, Fields (*aFields)(Item&))
{
  return [&aItems, aFields](const Json& aArray) {
    for (const auto& entry : aArray) {
      Read(entry, aFields(aItems.emplace_back()));
    }
  };
}

Fields
WorkspaceFields(LoadWorkspace& aItem)
{
  return { { "id", Into(aItem.id_) },
           { "key", Into(aItem.key_) },
           { "weight", Into(aItem.weight_) } };
}

Fields
RequestFields(LoadRequest& aItem)
{
  return { { "name", Into(aItem.name_) },
           { "weight", Into(aItem.weight_) },
           { "method", Into(aItem.method_) },
           { "path", Into(aItem.path_) },
           { "keys", Into(aItem.keys_) },
           { "zipf", Into(aItem.zipf_) },
           { "bytes", Into(aItem.bytes_) },
           { "request_bytes", Into(aItem.requestBytes_) },
           { "binary", Into(aItem.binary_) },
           { "stream", Into(aItem.stream_) },
           { "idempotent", Into(aItem.idempotent_) },
           { "idempotency_key", Into(aItem.idempotencyKey_) },
           { "resend", Into(aItem.resend_) },
           { "headers", Into(aItem.headers_) } };
}

Fields
BurstFields(LoadBurst& aItem)
{
  return { { "workspace", Into(aItem.workspace_) },
           { "from_s", Into(aItem.from_) },
           { "until_s", Into(aItem.until_) },
           { "factor", Into(aItem.factor_) } };
}

void
ReadTargets(const Json& aArray, std::vector<Address>& aTargets)
{
  for (const auto& entry : aArray) {
    auto address = Address::Parse(entry.get<std::string>());
    if (!address) {
      throw std::invalid_argument("plan: target " + entry.dump() + " is not IP:PORT");
    }
    aTargets.push_back(*address);
  }
}

} // namespace

LoadPlan
ParsePlan(const Json& aDocument)
{
  LoadPlan plan;
  Read(aDocument,
       { { "targets", [&](const Json& aArray) { ReadTargets(aArray, plan.targets_); } },
         { "rate", Into(plan.rate_) },
         { "seconds", Into(plan.seconds_) },
         { "seed", Into(plan.seed_) },
         { "threads", Into(plan.threads_) },
         { "connections", Into(plan.connections_) },
         { "timeout_ms", Into(plan.timeoutMs_) },
         { "start_ns", Into(plan.startNs_) },
         { "target_per_workspace", Into(plan.targetPerWorkspace_) },
         { "workspaces", Each(plan.workspaces_, WorkspaceFields) },
         { "requests", Each(plan.requests_, RequestFields) },
         { "bursts", Each(plan.bursts_, BurstFields) } });
  return plan;
}

} // namespace redwing::standins
