#pragma once

#include "core/Address.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace redwing::standins {

struct LoadWorkspace
{
  std::string id_;
  std::string key_;
  double weight_ = 1;
};

/// One kind of request in the mix.
struct LoadRequest
{
  std::string name_;
  double weight_ = 1;
  std::string method_ = "GET";
  /// `{key}` is replaced by a key drawn from a Zipf distribution.
  std::string path_ = "/";
  std::uint32_t keys_ = 1000;
  double zipf_ = 0.9;
  std::uint32_t bytes_ = 200;
  std::uint32_t requestBytes_ = 0;
  bool binary_ = false;
  bool stream_ = false;
  bool idempotent_ = true;
  /// Sends an Idempotency-Key, which stays the same when the caller resends.
  bool idempotencyKey_ = false;
  /// How often the caller resends after the outcome "unknown".
  std::uint32_t resend_ = 0;
  std::vector<std::string> headers_;
};

/// A workspace sends aFactor times its rate between two points in time.
struct LoadBurst
{
  std::string workspace_;
  double from_ = 0;
  double until_ = 0;
  double factor_ = 1;
};

struct LoadPlan
{
  std::vector<Address> targets_;
  double rate_ = 100;
  double seconds_ = 5;
  std::uint64_t seed_ = 1;
  std::uint32_t threads_ = 2;
  /// Limit of connections per target and thread.
  std::uint32_t connections_ = 64;
  std::int64_t timeoutMs_ = 10000;
  /// CLOCK_MONOTONIC time of the start, 0 for at once.
  std::int64_t startNs_ = 0;
  /// Requests of a workspace go to one target instead of round robin.
  bool targetPerWorkspace_ = false;
  std::vector<LoadWorkspace> workspaces_;
  std::vector<LoadRequest> requests_;
  std::vector<LoadBurst> bursts_;
};

/// Reads a plan; throws on an unknown field or a wrong type.
LoadPlan ParsePlan(const nlohmann::json& aDocument);

} // namespace redwing::standins
