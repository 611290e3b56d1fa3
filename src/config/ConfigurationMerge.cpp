#include "config/ConfigurationMerge.hpp"

#include "config/ConfigurationParser.hpp"
#include "config/ConfigurationValidator.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace redwing {

namespace {

/// Merges sections and remembers which file each entry came from.
class Merger
{
public:
  void Add(const ConfigurationFile& aFile)
  {
    auto structure = ConfigurationParser::ParseStructure(aFile.text_);
    for (Finding& finding : structure.findings_) {
      finding.place_ = aFile.name_ + "#" + finding.place_;
      reported_.insert(finding.place_);
      findings_.push_back(std::move(finding));
    }
    Configuration& part = structure.configuration_;
    Append("workspaces", aFile.name_, whole_.workspaces_, part.workspaces_);
    Append("keys", aFile.name_, whole_.keys_, part.keys_);
    Append("services", aFile.name_, whole_.services_, part.services_);
    Append("routes", aFile.name_, whole_.routes_, part.routes_);
    Append("dataCentres", aFile.name_, whole_.dataCentres_, part.dataCentres_);
  }

  tl::expected<Configuration, Findings> Finish()
  {
    for (Finding finding : ConfigurationValidator::Validate(whole_)) {
      finding.place_ = Locate(finding.place_);
      Rewrite(finding.message_);
      if (!reported_.contains(finding.place_)) {
        findings_.push_back(std::move(finding));
      }
    }
    if (!findings_.empty()) {
      return tl::unexpected(std::move(findings_));
    }
    return std::move(whole_);
  }

private:
  struct Origin
  {
    std::string file_;
    std::size_t index_ = 0;
  };

  template<typename Item>
  void Append(const char* aSection,
              const std::string& aFile,
              std::vector<Item>& aWhole,
              std::vector<Item>& aPart)
  {
    auto& origins = origins_[aSection];
    for (std::size_t i = 0; i < aPart.size(); ++i) {
      origins.push_back({ aFile, i });
      aWhole.push_back(std::move(aPart[i]));
    }
  }

  /// Turns a pointer into the merged document into `file#pointer`.
  std::string Locate(std::string_view aPointer) const
  {
    const std::size_t sectionEnd = aPointer.find('/', 1);
    if (sectionEnd == std::string_view::npos) {
      return std::string(aPointer);
    }
    const std::string_view section = aPointer.substr(1, sectionEnd - 1);
    const std::size_t indexEnd = std::min(aPointer.find('/', sectionEnd + 1), aPointer.size());
    std::size_t index = 0;
    std::from_chars(aPointer.data() + sectionEnd + 1, aPointer.data() + indexEnd, index);
    const auto origins = origins_.find(section);
    if (origins == origins_.end() || index >= origins->second.size()) {
      return std::string(aPointer);
    }
    const Origin& origin = origins->second[index];
    return origin.file_ + "#/" + std::string(section) + "/" + std::to_string(origin.index_) +
           std::string(aPointer.substr(indexEnd));
  }

  /// Locates the pointer to another entry that a message may contain.
  void Rewrite(std::string& aMessage) const
  {
    const std::size_t begin = aMessage.find(" /");
    if (begin == std::string::npos) {
      return;
    }
    const std::size_t end = std::min(aMessage.find_first_of(": ", begin + 1), aMessage.size());
    const std::string pointer = aMessage.substr(begin + 1, end - begin - 1);
    aMessage.replace(begin + 1, pointer.size(), Locate(pointer));
  }

  Configuration whole_;
  Findings findings_;
  std::set<std::string> reported_;
  std::map<std::string, std::vector<Origin>, std::less<>> origins_;
};

} // namespace

tl::expected<Configuration, Findings>
ConfigurationMerge::Merge(const std::vector<ConfigurationFile>& aFiles)
{
  Merger merger;
  for (const ConfigurationFile& file : aFiles) {
    merger.Add(file);
  }
  return merger.Finish();
}

} // namespace redwing
