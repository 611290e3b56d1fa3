#pragma once

#include "config/Configuration.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace redwing {

/// Returns the shard of aKey in a service with aShards shards.
///
/// Preconditions: aShards > 0. Thread safety: callable from any thread.
std::uint32_t ShardOf(std::string_view aKey, std::uint32_t aShards);

/// Returns the shard of aKey in aService, or nothing if the key is not valid there.
///
/// Preconditions: aService is keyed and has shards. Thread safety: callable from any thread.
std::optional<std::uint32_t> ShardOf(std::string_view aKey, const Service& aService);

} // namespace redwing
