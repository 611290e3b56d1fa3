#pragma once

#include "core/Address.hpp"
#include "routing/RoutingView.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// What instances tell each other about a member, spread by gossip under the key `m/<id>` with the
/// version (incarnation, counter).
struct MemberFact
{
  Member member_;
  /// The incarnation was decided dead or has left.
  bool gone_ = false;

  /// Preconditions: none. Thread safety: callable from any thread.
  std::string Encode() const;

  /// Returns nothing when aBytes are malformed.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::optional<MemberFact> Decode(std::string_view aBytes);
};

/// Encodes a row for gossip under the key `s/<service>/<index>` with the version (token, counter).
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string EncodeRow(const ShardRow& aRow);
std::optional<ShardRow> DecodeRow(std::string_view aBytes);

} // namespace redwing
