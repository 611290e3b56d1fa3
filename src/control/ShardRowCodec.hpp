#pragma once

#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

constexpr std::uint32_t kShardsPerChunk = 64;
constexpr std::string_view kShardPrefix = "/redwing/shards/";

/// Returns the store key of the chunk that holds aShard.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string ChunkKey(const ShardId& aShard);

/// Returns the service that a chunk key belongs to, or nullopt if aKey is not a chunk key.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<std::string> ServiceOfChunk(std::string_view aKey);

/// Encodes the rows of one chunk as JSON:
/// `{"rows":[{"shard":3,"owner":"a","owner_incarnation":1,"token":7,"successor":"b",...}]}`.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string EncodeChunk(const std::map<std::uint32_t, ShardRow>& aRows);

/// Returns the rows of a chunk by shard index, or nullopt if aText is malformed.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<std::map<std::uint32_t, ShardRow>> DecodeChunk(const std::string& aService,
                                                             std::string_view aText);

} // namespace redwing
