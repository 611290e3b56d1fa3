#pragma once

#include "config/Configuration.hpp"
#include "ctl/Session.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace redwing::ctl {

/// Commands on the configuration document. Not thread-safe; no preconditions beyond the session.
class ConfigurationCommands
{
public:
  explicit ConfigurationCommands(Session& aSession)
    : session_(aSession)
  {
  }

  /// Stores the document in aFiles. Without aExpected, the revision now in force is expected.
  Exit Apply(const std::vector<std::string>& aFiles, std::optional<std::uint64_t> aExpected);

  /// Checks the document without any instance.
  Exit Validate(const std::vector<std::string>& aFiles);

  /// Shows what applying the document would change.
  Exit Diff(const std::vector<std::string>& aFiles);

  /// Prints the document in force.
  Exit Export();

  /// Lists a section: `workspaces`, `keys`, `services`, `routes` or `dataCentres`.
  Exit List(const std::string& aSection);

  /// Prints one entry of a section as JSON.
  Exit Show(const std::string& aSection, const std::string& aId);

private:
  struct Stored
  {
    std::uint64_t revision_ = 0;
    Configuration configuration_;
  };

  std::optional<Configuration> Load(const std::vector<std::string>& aFiles);
  Exit WithStored(const std::function<Exit(const Stored&)>& aUse);

  Session& session_;
};

} // namespace redwing::ctl
