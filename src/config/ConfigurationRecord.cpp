#include "config/ConfigurationRecord.hpp"

#include "config/ConfigurationParser.hpp"
#include "config/ConfigurationWriter.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace redwing {

using Json = nlohmann::ordered_json;

ConfigurationRecord
ConfigurationRecord::Next(std::string aOperation,
                          std::uint64_t aRevision,
                          Configuration aConfiguration) const
{
  ConfigurationRecord next;
  next.operations_.push_back({ std::move(aOperation), aRevision });
  const std::size_t kept = std::min(operations_.size(), kRememberedOperations - 1);
  next.operations_.insert(next.operations_.end(),
                          operations_.begin(),
                          operations_.begin() + static_cast<std::ptrdiff_t>(kept));
  next.configuration_ = std::move(aConfiguration);
  return next;
}

std::optional<std::uint64_t>
ConfigurationRecord::RevisionOf(std::string_view aOperation, std::uint64_t aRevision) const
{
  // An operation produced the revision that the next newer one replaced.
  std::uint64_t produced = aRevision;
  for (const ConfigurationOperation& operation : operations_) {
    if (operation.id_ == aOperation) {
      return produced;
    }
    produced = operation.base_;
  }
  return std::nullopt;
}

bool
ConfigurationRecord::Remembers(std::uint64_t aBase) const
{
  return std::any_of(operations_.begin(), operations_.end(), [&](const auto& aOperation) {
    return aOperation.base_ == aBase;
  });
}

std::string
ConfigurationRecord::ToText() const
{
  Json operations = Json::array();
  for (const ConfigurationOperation& operation : operations_) {
    operations.push_back({ { "id", operation.id_ }, { "base", operation.base_ } });
  }
  const Json record{ { "operations", operations },
                     { "document", Json::parse(ConfigurationWriter::Write(configuration_)) } };
  return record.dump();
}

tl::expected<ConfigurationRecord, std::string>
ConfigurationRecord::Parse(std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("operations") || !json.contains("document") ||
      !json["operations"].is_array() || json["operations"].empty()) {
    return tl::unexpected(std::string("record lacks operations or document"));
  }
  ConfigurationRecord record;
  for (const Json& operation : json["operations"]) {
    if (!operation.is_object() || !operation.contains("id") || !operation["id"].is_string() ||
        !operation.contains("base") || !operation["base"].is_number_unsigned()) {
      return tl::unexpected(std::string("operation lacks id or base"));
    }
    record.operations_.push_back(
      { operation["id"].get<std::string>(), operation["base"].get<std::uint64_t>() });
  }
  auto configuration = ConfigurationParser::Parse(json["document"].dump());
  if (!configuration) {
    const Finding& first = configuration.error().front();
    return tl::unexpected("document: " + first.place_ + " " + first.message_);
  }
  record.configuration_ = std::move(*configuration);
  return record;
}

} // namespace redwing
