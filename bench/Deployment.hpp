#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace redwing::bench {

using Json = nlohmann::json;

struct ServerSpec
{
  std::string dataCentre_;
  std::string service_;
};

struct WorkspaceSpec
{
  std::string id_;
  double weight_ = 1;
  /// High enough to have no effect unless a scenario sets a limit.
  double rate_ = 100000;
  double burst_ = 100000;
};

/// What runs: data centres, backend servers, workspaces, and how the test servers behave.
struct Deployment
{
  std::string name_;
  std::string region_;
  std::vector<std::string> dataCentres_;
  /// Between data centres, one way.
  double delayMs_ = 0;
  std::string keyedService_;
  std::string pooledService_;
  std::string keyedPath_;
  std::string pooledPath_;
  std::uint32_t shards_ = 32;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  std::vector<ServerSpec> servers_;
  std::vector<WorkspaceSpec> workspaces_;
  bool checkTokens_ = true;
  /// Instances reach the store through the proxy, which can cut them off.
  bool storeThroughProxy_ = false;
  std::int64_t serviceTimeUs_ = 2000;
  std::int64_t reportLagMs_ = 0;
  std::int64_t coldMs_ = 0;
  /// Concurrency at which the instances start a cold server.
  std::uint32_t coldInitial_ = 1;
  double rate_ = 600;

  bool Keyed(std::size_t aServer) const { return servers_[aServer].service_ == keyedService_; }
};

/// Returns the deployment of section 1 of the design page; throws on an unknown name.
Deployment MakeDeployment(const std::string& aName);

/// Returns the configuration document of the deployment.
Json ConfigurationDocument(const Deployment& aDeployment);

/// Returns the plan for the load generator, without targets and start.
Json BaseLoadPlan(const Deployment& aDeployment);

/// Returns the secret of a workspace's API key.
std::string WorkspaceKey(const std::string& aWorkspace);

} // namespace redwing::bench
