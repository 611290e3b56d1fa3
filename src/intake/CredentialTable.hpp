#pragma once

#include "config/Configuration.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace redwing {

/// API keys of one configuration revision, found by their SHA-256 hash.
class CredentialTable
{
public:
  /// Keeps aRevision alive for its own lifetime.
  explicit CredentialTable(std::shared_ptr<const ConfigurationRevision> aRevision);

  /// Returns the entry of aApiKey, or null. The lookup uses the hash, so its timing tells nothing
  /// about the stored keys.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  const CallerKey* Find(std::string_view aApiKey) const;

  /// Returns whether aKey, of this or another revision, is still an API key of its workspace.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool Contains(const CallerKey& aKey) const;

private:
  std::shared_ptr<const ConfigurationRevision> revision_;
  std::unordered_map<std::string_view, const CallerKey*> byHash_;
};

} // namespace redwing
