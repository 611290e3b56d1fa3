#pragma once

#include "Deployment.hpp"

#include <cstdint>
#include <filesystem>

namespace redwing::bench {

struct ScaleOptions
{
  std::size_t instances_ = 10;
  std::uint32_t shards_ = 256;
  /// Requests per second over all instances in the loaded phase; 0 skips it.
  double rate_ = 0;
  /// Length of each measured phase.
  double seconds_ = 6;
  std::filesystem::path binaries_;
  std::filesystem::path work_;
};

/// Measures what the control plane costs with real processes: idle, under load, after the loss of
/// an instance and after its return. Returns one object of figures per instance and second.
Json RunScale(const ScaleOptions& aOptions);

} // namespace redwing::bench
