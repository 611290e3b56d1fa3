#pragma once

#include "core/Address.hpp"
#include "routing/RoutingView.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// State of a member as gossiped under the key `m/<id>` with the version (incarnation, counter).
struct MemberFact
{
  Member member_;
  /// Whether the incarnation was declared dead or has left.
  bool gone_ = false;

  /// Preconditions: none. Thread safety: callable from any thread.
  std::string Encode() const;

  /// Returns nullopt if aBytes are malformed.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::optional<MemberFact> Decode(std::string_view aBytes);
};

/// Encodes a row for gossip under the key `s/<service>/<index>` with the version (token, counter).
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string EncodeRow(const ShardRow& aRow);

/// Returns nullopt if aBytes are malformed.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<ShardRow> DecodeRow(std::string_view aBytes);

} // namespace redwing
