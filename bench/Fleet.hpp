#pragma once

#include "Deployment.hpp"
#include "HttpCall.hpp"
#include "Process.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing::bench {

/// Addresses and processes of one backend server and the instance beside it.
struct Node
{
  std::size_t index_ = 0;
  ServerSpec spec_;
  Address callers_;
  Address peers_;
  Address advertised_;
  Address local_;
  /// Where the instance reaches the store when a proxy lies between them.
  Address store_;
  Address backend_;
  Address backendControl_;
  std::filesystem::path records_;
  std::unique_ptr<Process> instanceProcess_;
  std::unique_ptr<Process> backendProcess_;
};

struct FleetOptions
{
  /// Directory below which the programs are searched.
  std::filesystem::path binaries_;
  /// Directory for logs, records and plans.
  std::filesystem::path directory_;
  /// Without instances: the load goes straight to the test servers, to test the harness itself.
  bool direct_ = false;
  /// Added to the arguments of every instance.
  std::vector<std::string> instanceArguments_{};
  /// Delays and faults between instances; without it they connect directly.
  bool proxy_ = true;
  /// Whether the backend servers record each run.
  bool record_ = true;
};

struct NetworkLock;

/// All processes of one run. Not thread-safe.
class Fleet
{
public:
  Fleet(Deployment aDeployment, FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything, applies the configuration and waits until every instance answers requests
  /// of every key; throws after 30 s.
  void Start();
  /// Stops the test servers first, so that they write their last records.
  void Stop();

  void StartInstance(std::size_t aNode);
  void StartBackend(std::size_t aNode);
  /// Operator call on the first instance that answers; returns whether it was accepted.
  bool Operate(const std::string& aMethod, const std::string& aPath, const std::string& aBody = {});
  CallResult OperateOn(std::size_t aNode,
                       const std::string& aMethod,
                       const std::string& aPath,
                       const std::string& aBody = {});
  void StoreCommand(const std::string& aTarget);
  void ProxyCommand(const std::string& aPath, const Json& aBody);
  void BackendCommand(std::size_t aNode, const std::string& aTarget);
  std::uint64_t StoreCalls();
  /// Bytes of datagrams between data centres and inside them; 0 without a proxy.
  double ControlBytes();
  Json ConfigurationInForce() const { return document_; }
  /// Replaces the document; returns whether it was accepted.
  bool Apply(const Json& aDocument);

  std::vector<Node>& Nodes() { return nodes_; }
  const std::vector<Node>& Nodes() const { return nodes_; }
  const Deployment& Spec() const { return deployment_; }
  /// Nodes of the keyed or the pooled service.
  std::vector<std::size_t> Servers(bool aKeyed) const;
  std::vector<std::string> Targets() const;
  std::string Program(const std::string& aName) const;
  /// Name of the node at the proxy.
  static std::string ProxyName(const Node& aNode);
  /// Counters of the store's test server; an empty object without an answer.
  Json StoreCounts() const;
  /// Value of a key in the store; empty when there is none.
  std::string StoreValue(const std::string& aKey) const;
  bool HasProxy() const { return !advertiseFlag_.empty(); }
  const std::filesystem::path& Directory() const { return options_.directory_; }
  bool Direct() const { return options_.direct_; }
  /// Headers of an operator call.
  static std::vector<HttpHeader> Operator();

private:
  void ChooseAddresses();
  void StartStore();
  void StartProxy();
  void AwaitReady();
  bool Probe(std::size_t aNode, std::uint32_t aKey) const;

  Deployment deployment_;
  FleetOptions options_;
  std::string network_;
  std::unique_ptr<NetworkLock> lock_;
  Address store_;
  Address storeControl_;
  Address proxyControl_;
  std::string advertiseFlag_;
  Json document_;
  std::map<std::string, std::string> programs_;
  std::unique_ptr<Process> storeProcess_;
  std::unique_ptr<Process> proxy_;
  std::vector<Node> nodes_;
  std::uint64_t operations_ = 0;
};

} // namespace redwing::bench
