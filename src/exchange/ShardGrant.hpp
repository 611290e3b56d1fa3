#pragma once

#include "ownership/ShardRow.hpp"

#include <cstdint>

namespace redwing {

/// A shard that a backend server may serve, with its fencing token.
struct ShardGrant
{
  ShardId shard_;
  std::uint64_t token_ = 0;

  bool operator==(const ShardGrant&) const = default;
};

} // namespace redwing
