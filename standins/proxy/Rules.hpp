#pragma once

#include "core/Address.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace redwing::standins {

/// A node behind the proxy: others reach `to_` through `listen_`. The proxy recognises a sender by
/// its source IP, which is the IP of its own `to_`.
struct ProxyNode
{
  /// For example `porto/i3`; commands select nodes by prefix.
  std::string name_;
  Address listen_;
  Address to_;
  /// Name of the only sender, for a node that others reach by TCP only and each through a listener
  /// of its own, such as the store.
  std::string from_{};
};

/// What happens to bytes from one node to another.
struct Condition
{
  bool cut_ = false;
  double delayMs_ = 0;
  double jitterMs_ = 0;
  /// Percentages of datagrams.
  double lossPercent_ = 0;
  double duplicatePercent_ = 0;
  double reorderPercent_ = 0;
};

/// A condition for all directions from nodes with one name prefix to nodes with another.
struct Rule
{
  std::string from_;
  std::string to_;
  Condition condition_;
  /// Rules of the configuration stay in force on "restore".
  bool permanent_ = false;
};

/// Rules in force. Not thread-safe.
class Rules
{
public:
  void Add(Rule aRule) { rules_.push_back(std::move(aRule)); }
  /// Removes the rules whose prefixes equal the given ones; both empty: all that were added by
  /// commands.
  void Restore(const std::string& aFrom, const std::string& aTo);
  /// Combines all rules that match: delays add up, the highest percentages apply.
  Condition Lookup(const std::string& aFrom, const std::string& aTo) const;

private:
  std::vector<Rule> rules_;
};

/// Names of nodes by the IP they send from.
using NodeNames = std::map<std::string, std::string>;

} // namespace redwing::standins
