#include "ctl/ConfigurationCommands.hpp"

#include "config/ConfigurationDiff.hpp"
#include "config/ConfigurationMerge.hpp"
#include "config/ConfigurationParser.hpp"
#include "config/ConfigurationValidator.hpp"
#include "config/ConfigurationWriter.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace redwing::ctl {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

const char*
Sign(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "+";
    case ChangeKind::Removed:
      return "-";
    case ChangeKind::Changed:
      break;
  }
  return "~";
}

std::string
CellText(const Json& aEntry, const std::string& aName)
{
  const auto found = aEntry.find(aName);
  if (found == aEntry.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

Row
ColumnsOf(const std::string& aSection)
{
  if (aSection == "workspaces") {
    return { "id", "rate", "burst", "weight" };
  }
  if (aSection == "keys") {
    return { "id", "workspace" };
  }
  if (aSection == "services") {
    return { "id", "mode", "shards" };
  }
  if (aSection == "routes") {
    return { "id", "pathPrefix", "methods", "service", "priority", "idempotent", "open" };
  }
  return { "id", "region", "withdrawn", "labels" };
}

Json
SectionOf(const Configuration& aConfiguration, const std::string& aSection)
{
  return Json::parse(ConfigurationWriter::Write(aConfiguration))[aSection];
}

} // namespace

Exit
ConfigurationCommands::Apply(const std::vector<std::string>& aFiles,
                             std::optional<std::uint64_t> aExpected)
{
  const auto configuration = Load(aFiles);
  if (!configuration) {
    return Exit::Refused;
  }
  const auto put = [&](std::uint64_t aRevision) {
    return session_.Change("PUT",
                           "/v1/configuration?expect=" + std::to_string(aRevision),
                           ConfigurationWriter::Write(*configuration));
  };
  if (aExpected) {
    return put(*aExpected);
  }
  return WithStored([&](const Stored& aStored) { return put(aStored.revision_); });
}

Exit
ConfigurationCommands::Validate(const std::vector<std::string>& aFiles)
{
  if (!Load(aFiles)) {
    return Exit::Refused;
  }
  session_.Out() << "valid\n";
  return Exit::Done;
}

Exit
ConfigurationCommands::Diff(const std::vector<std::string>& aFiles)
{
  const auto configuration = Load(aFiles);
  if (!configuration) {
    return Exit::Refused;
  }
  return WithStored([&](const Stored& aStored) {
    Json list = Json::array();
    const auto changes = ConfigurationDiff::Compare(aStored.configuration_, *configuration);
    for (const ConfigurationChange& change : changes) {
      if (session_.Settings().output_ == OutputFormat::Json) {
        list.push_back({ { "change", Sign(change.kind_) },
                         { "place", change.place_ },
                         { "before", change.before_ },
                         { "after", change.after_ } });
        continue;
      }
      session_.Out() << Sign(change.kind_) << " " << change.place_ << "\n";
      if (!change.before_.empty()) {
        session_.Out() << "    before: " << change.before_ << "\n";
      }
      if (!change.after_.empty()) {
        session_.Out() << "    after:  " << change.after_ << "\n";
      }
    }
    if (session_.Settings().output_ == OutputFormat::Json) {
      session_.Out() << list.dump() << "\n";
    }
    for (const Finding& finding :
         ConfigurationValidator::Validate(*configuration, aStored.configuration_)) {
      session_.Err() << "redwingctl: " << finding.place_ << ": " << finding.message_ << "\n";
    }
    return Exit::Done;
  });
}

Exit
ConfigurationCommands::Export()
{
  return WithStored([&](const Stored& aStored) {
    session_.Out() << ConfigurationWriter::Write(aStored.configuration_);
    session_.Err() << "revision " << aStored.revision_ << "\n";
    return Exit::Done;
  });
}

Exit
ConfigurationCommands::List(const std::string& aSection)
{
  return WithStored([&](const Stored& aStored) {
    const Json section = SectionOf(aStored.configuration_, aSection);
    if (session_.Settings().output_ == OutputFormat::Json) {
      session_.Out() << section.dump() << "\n";
      return Exit::Done;
    }
    const Row columns = ColumnsOf(aSection);
    std::vector<Row> rows;
    for (const Json& entry : section) {
      Row row;
      for (const std::string& column : columns) {
        row.push_back(CellText(entry, column));
      }
      rows.push_back(std::move(row));
    }
    session_.PrintTable(columns, rows);
    return Exit::Done;
  });
}

Exit
ConfigurationCommands::Show(const std::string& aSection, const std::string& aId)
{
  return WithStored([&](const Stored& aStored) {
    for (const Json& entry : SectionOf(aStored.configuration_, aSection)) {
      if (entry["id"] == aId) {
        session_.Out() << entry.dump(kIndent) << "\n";
        return Exit::Done;
      }
    }
    session_.Err() << "redwingctl: " << aSection << " has no " << aId << "\n";
    return Exit::Refused;
  });
}

std::optional<Configuration>
ConfigurationCommands::Load(const std::vector<std::string>& aFiles)
{
  std::vector<ConfigurationFile> files;
  for (const std::string& name : aFiles) {
    std::ifstream stream(name, std::ios::binary);
    std::istream& input = name == "-" ? std::cin : stream;
    if (name != "-" && !stream) {
      session_.Err() << "redwingctl: " << name << ": cannot be read\n";
      return std::nullopt;
    }
    files.push_back({ name, std::string(std::istreambuf_iterator<char>(input), {}) });
  }
  auto configuration = ConfigurationMerge::Merge(files);
  if (!configuration) {
    for (const Finding& finding : configuration.error()) {
      session_.Err() << finding.place_ << ": " << finding.message_ << "\n";
    }
    return std::nullopt;
  }
  return std::move(*configuration);
}

Exit
ConfigurationCommands::WithStored(const std::function<Exit(const Stored&)>& aUse)
{
  return session_.Read("/v1/configuration", [&](const std::string& aBody) {
    const Json body = Json::parse(aBody, nullptr, false);
    if (body.is_object() && body.contains("document") && body.contains("revision") &&
        body["revision"].is_number_unsigned()) {
      auto configuration = ConfigurationParser::Parse(body["document"].dump());
      if (configuration) {
        return aUse({ body["revision"].get<std::uint64_t>(), std::move(*configuration) });
      }
    }
    session_.Err() << "redwingctl: the instance sent a configuration that cannot be read\n";
    return Exit::Unknown;
  });
}

} // namespace redwing::ctl
