#include "config/ConfigurationParser.hpp"

#include "config/ConfigurationValidator.hpp"
#include "config/JsonCheck.hpp"
#include "config/SelectorParser.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace redwing {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kVersion = 1;
/// Well above the 54 million requests per second that the largest fleet is designed for.
constexpr double kMaximumRate = 1e9;
constexpr std::uint64_t kMaximumWeight = 1000;
constexpr std::uint64_t kMaximumInitial = 10000;
constexpr std::uint64_t kMaximumShards = 65536;
constexpr std::uint64_t kMaximumSegment = 31;
constexpr std::uint64_t kMaximumConnections = 1'000'000;
constexpr std::uint64_t kMaximumAttempts = 10;
constexpr std::uint64_t kMaximumPriority = 9;
constexpr std::uint64_t kMaximumMilliseconds = 600'000;

/// Reads the members of one JSON object and reports those that nobody asked for.
class ObjectReader
{
public:
  ObjectReader(const Json& aObject, std::string aPlace, Findings& aFindings)
    : object_(aObject)
    , place_(std::move(aPlace))
    , findings_(aFindings)
  {
    if (!object_.is_object()) {
      findings_.push_back({ place_, "must be an object" });
    }
  }

  std::string Place(std::string_view aName) const { return Detail::AppendPointer(place_, aName); }
  void Report(std::string_view aName, std::string aMessage)
  {
    findings_.push_back({ Place(aName), std::move(aMessage) });
  }
  Findings& AllFindings() { return findings_; }

  /// Returns the member, or null when it is absent; absence is a finding if aRequired.
  const Json* Member(const char* aName, bool aRequired)
  {
    known_.insert(aName);
    const auto found = object_.find(aName);
    if (found != object_.end()) {
      return &*found;
    }
    if (aRequired && object_.is_object()) {
      Report(aName, "is missing");
    }
    return nullptr;
  }

  void Text(const char* aName, std::string& aValue, bool aRequired)
  {
    if (const Json* member = Member(aName, aRequired)) {
      if (member->is_string()) {
        aValue = member->get<std::string>();
      } else {
        Report(aName, "must be a string");
      }
    }
  }

  void Flag(const char* aName, bool& aValue)
  {
    if (const Json* member = Member(aName, false)) {
      if (member->is_boolean()) {
        aValue = member->get<bool>();
      } else {
        Report(aName, "must be true or false");
      }
    }
  }

  template<typename Number>
  void Integer(const char* aName,
               Number& aValue,
               std::uint64_t aMinimum,
               std::uint64_t aMaximum,
               bool aRequired = false)
  {
    const Json* member = Member(aName, aRequired);
    if (member == nullptr) {
      return;
    }
    if (!member->is_number_unsigned() || member->get<std::uint64_t>() < aMinimum ||
        member->get<std::uint64_t>() > aMaximum) {
      Report(aName,
             "must be an integer from " + std::to_string(aMinimum) + " to " +
               std::to_string(aMaximum));
      return;
    }
    aValue = static_cast<Number>(member->get<std::uint64_t>());
  }

  void Milliseconds(const char* aName, std::chrono::milliseconds& aValue)
  {
    std::uint64_t count = static_cast<std::uint64_t>(aValue.count());
    Integer(aName, count, 1, kMaximumMilliseconds);
    aValue = std::chrono::milliseconds(count);
  }

  void Real(const char* aName, double& aValue, double aMinimum, double aMaximum)
  {
    const Json* member = Member(aName, true);
    if (member == nullptr) {
      return;
    }
    if (!member->is_number() || !(member->get<double>() >= aMinimum) ||
        !(member->get<double>() <= aMaximum)) {
      Report(aName, "must be a number from " + Shown(aMinimum) + " to " + Shown(aMaximum));
      return;
    }
    aValue = member->get<double>();
  }

  void TextList(const char* aName, std::vector<std::string>& aValues)
  {
    Each(aName, [&](const Json& aItem, const std::string& aPlace) {
      if (aItem.is_string()) {
        aValues.push_back(aItem.get<std::string>());
      } else {
        // Keeps the positions of the other entries.
        aValues.emplace_back();
        findings_.push_back({ aPlace, "must be a string" });
      }
    });
  }

  /// Calls aRead with each entry of the array aName and its pointer.
  template<typename Read>
  void Each(const char* aName, Read aRead)
  {
    const Json* member = Member(aName, false);
    if (member == nullptr) {
      return;
    }
    if (!member->is_array()) {
      Report(aName, "must be an array");
      return;
    }
    for (std::size_t i = 0; i < member->size(); ++i) {
      aRead((*member)[i], Detail::AppendPointer(Place(aName), std::to_string(i)));
    }
  }

  void Finish()
  {
    if (!object_.is_object()) {
      return;
    }
    for (const auto& [name, value] : object_.items()) {
      if (!known_.contains(name)) {
        Report(name, "unknown member");
      }
    }
  }

private:
  static std::string Shown(double aNumber) { return Json(aNumber).dump(); }

  const Json& object_;
  std::string place_;
  Findings& findings_;
  std::set<std::string, std::less<>> known_;
};

Workspace
ReadWorkspace(ObjectReader& aReader)
{
  Workspace workspace;
  aReader.Text("id", workspace.id_, true);
  // A rate of one request per hour is the lowest that a bucket can refill in a useful time.
  constexpr double kMinimumRate = 1.0 / 3600;
  aReader.Real("rate", workspace.rate_, kMinimumRate, kMaximumRate);
  aReader.Real("burst", workspace.burst_, 1, kMaximumRate);
  aReader.Integer("weight", workspace.weight_, 1, kMaximumWeight);
  if (aReader.Member("priority", false) != nullptr) {
    std::uint8_t priority = 0;
    aReader.Integer("priority", priority, 0, kMaximumPriority);
    workspace.priority_ = priority;
  }
  return workspace;
}

CallerKey
ReadKey(ObjectReader& aReader)
{
  CallerKey key;
  aReader.Text("id", key.id_, true);
  aReader.Text("workspace", key.workspace_, true);
  aReader.Text("hash", key.hash_, true);
  return key;
}

Service
ReadService(ObjectReader& aReader)
{
  Service service;
  std::string mode = "pooled";
  aReader.Text("id", service.id_, true);
  aReader.Text("mode", mode, true);
  if (mode != "keyed" && mode != "pooled") {
    aReader.Report("mode", "must be \"keyed\" or \"pooled\"");
  }
  service.mode_ = mode == "keyed" ? ServiceMode::Keyed : ServiceMode::Pooled;
  aReader.Integer("shards", service.shards_, 1, kMaximumShards, mode == "keyed");
  if (mode == "pooled" && service.shards_ != 0) {
    aReader.Report("shards", "only a keyed service has shards");
  }
  if (const Json* coldStart = aReader.Member("coldStart", false)) {
    ObjectReader reader(*coldStart, aReader.Place("coldStart"), aReader.AllFindings());
    reader.Integer("initial", service.coldStart_.initial_, 1, kMaximumInitial);
    reader.Milliseconds("rampMs", service.coldStart_.ramp_);
    if (reader.Member("perSecond", false) != nullptr) {
      reader.Real("perSecond", service.coldStart_.perSecond_, 0, kMaximumRate);
    }
    reader.Finish();
  }
  std::string keys = "hashed";
  aReader.Text("keys", keys, false);
  if (keys != "hashed" && keys != "numeric") {
    aReader.Report("keys", "must be \"hashed\" or \"numeric\"");
  }
  service.keyMapping_ = keys == "numeric" ? KeyMapping::Numeric : KeyMapping::Hashed;
  aReader.Integer("connections", service.connections_, 1, kMaximumConnections);
  return service;
}

void
ReadRoutingKey(ObjectReader& aReader, Route& aRoute)
{
  const Json* key = aReader.Member("key", false);
  if (key == nullptr) {
    return;
  }
  ObjectReader reader(*key, aReader.Place("key"), aReader.AllFindings());
  const bool segment = reader.Member("segment", false) != nullptr;
  const bool header = reader.Member("header", false) != nullptr;
  if (key->is_object() && segment == header) {
    aReader.Report("key", "must have either \"segment\" or \"header\"");
  }
  reader.Integer("segment", aRoute.keySegment_, 0, kMaximumSegment);
  reader.Text("header", aRoute.keyHeader_, false);
  aRoute.keySource_ = segment ? KeySource::PathSegment : KeySource::Header;
  reader.Finish();
}

Selector
ReadSelector(ObjectReader& aReader)
{
  Selector selector;
  std::string text;
  aReader.Text("match", text, true);
  if (!text.empty()) {
    auto terms = SelectorParser::Parse(text);
    if (terms) {
      selector.terms_ = std::move(*terms);
    } else {
      aReader.Report("match", terms.error());
    }
  }
  aReader.Integer("weight", selector.weight_, 1, kMaximumWeight);
  return selector;
}

Route
ReadRoute(ObjectReader& aReader)
{
  Route route;
  aReader.Text("id", route.id_, true);
  aReader.Text("pathPrefix", route.pathPrefix_, true);
  aReader.TextList("methods", route.methods_);
  aReader.Text("host", route.host_, false);
  aReader.Each("split", [&](const Json& aItem, const std::string& aPlace) {
    ObjectReader reader(aItem, aPlace, aReader.AllFindings());
    RouteTarget target;
    reader.Text("service", target.service_, true);
    reader.Integer("weight", target.weight_, 0, kMaximumWeight, true);
    reader.Finish();
    route.split_.push_back(std::move(target));
  });
  aReader.Text("service", route.service_, route.split_.empty());
  aReader.Integer("maxAttempts", route.maxAttempts_, 1, kMaximumAttempts);
  if (aReader.Member("targetLatencyMs", false) != nullptr) {
    aReader.Milliseconds("targetLatencyMs", route.targetLatency_);
  }
  ReadRoutingKey(aReader, route);
  aReader.Flag("open", route.open_);
  aReader.Text("openWorkspace", route.openWorkspace_, route.open_);
  aReader.Flag("idempotent", route.idempotent_);
  aReader.Integer("priority", route.priority_, 0, kMaximumPriority);
  aReader.Milliseconds("timeoutMs", route.timeout_);
  aReader.TextList("workspaces", route.workspaces_);
  aReader.Each("selectors", [&](const Json& aItem, const std::string& aPlace) {
    ObjectReader reader(aItem, aPlace, aReader.AllFindings());
    route.selectors_.push_back(ReadSelector(reader));
    reader.Finish();
  });
  return route;
}

DataCentre
ReadDataCentre(ObjectReader& aReader)
{
  DataCentre dataCentre;
  aReader.Text("id", dataCentre.id_, true);
  aReader.Text("region", dataCentre.region_, true);
  aReader.Flag("withdrawn", dataCentre.withdrawn_);
  if (const Json* labels = aReader.Member("labels", false)) {
    if (!labels->is_object()) {
      aReader.Report("labels", "must be an object");
      return dataCentre;
    }
    for (const auto& [name, value] : labels->items()) {
      if (value.is_string()) {
        dataCentre.labels_[name] = value.get<std::string>();
      } else {
        aReader.AllFindings().push_back(
          { Detail::AppendPointer(aReader.Place("labels"), name), "must be a string" });
      }
    }
  }
  return dataCentre;
}

template<typename Item>
void
ReadSection(ObjectReader& aReader,
            const char* aName,
            std::vector<Item>& aItems,
            Item (*aRead)(ObjectReader&))
{
  aReader.Each(aName, [&](const Json& aItem, const std::string& aPlace) {
    ObjectReader reader(aItem, aPlace, aReader.AllFindings());
    aItems.push_back(aRead(reader));
    reader.Finish();
  });
}

} // namespace

tl::expected<Configuration, Findings>
ConfigurationParser::Parse(std::string_view aText)
{
  Structure structure = ParseStructure(aText);
  std::set<std::string> reported;
  for (const Finding& finding : structure.findings_) {
    reported.insert(finding.place_);
  }
  // A text that is not a JSON object has no members to validate.
  if (!reported.contains("")) {
    for (Finding& finding : ConfigurationValidator::Validate(structure.configuration_)) {
      // A member that could not be read has a default value; what is wrong with that adds nothing.
      if (!reported.contains(finding.place_)) {
        structure.findings_.push_back(std::move(finding));
      }
    }
  }
  if (!structure.findings_.empty()) {
    return tl::unexpected(std::move(structure.findings_));
  }
  return std::move(structure.configuration_);
}

ConfigurationParser::Structure
ConfigurationParser::ParseStructure(std::string_view aText)
{
  Structure structure;
  structure.findings_ = Detail::CheckJsonText(aText);
  if (aText.size() > Detail::kMaximumDocumentBytes) {
    return structure;
  }
  const Json document = Json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    if (structure.findings_.empty()) {
      structure.findings_.push_back({ "", "must be an object" });
    }
    return structure;
  }
  Configuration& configuration = structure.configuration_;
  ObjectReader reader(document, "", structure.findings_);
  reader.Integer("version", configuration.version_, kVersion, kVersion, true);
  ReadSection(reader, "workspaces", configuration.workspaces_, ReadWorkspace);
  ReadSection(reader, "keys", configuration.keys_, ReadKey);
  ReadSection(reader, "services", configuration.services_, ReadService);
  ReadSection(reader, "routes", configuration.routes_, ReadRoute);
  ReadSection(reader, "dataCentres", configuration.dataCentres_, ReadDataCentre);
  reader.Finish();
  return structure;
}

} // namespace redwing
