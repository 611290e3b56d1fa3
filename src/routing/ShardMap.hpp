#pragma once

#include <cstdint>
#include <string_view>

namespace redwing {

/// Returns the shard of aKey in a service with aShards shards.
///
/// Preconditions: aShards > 0. Thread safety: callable from any thread.
std::uint32_t ShardOf(std::string_view aKey, std::uint32_t aShards);

} // namespace redwing
