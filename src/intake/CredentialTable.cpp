#include "intake/CredentialTable.hpp"

#include "core/Hash.hpp"

namespace redwing {

CredentialTable::CredentialTable(std::shared_ptr<const ConfigurationRevision> aRevision)
  : revision_(std::move(aRevision))
{
  for (const CallerKey& key : revision_->configuration_.keys_) {
    byHash_.emplace(key.hash_, &key);
  }
}

const CallerKey*
CredentialTable::Find(std::string_view aApiKey) const
{
  const std::string hash = ToHex(Sha256(aApiKey));
  const auto found = byHash_.find(hash);
  if (found == byHash_.end() || !EqualConstantTime(found->second->hash_, hash)) {
    return nullptr;
  }
  return found->second;
}

bool
CredentialTable::Contains(const CallerKey& aKey) const
{
  const auto found = byHash_.find(aKey.hash_);
  return found != byHash_.end() && *found->second == aKey;
}

} // namespace redwing
