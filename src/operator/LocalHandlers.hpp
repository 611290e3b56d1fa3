#pragma once

#include "exchange/BackendAnnouncement.hpp"
#include "operator/LocalReply.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace redwing {

/// Replaces the configuration.
struct PutConfigurationRequest
{
  std::string operation_;
  /// No value: whatever revision is stored; 0: none is stored yet.
  std::optional<std::uint64_t> expected_;
  std::string document_;
};

/// Issues an API key for a workspace.
struct IssueKeyRequest
{
  std::string operation_;
  std::string id_;
  std::string workspace_;
};

struct WithdrawKeyRequest
{
  std::string operation_;
  std::string id_;
};

struct DataCentreRequest
{
  std::string operation_;
  std::string id_;
  bool withdrawn_ = false;
};

/// Drains this instance.
struct DrainRequest
{
  std::string operation_;
};

/// Lets the planner assign a shard whose last owner cannot be proved gone.
struct ForceShardRequest
{
  std::string operation_;
  std::string service_;
  std::uint32_t shard_ = 0;
};

template<typename Request>
using LocalHandler = std::function<void(Request, LocalReplyCallback)>;
using LocalGetter = std::function<void(LocalReplyCallback)>;

/// What the owner of the LocalServer does for each request. Handlers run on the server's thread and
/// must not block; the reply callback may be called at once or later from any thread. A request
/// whose handler is not set is answered with 501.
struct LocalHandlers
{
  LocalHandler<BackendAnnouncement> announce_;
  LocalGetter leave_;
  LocalGetter metrics_;
  LocalGetter health_;

  LocalGetter status_;
  LocalGetter members_;
  /// Argument: service.
  LocalHandler<std::string> shards_;
  LocalGetter getConfiguration_;
  LocalHandler<PutConfigurationRequest> putConfiguration_;
  LocalHandler<IssueKeyRequest> issueKey_;
  LocalHandler<WithdrawKeyRequest> withdrawKey_;
  LocalHandler<DataCentreRequest> dataCentre_;
  LocalHandler<DrainRequest> drain_;
  LocalHandler<ForceShardRequest> forceShard_;
};

} // namespace redwing
